package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Arrays;

/**
 * Bounds the attempts beyond the first of each request, within a sliding window.
 *
 * <p>The bound is a share of the requests plus a fixed number, which may change.
 *
 * <pre>{@code
 * window.requested(now);
 * if (window.tryRetry(extra, now)) { sendAgain(); }
 * }</pre>
 *
 * <p>Invariant: in any window the retries allowed here stay within the bound for the requests
 * counted here in that window. Thread safety: not thread-safe.
 *
 * @since 0.2
 */
public final class RetryWindow {

  private static final int BUCKETS = 50;

  private final double ratio;
  private final long bucketNanos;
  private final int[] requests = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS];
  private long bucket;
  private boolean started;

  /**
   * Creates a window without requests.
   *
   * @param ratio retries allowed for each request
   * @param window length of the window
   */
  public RetryWindow(double ratio, Duration window) {
    this.ratio = ratio;
    this.bucketNanos = window.toNanos() / (BUCKETS - 1);
  }

  /** Counts the first attempt of a request. */
  public void requested(long nowNanos) {
    advance(nowNanos);
    requests[slot()]++;
  }

  /**
   * Counts a retry if the bound allows it.
   *
   * @param extra retries allowed beyond the share of the requests
   */
  public boolean tryRetry(double extra, long nowNanos) {
    if (remaining(extra, nowNanos) < 1) {
      return false;
    }
    retries[slot()]++;
    return true;
  }

  /**
   * Counts a retry that was counted at {@code countedNanos} now instead, if the bound still allows
   * it; otherwise it is no longer counted.
   *
   * @param extra retries allowed beyond the share of the requests
   * @since 0.7
   */
  public boolean recount(long countedNanos, double extra, long nowNanos) {
    advance(nowNanos);
    long counted = Math.floorDiv(countedNanos, bucketNanos);
    if (bucket - counted < BUCKETS) {
      retries[(int) Math.floorMod(counted, (long) BUCKETS)]--;
    }
    return tryRetry(extra, nowNanos);
  }

  /** Returns how many retries are allowed now; may have a fraction. */
  public double remaining(double extra, long nowNanos) {
    return allowed(extra, nowNanos) - Arrays.stream(retries).sum();
  }

  /**
   * Returns how many retries the bound allows in the window, those counted included.
   *
   * @since 0.8
   */
  public double allowed(double extra, long nowNanos) {
    advance(nowNanos);
    return ratio * Arrays.stream(requests).sum() + extra;
  }

  /**
   * Returns true when the window counts nothing.
   *
   * @since 0.7
   */
  public boolean isEmpty(long nowNanos) {
    advance(nowNanos);
    return Arrays.stream(requests).sum() + Arrays.stream(retries).sum() == 0;
  }

  private int slot() {
    return (int) Math.floorMod(bucket, (long) BUCKETS);
  }

  private void advance(long nowNanos) {
    long current = Math.floorDiv(nowNanos, bucketNanos);
    if (!started || current - bucket >= BUCKETS) {
      Arrays.fill(requests, 0);
      Arrays.fill(retries, 0);
      bucket = current;
      started = true;
    }
    while (bucket < current) {
      bucket++;
      requests[slot()] = 0;
      retries[slot()] = 0;
    }
  }
}
