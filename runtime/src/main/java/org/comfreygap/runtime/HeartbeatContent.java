package org.comfreygap.runtime;

import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;

/**
 * What a process states in its heartbeats beyond its identity and the settings in force.
 *
 * <p>Thread safety: called by one thread at a time, which differs from call to call.
 *
 * @since 0.8
 */
public interface HeartbeatContent {

  /** States nothing. */
  HeartbeatContent NONE = request -> {};

  /** Adds optional fields to a heartbeat, directly before it is sent. */
  void fill(HeartbeatRequest request);

  /**
   * Called with the leader's reply.
   *
   * @param sentAt when the heartbeat was sent
   * @param nowNanos monotonic time at which the reply arrived
   */
  default void replied(
      HeartbeatRequest request, HeartbeatReply reply, ClockReading sentAt, long nowNanos) {}

  /** Returns the content of this and {@code other}. */
  default HeartbeatContent and(HeartbeatContent other) {
    HeartbeatContent first = this;
    return new HeartbeatContent() {
      @Override
      public void fill(HeartbeatRequest request) {
        first.fill(request);
        other.fill(request);
      }

      @Override
      public void replied(
          HeartbeatRequest request, HeartbeatReply reply, ClockReading sentAt, long nowNanos) {
        first.replied(request, reply, sentAt, nowNanos);
        other.replied(request, reply, sentAt, nowNanos);
      }
    };
  }
}
