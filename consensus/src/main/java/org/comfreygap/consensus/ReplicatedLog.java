package org.comfreygap.consensus;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.comfreygap.protocol.generated.ReplicaMember;

/**
 * A log of commands that a quorum of replicas agrees on.
 *
 * <pre>{@code
 * byte[] answer = log.propose(command).get().answer();
 * }</pre>
 *
 * <p>Invariant: a future of {@link #propose} completes normally only after the command is synced to
 * disk at a quorum and applied here. Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
public interface ReplicatedLog extends AutoCloseable {

  /** The part a replica plays. */
  enum Role {
    FOLLOWER,
    CANDIDATE,
    LEADER,
    LEARNER
  }

  /**
   * Result of a proposal.
   *
   * @param index log index of the command
   * @param answer what the state machine returned
   */
  record AppliedCommand(long index, byte[] result) {}

  /**
   * Proof that this replica is the only leader until a point of monotonic time, and that its state
   * machine holds everything committed before it became leader.
   *
   * @param term term of the leadership
   * @param endNanos monotonic time at which the lease ends, in nanoseconds
   */
  record LeaderLease(long term, long endNanos) {}

  /**
   * Proposes a command.
   *
   * @return a future that fails with {@link NotLeaderException} when this replica is not the leader
   *     or takes no more commands now, and the command was certainly not appended, and with {@link
   *     OutcomeUnknownException} when leadership was lost before the outcome was known
   */
  CompletableFuture<AppliedCommand> propose(byte[] command);

  /** Returns the leader lease when this replica holds one at {@code nowNanos} (monotonic). */
  Optional<LeaderLease> lease(long nowNanos);

  /** Returns the present role. */
  Role role();

  /** Returns the present term. */
  long term();

  /** Returns the index of the newest applied command. */
  long appliedIndex();

  /** Returns the leader as far as it is known here. */
  Optional<ReplicaMember> leader();

  /** Returns the members as of the newest membership entry in the log. */
  List<ReplicaMember> members();

  /**
   * Adds a replica as learner and makes it a voter once it has caught up.
   *
   * @return completes when the replica votes
   */
  CompletableFuture<Void> addMember(ReplicaMember member);

  /** Removes a replica; completes when the change is committed. */
  CompletableFuture<Void> removeMember(String replicaId);

  /** Hands leadership to the most up-to-date voter; completes when another leader is known. */
  CompletableFuture<Void> transferLeadership();

  @Override
  void close();
}
