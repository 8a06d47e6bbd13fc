package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import com.google.inject.name.Named;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongFunction;
import org.comfreygap.consensus.NotLeaderException;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.consensus.ReplicatedLog.LeaderLease;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Provides the leader's state while this instance holds the leader lease.
 *
 * <pre>{@code
 * LeaderTerm term = leadership.require();
 * BeginResult result = leadership.commit(term, millis -> command(millis), BeginResult.class);
 * }</pre>
 *
 * <p>Invariants: {@link #current} returns a term only under a valid lease, and the state of an
 * earlier term is never used in a later one; the leader's address is proposed until it is
 * committed. Thread safety: any thread may call.
 */
@Singleton
final class Leadership {

  private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration HAND_OVER_TIMEOUT = Duration.ofSeconds(5);

  private final ReplicatedLog log;
  private final ControlState state;
  private final EventLog events;
  private final ControlState.ReplicaAddresses self;
  private LeaderTerm term;
  private CompletableFuture<?> registration = CompletableFuture.completedFuture(null);

  @Inject
  Leadership(
      ReplicatedLog log,
      ControlState state,
      EventLog events,
      @Named("self") ControlState.ReplicaAddresses self) {
    this.log = log;
    this.state = state;
    this.events = events;
    this.self = self;
  }

  /** Returns the leader's state while the lease is valid. */
  Optional<LeaderTerm> current() {
    long now = System.nanoTime();
    Optional<LeaderLease> lease = log.lease(now);
    if (lease.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(termOf(lease.get(), now));
  }

  /** Returns the leader's state, or fails with the address of the leader. */
  LeaderTerm require() throws NotLeader {
    return current().orElseThrow(this::notLeader);
  }

  /** Returns true when the lease is valid and belongs to the term of {@code expected}. */
  boolean holdsLease(LeaderTerm expected) {
    return log.lease(System.nanoTime())
        .filter(lease -> lease.term() == expected.term())
        .isPresent();
  }

  /** Returns the error for callers, with the address of the leader when it is known. */
  NotLeader notLeader() {
    NotLeader error = new NotLeader();
    leaderAddresses()
        .filter(leader -> !isSelf(leader))
        .ifPresent(leader -> error.setLeaderAddress(leader.rpcAddress()));
    return error;
  }

  /** Returns true when {@code replica} is this instance. */
  boolean isSelf(ControlState.ReplicaAddresses replica) {
    return replica.replicaId().equals(self.replicaId());
  }

  /** Returns the addresses of the leader, if known. */
  Optional<ControlState.ReplicaAddresses> leaderAddresses() {
    return log.leader().map(ReplicaMember::getReplicaId).flatMap(state::replica);
  }

  /**
   * Proposes a command and waits until it is committed and applied.
   *
   * @param command creates the command for a given log time
   * @param resultType type of the command's result
   */
  <T> T commit(LeaderTerm leader, LongFunction<Command> command, Class<T> resultType)
      throws LeadershipLost {
    CompletableFuture<ReplicatedLog.AppliedCommand> future = propose(leader, command);
    return Codec.decodeResult(await(future).result(), resultType);
  }

  /** Proposes a command at the current log time. */
  CompletableFuture<ReplicatedLog.AppliedCommand> propose(
      LeaderTerm leader, LongFunction<Command> command) {
    Command created = command.apply(leader.logMillis(System.nanoTime()));
    return log.propose(Codec.encode(created));
  }

  /** Waits until a proposal is committed and applied. */
  <T> T await(CompletableFuture<T> future) throws LeadershipLost {
    try {
      return future.get(COMMIT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      boolean notAppended = e.getCause() instanceof NotLeaderException;
      throw new LeadershipLost("the command was not committed", !notAppended, e.getCause());
    } catch (TimeoutException e) {
      throw new LeadershipLost("no quorum committed the command within " + COMMIT_TIMEOUT, true, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new LeadershipLost("interrupted", true, e);
    }
  }

  /** Transfers the leadership when this instance leads and there is another voter. */
  void handOver() {
    boolean onlyVoter = log.members().stream().filter(ReplicaMember::isVoter).count() < 2;
    if (log.role() != ReplicatedLog.Role.LEADER || onlyVoter) {
      return;
    }
    try {
      log.transferLeadership().get(HAND_OVER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      events.record(ControlEvent.LEADERSHIP_HANDED_OVER);
    } catch (ExecutionException | TimeoutException e) {
      events.record(ControlEvent.HAND_OVER_FAILED, Field.of("cause", e));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized LeaderTerm termOf(LeaderLease lease, long now) {
    if (term == null || term.term() != lease.term()) {
      term = new LeaderTerm(lease.term(), now, state);
      events.record(ControlEvent.LEADERSHIP_BEGAN, Field.of("term", lease.term()));
      registration = proposeRegistration();
    } else if (registration.isCompletedExceptionally()) {
      registration = proposeRegistration();
    }
    return term;
  }

  private CompletableFuture<?> proposeRegistration() {
    return propose(
        term,
        millis ->
            new Command.RegisterReplica(
                millis, self.replicaId(), self.rpcAddress(), self.httpAddress()));
  }
}
