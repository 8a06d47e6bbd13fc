package org.comfreygap.consensus;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.comfreygap.protocol.generated.ReplicaMember;

/**
 * A replicated log of commands, committed by a quorum of replicas.
 *
 * <pre>{@code
 * byte[] result = log.propose(command).get().result();
 * }</pre>
 *
 * <p>Invariant: a future of {@link #propose} completes normally only after the command is synced to
 * disk at a quorum and applied here. Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
public interface ReplicatedLog extends AutoCloseable {

  /** The role of a replica. */
  enum Role {
    FOLLOWER,
    CANDIDATE,
    LEADER,
    LEARNER
  }

  /**
   * A proposed command after it was applied.
   *
   * @param index log index of the command
   * @param result value returned by the state machine
   */
  record AppliedCommand(long index, byte[] result) {}

  /**
   * Proof that this replica is the only leader until a monotonic time, and that its state machine
   * has applied all commands committed before it became leader.
   *
   * @param term term of the leadership
   * @param endNanos monotonic time at which the lease ends, in nanoseconds
   */
  record LeaderLease(long term, long endNanos) {}

  /**
   * Proposes a command.
   *
   * @return a future that fails with {@link NotLeaderException} when this replica is not the leader
   *     or accepts no commands now, in which case the command was not appended, and with {@link
   *     OutcomeUnknownException} when leadership was lost before the outcome was known
   */
  CompletableFuture<AppliedCommand> propose(byte[] command);

  /** Returns the leader lease when this replica holds one at {@code nowNanos} (monotonic). */
  Optional<LeaderLease> lease(long nowNanos);

  /** Returns the current role. */
  Role role();

  /** Returns the current term. */
  long term();

  /** Returns the index of the newest applied command. */
  long appliedIndex();

  /** Returns the leader if this replica knows it. */
  Optional<ReplicaMember> leader();

  /** Returns the members according to the newest membership entry in the log. */
  List<ReplicaMember> members();

  /**
   * Returns when the leader sent the newest message that each other member acknowledged, by replica
   * id, in monotonic nanoseconds; empty at a replica that does not lead.
   *
   * @since 0.8
   */
  CompletableFuture<Map<String, Long>> contacts();

  /**
   * Adds a replica as learner and makes it a voter once it has caught up.
   *
   * @return a future that completes when the replica is a voter, and fails when it is removed
   *     before that
   */
  CompletableFuture<Void> addMember(ReplicaMember member);

  /** Removes a replica; completes when the change is committed. */
  CompletableFuture<Void> removeMember(String replicaId);

  /** Transfers leadership to the most up-to-date voter; completes when a new leader is known. */
  CompletableFuture<Void> transferLeadership();

  @Override
  void close();
}
