package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Learns how long a connection may have been idle to be still usable for a request.
 *
 * <p>Some endpoints drop idle connections without notice and sooner than they state; the next
 * request is lost, and fails if it must not be repeated. Each such loss shows how short the actual
 * time is.
 *
 * <pre>{@code
 * if (limit.usable(idleNanos, now)) { send(); } else { open(); }
 * }</pre>
 *
 * <p>Invariant: after a loss, connections idle for half as long or longer are not used until {@link
 * #RETENTION} has passed without another. Thread safety: not thread-safe.
 *
 * @since 0.3
 */
public final class IdleConnectionLimit {

  /** Time after which longer idle times are allowed again; above the length of a disruption. */
  public static final Duration RETENTION = Duration.ofSeconds(60);

  /** Minimum of the limit; a connection idle for less was just used. */
  public static final Duration MIN_IDLE = Duration.ofMillis(100);

  /**
   * The reset of a dropped connection comes one round trip after the request, 3 ms between zones. A
   * reset after the endpoint ran the request, which takes 20 ms or more, gives no evidence.
   */
  public static final Duration MAX_RESET_DELAY = Duration.ofMillis(15);

  private long maxIdleNanos = Long.MAX_VALUE;
  private long lastLossNanos;

  /** Returns true when a connection that was idle for the given time may be used. */
  public boolean usable(long idleNanos, long nowNanos) {
    if (maxIdleNanos < Long.MAX_VALUE && nowNanos - lastLossNanos > RETENTION.toNanos()) {
      maxIdleNanos = Long.MAX_VALUE;
    }
    return idleNanos < maxIdleNanos;
  }

  /**
   * Records that a connection that was idle for the given time was lost before a response.
   *
   * @param afterNanos time between the request and the loss
   */
  public void connectionLost(long idleNanos, long afterNanos, long nowNanos) {
    if (afterNanos <= MAX_RESET_DELAY.toNanos()) {
      lowerLimit(idleNanos, nowNanos);
    }
  }

  private void lowerLimit(long idleNanos, long nowNanos) {
    maxIdleNanos = Math.max(MIN_IDLE.toNanos(), Math.min(maxIdleNanos, idleNanos / 2));
    lastLossNanos = nowNanos;
  }
}
