package org.comfreygap.decisions;

/**
 * Bounds the requests per second, with a small burst.
 *
 * <pre>{@code
 * if (gate.tryPass(now)) { send(); } else { later(gate.retryAfterMillis(now)); }
 * }</pre>
 *
 * <p>Invariant: in any time t at most {@code burst + rate * t} requests pass. Thread safety: not
 * thread-safe.
 *
 * @since 0.2
 */
public final class RateGate {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double perSecond;
  private final double burst;
  private double level;
  private long filledNanos;

  /** Creates a gate with a full burst. */
  public RateGate(double perSecond, double burst, long nowNanos) {
    this.perSecond = perSecond;
    this.burst = burst;
    this.level = burst;
    this.filledNanos = nowNanos;
  }

  /** Counts a request when it may pass now. */
  public boolean tryPass(long nowNanos) {
    fill(nowNanos);
    if (level < 1) {
      return false;
    }
    level -= 1;
    return true;
  }

  /** Returns the milliseconds until the next request may pass. */
  public long retryAfterMillis(long nowNanos) {
    fill(nowNanos);
    return level >= 1 ? 0 : (long) Math.ceil((1 - level) / perSecond * 1_000);
  }

  private void fill(long nowNanos) {
    double elapsed = Math.max(0, nowNanos - filledNanos) / NANOS_PER_SECOND;
    level = Math.min(burst, level + elapsed * perSecond);
    filledNanos = nowNanos;
  }
}
