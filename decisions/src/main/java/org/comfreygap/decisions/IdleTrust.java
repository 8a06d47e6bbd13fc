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
public final class IdleTrust {

  /** Time after which longer idle times are tried again; above the length of a disruption. */
  public static final Duration MEMORY = Duration.ofSeconds(60);

  /** Least idle time; below it the connection was used a moment ago. */
  public static final Duration LEAST = Duration.ofMillis(100);

  /**
   * The reset of a dropped connection comes one round trip after the request, 3 ms between zones.
   * An endpoint that resets after it ran the request, which takes 20 ms or more, shows nothing.
   */
  public static final Duration LONGEST_RESET = Duration.ofMillis(15);

  private long longestNanos = Long.MAX_VALUE;
  private long lostNanos;

  /** Returns true when a connection that was idle for the given time may be used. */
  public boolean usable(long idleNanos, long nowNanos) {
    if (longestNanos < Long.MAX_VALUE && nowNanos - lostNanos > MEMORY.toNanos()) {
      longestNanos = Long.MAX_VALUE;
    }
    return idleNanos < longestNanos;
  }

  /**
   * Records that a connection which was idle for the given time broke before an answer.
   *
   * @param afterNanos time between the request and the break
   */
  public void broke(long idleNanos, long afterNanos, long nowNanos) {
    if (afterNanos <= LONGEST_RESET.toNanos()) {
      lost(idleNanos, nowNanos);
    }
  }

  private void lost(long idleNanos, long nowNanos) {
    longestNanos = Math.max(LEAST.toNanos(), Math.min(longestNanos, idleNanos / 2));
    lostNanos = nowNanos;
  }
}
