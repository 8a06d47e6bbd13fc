package org.comfreygap.decisions;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the requests to an endpoint while it is cold, over all gateways.
 *
 * <p>Several sources report how long it stays cold: its health check, its report, the platform's
 * list. Each may lag behind, so the longest time applies.
 *
 * <pre>{@code
 * gate.coldReported(coldMillis, now);
 * if (gate.tryPass(perSecond, now)) { send(); }
 * }</pre>
 *
 * <p>Invariant: in any second of a cold time at most the rate and {@link #BURST} requests pass.
 * Thread safety: not thread-safe.
 *
 * @since 0.3
 */
public final class ColdGate {

  /** Requests that may reach a cold endpoint at once. */
  public static final double BURST = 3;

  private long coldUntilNanos;
  private boolean known;
  private RateGate gate;

  /**
   * Records that a source reports that the endpoint stays cold for {@code millis}; 0 is ignored.
   */
  public void coldReported(long millis, long nowNanos) {
    long until = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    if (millis > 0 && (!known || until - coldUntilNanos > 0)) {
      coldUntilNanos = until;
      known = true;
    }
  }

  /** Clears the cold time: the endpoint has restarted. */
  public void restarted() {
    known = false;
    gate = null;
  }

  /** Returns the milliseconds for which the endpoint stays cold; 0 when it is not. */
  public long remainingMillis(long nowNanos) {
    long left = coldUntilNanos - nowNanos;
    if (!known || left <= 0) {
      known = false;
      gate = null;
      return 0;
    }
    return TimeUnit.NANOSECONDS.toMillis(left) + 1;
  }

  /**
   * Counts a request when it may pass now.
   *
   * @param perSecond requests a second that may reach the endpoint while it is cold
   */
  public boolean tryPass(double perSecond, long nowNanos) {
    if (remainingMillis(nowNanos) == 0) {
      return true;
    }
    if (gate == null) {
      gate = new RateGate(perSecond, BURST, nowNanos);
    }
    return gate.tryPass(nowNanos);
  }

  /** Returns the milliseconds until the next request may pass. */
  public long retryAfterMillis(long nowNanos) {
    return gate == null ? 0 : gate.retryAfterMillis(nowNanos);
  }
}
