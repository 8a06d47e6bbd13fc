package org.comfreygap.control;

import java.util.Optional;
import org.comfreygap.protocol.generated.HeartbeatRequest;

/**
 * The committed calls of one duty.
 *
 * <p>Invariant: {@link #next} returns only calls that the replicated log holds. Thread safety: any
 * thread may call {@link #heartbeat}; one thread calls {@link #maintain}, another one the others.
 */
interface DutySource {

  /** Records what a process reports; called for each heartbeat at the leader. */
  default void heartbeat(LeaderTerm term, HeartbeatRequest request, long nowNanos) {}

  /** Prepares calls; called on the leader every 200 ms, also before it may make calls. */
  void maintain(LeaderTerm term, long nowNanos) throws LeadershipLost;

  /** Returns the oldest committed call that the platform has not accepted. */
  Optional<DutyCall> next(LeaderTerm term, long nowNanos) throws LeadershipLost;

  /** Records what became of a call; one to be sent later is returned by {@link #next} again. */
  void replied(LeaderTerm term, DutyCall call, DutyReply reply, long nowNanos)
      throws LeadershipLost;
}
