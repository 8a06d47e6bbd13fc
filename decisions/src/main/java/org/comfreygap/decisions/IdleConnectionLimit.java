package org.comfreygap.decisions;

import java.time.Duration;

/**
 * How long a connection may have been idle and still be used for a request, as far as is known.
 *
 * <p>Some endpoints drop idle connections without a word and sooner than they state; what is sent
 * next is lost, and a request that must not be repeated fails with it. Each such loss shows how
 * short the time really is.
 *
 * <pre>{@code
 * if (trust.usable(idleNanos, now)) { send(); } else { open(); }
 * }</pre>
 *
 * <p>Invariant: after a loss, connections idle for half as long or longer are not used until {@link
 * #MEMORY} has passed without another. Thread safety: not thread-safe.
 *
 * @since 0.3
 */
public final class IdleConnectionLimit {

  /** Time after which longer idle times are tried again; above the length of a disruption. */
  public static final Duration RETENTION = Duration.ofSeconds(60);

  /** Least idle time; below it the connection was used a moment ago. */
  public static final Duration MIN_IDLE = Duration.ofMillis(100);

  /**
   * The reset of a dropped connection comes one round trip after the request, 3 ms between zones.
   * An endpoint that resets after it ran the request, which takes 20 ms or more, shows nothing.
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
   * Records that a connection which was idle for the given time broke before an answer.
   *
   * @param afterNanos time between the request and the break
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
