package org.comfreygap.testkit;

/**
 * The weight store shared by the fake engines of a fleet.
 *
 * <p>A token bucket paces the start of loads: bursts up to {@code fullSpeedLoads}, then {@code
 * loadsPerSecond}. A transfer takes the base time while at most {@code maxInFlight} loads are in
 * flight and proportionally longer beyond that. Thread safety: all methods may be called from any
 * thread.
 *
 * @since 0.1
 */
public final class WeightStore {

  private double loadsPerSecond;
  private int fullSpeedLoads;
  private int maxInFlight;
  private double tokens;
  private long refilledNanos = System.nanoTime();
  private int inFlight;
  private int peakInFlight;

  /** Creates a store with the given rate, burst size and fleet-wide concurrency. */
  public WeightStore(double loadsPerSecond, int fullSpeedLoads, int maxInFlight) {
    this.loadsPerSecond = loadsPerSecond;
    this.fullSpeedLoads = fullSpeedLoads;
    this.maxInFlight = maxInFlight;
    this.tokens = fullSpeedLoads;
  }

  /** Returns a store without limits, for tests that do not exercise loads. */
  public static WeightStore unlimited() {
    return new WeightStore(1_000_000, 1_000_000, 1_000_000);
  }

  /** Blocks for the duration of one load; returns the loads in flight, including this one. */
  public int load(long baseMillis) throws InterruptedException {
    int concurrentLoads;
    long waitNanos;
    double slowdown;
    synchronized (this) {
      inFlight++;
      concurrentLoads = inFlight;
      slowdown = Math.max(1.0, (double) concurrentLoads / maxInFlight);
      peakInFlight = Math.max(peakInFlight, inFlight);
      waitNanos = reserveDelayNanos(System.nanoTime());
    }
    try {
      Thread.sleep(waitNanos / 1_000_000 + (long) (baseMillis * slowdown));
    } finally {
      synchronized (this) {
        inFlight--;
      }
    }
    return concurrentLoads;
  }

  /** Changes the limits, for example to fill the slots quickly before a measurement. */
  public synchronized void setLimits(double newRate, int newFullSpeedLoads, int newMaxInFlight) {
    loadsPerSecond = newRate;
    fullSpeedLoads = newFullSpeedLoads;
    maxInFlight = newMaxInFlight;
    tokens = Math.min(tokens, newFullSpeedLoads);
  }

  /** Returns the highest number of loads in flight at any time. */
  public synchronized int peakInFlight() {
    return peakInFlight;
  }

  private long reserveDelayNanos(long nowNanos) {
    double refill = (nowNanos - refilledNanos) / 1e9 * loadsPerSecond;
    tokens = Math.min(fullSpeedLoads, tokens + refill) - 1;
    refilledNanos = nowNanos;
    return tokens >= 0 ? 0 : (long) (-tokens / loadsPerSecond * 1e9);
  }
}
