package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.comfreygap.settings.RequestKind;

/**
 * Learns how long attempts take until their first output, for each pool and kind of request.
 *
 * <p>An attempt that was given up for another one counts with the time that it had taken: left out,
 * the slowest attempts would be missing, and the quantile would fall with each second attempt.
 *
 * <pre>{@code
 * delay.record("app", RequestKind.SAFE, elapsed, now);
 * OptionalLong slow = delay.quantileNanos("app", RequestKind.SAFE, 0.95, now);
 * }</pre>
 *
 * <p>Invariants: a quantile is at most one part in ten above the sample it stands for; samples
 * older than two {@link #GENERATION}s count no more; at most {@link #MAX_SERIES} pools and kinds
 * are kept. Thread safety: not thread-safe.
 *
 * @since 0.8
 */
public final class HedgeDelay {

  /** Time over which samples are gathered; a quantile is of this and the generation before. */
  public static final Duration GENERATION = Duration.ofSeconds(15);

  /** Samples below which there is no quantile. */
  public static final int MIN_SAMPLES = 40;

  /** Pools and kinds that are kept; others have no quantile until one is unused. */
  public static final int MAX_SERIES = 256;

  private static final double GROWTH = 1.1;
  private static final double FIRST_BOUND_NANOS = 500_000;
  // The last bound is above a minute.
  private static final int BUCKETS = 125;

  private final Map<Key, Series> series = new HashMap<>();

  private record Key(String pool, RequestKind kind) {}

  /** Records the time until the first output of an attempt, or until it was given up. */
  public void record(String pool, RequestKind kind, long nanos, long nowNanos) {
    Key key = new Key(pool, kind);
    if (!series.containsKey(key)) {
      series.values().removeIf(known -> known.isUnused(nowNanos));
      if (series.size() >= MAX_SERIES) {
        return;
      }
    }
    series.computeIfAbsent(key, added -> new Series(nowNanos)).record(nanos, nowNanos);
  }

  /**
   * Returns the time that a share of the recent attempts did not exceed; empty while too few are
   * known.
   *
   * @param quantile share of the attempts, between 0 and 1
   */
  public OptionalLong quantileNanos(String pool, RequestKind kind, double quantile, long nowNanos) {
    Series known = series.get(new Key(pool, kind));
    return known == null ? OptionalLong.empty() : known.quantile(quantile, nowNanos);
  }

  /** Returns the number of pools and kinds that are kept. */
  int size() {
    return series.size();
  }

  private static int bucketOf(long nanos) {
    double steps = Math.log(Math.max(1, nanos) / FIRST_BOUND_NANOS) / Math.log(GROWTH);
    return (int) Math.max(0, Math.min(BUCKETS - 1, Math.ceil(steps)));
  }

  private static long boundOf(int bucket) {
    return (long) (FIRST_BOUND_NANOS * Math.pow(GROWTH, bucket));
  }

  /** The samples of one pool and kind. */
  private static final class Series {

    private final int[] before = new int[BUCKETS];
    private final int[] current = new int[BUCKETS];
    private long sinceNanos;

    Series(long nowNanos) {
      sinceNanos = nowNanos;
    }

    void record(long nanos, long nowNanos) {
      advance(nowNanos);
      current[bucketOf(nanos)]++;
    }

    OptionalLong quantile(double quantile, long nowNanos) {
      advance(nowNanos);
      int samples = Arrays.stream(before).sum() + Arrays.stream(current).sum();
      if (samples < MIN_SAMPLES) {
        return OptionalLong.empty();
      }
      double wanted = quantile * samples;
      int seen = 0;
      int bucket = 0;
      while (bucket < BUCKETS - 1 && seen + before[bucket] + current[bucket] < wanted) {
        seen += before[bucket] + current[bucket];
        bucket++;
      }
      return OptionalLong.of(boundOf(bucket));
    }

    boolean isUnused(long nowNanos) {
      advance(nowNanos);
      return Arrays.stream(before).sum() + Arrays.stream(current).sum() == 0;
    }

    private void advance(long nowNanos) {
      long passed = (nowNanos - sinceNanos) / GENERATION.toNanos();
      if (passed <= 0) {
        return;
      }
      System.arraycopy(current, 0, before, 0, BUCKETS);
      if (passed > 1) {
        Arrays.fill(before, 0);
      }
      Arrays.fill(current, 0);
      sinceNanos += passed * GENERATION.toNanos();
    }
  }
}
