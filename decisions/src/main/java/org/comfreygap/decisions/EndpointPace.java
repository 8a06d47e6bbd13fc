package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Arrays;

/**
 * What to expect of the pace of one endpoint, from the paces that it stated.
 *
 * <p>A pace is a factor on the usual time of all work there. An endpoint has a usual pace, the
 * median of the statements kept, and departs from it in spells. A statement counts fully at the
 * time at which it was made; its distance from the usual pace fades to nothing in {@link #FADE}.
 * The median is not moved by a few false statements, and the measured pace bounds a median that is
 * false throughout.
 *
 * <pre>{@code
 * pace.stated(160, now);
 * double factor = pace.expected(now, Duration.ofSeconds(1).toNanos());
 * }</pre>
 *
 * <p>Invariant: a result lies between {@link #MIN_FACTOR} and {@link #MAX_FACTOR}. Thread safety:
 * not thread-safe.
 *
 * @since 0.8
 */
public final class EndpointPace {

  /** Time after which a statement tells no more than the usual pace: the longest spells. */
  public static final Duration FADE = Duration.ofMillis(1_000);

  /** Shortest time between two statements that count towards the usual pace. */
  public static final Duration SPACING = Duration.ofMillis(200);

  /** Time for which the slowest pace is remembered, and at most twice as long. */
  public static final Duration SLOWEST_MEMORY = Duration.ofSeconds(10);

  /** Lowest pace that is believed. */
  public static final double MIN_FACTOR = 0.2;

  /** Highest pace that is believed. */
  public static final double MAX_FACTOR = 10;

  /** Statements kept; with the spacing they cover at least three seconds, several spells. */
  static final int KEPT = 15;

  /** A usual pace below this share of the measured one is not believed. */
  static final double TRUSTED_SHARE_OF_MEASURED = 0.5;

  private static final double PERCENT = 100;
  private static final double FADE_NANOS = FADE.toNanos();
  private static final int USUAL_DRAWS = 2;
  private static final int MAX_DRAWS = 8;

  private final double[] kept = new double[KEPT];
  private int count;
  private int next;
  private long keptNanos;
  private double median;
  private boolean usualIsStated;
  private double slowest;
  private double slowestBefore;
  private long slowestSinceNanos;
  private double last;
  private long lastNanos;
  private double measured;
  private int homeDraws = USUAL_DRAWS;

  /** Records a pace in percent that was stated at a time; one older than the last is ignored. */
  public void stated(int percent, long statedNanos) {
    if (count > 0 && statedNanos - lastNanos < 0) {
      return;
    }
    last = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, percent / PERCENT));
    lastNanos = statedNanos;
    recordSlowest(statedNanos);
    if (count == 0 || statedNanos - keptNanos >= SPACING.toNanos()) {
      kept[next] = last;
      next = (next + 1) % KEPT;
      count = Math.min(KEPT, count + 1);
      keptNanos = statedNanos;
      double[] sorted = Arrays.copyOf(kept, count);
      Arrays.sort(sorted);
      if (!usualIsStated) {
        applyUsual(sorted[(count - 1) / 2]);
      }
    }
  }

  /**
   * Records the usual pace in percent that a better observer has found: from here on it holds
   * instead of the median of the statements recorded here.
   */
  public void usualStated(int percent) {
    usualIsStated = true;
    applyUsual(Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, percent / PERCENT)));
  }

  private void applyUsual(double factor) {
    if (factor != median) {
      median = factor;
      homeDraws = (int) Math.max(1, Math.min(MAX_DRAWS, Math.round(USUAL_DRAWS / median)));
    }
  }

  /**
   * Records the pace measured by the time between events, relative to the fastest endpoint of its
   * pool.
   */
  public void measured(double factor) {
    measured = Math.min(MAX_FACTOR, factor);
  }

  /** Returns true when a pace was ever stated. */
  public boolean isKnown() {
    return count > 0;
  }

  /** Returns the last stated pace in percent; 0 when none was stated. */
  public int lastPercent() {
    return (int) Math.round(last * PERCENT);
  }

  /** Returns the age of the last statement. */
  public long ageNanos(long nowNanos) {
    return Math.max(0, nowNanos - lastNanos);
  }

  /** Returns the usual pace; 1 when none was stated. */
  public double usual() {
    double believed = count == 0 ? 1 : median;
    return Math.max(believed, measured * TRUSTED_SHARE_OF_MEASURED);
  }

  /** Returns the pace to expect at {@code nowNanos}. */
  public double expected(long nowNanos) {
    return expected(nowNanos, 0);
  }

  /** Returns the mean pace to expect over the time that follows. */
  public double expected(long nowNanos, long spanNanos) {
    double usual = usual();
    if (count == 0) {
      return usual;
    }
    double worth = worth(ageNanos(nowNanos) / FADE_NANOS, spanNanos / FADE_NANOS);
    return Math.max(MIN_FACTOR, usual + (last - median) * worth);
  }

  private void recordSlowest(long statedNanos) {
    if (count == 0) {
      slowestSinceNanos = statedNanos;
    } else if (statedNanos - slowestSinceNanos >= SLOWEST_MEMORY.toNanos()) {
      slowestBefore = slowest;
      slowest = 0;
      slowestSinceNanos = statedNanos;
    }
    slowest = Math.max(slowest, last);
  }

  /** Returns the mean worth of a statement over a span; times are multiples of the fade. */
  private static double worth(double age, double span) {
    double left = 1 - age;
    if (left <= 0) {
      return 0;
    }
    return span < left ? left - span / 2 : left * left / 2 / span;
  }

  /**
   * Returns the pace to plan with while there is a choice: halfway from the expected pace to the
   * slowest one that was stated lately, as a spell may begin before a prompt is read.
   */
  public double cautious(long nowNanos) {
    return cautious(expected(nowNanos));
  }

  /** Returns the same for a pace that is expected now. */
  public double cautious(double expected) {
    return Math.max(expected, (expected + Math.max(slowest, slowestBefore)) / 2);
  }

  /**
   * Returns how often the endpoint is in the draw for the homes of adapters: in proportion to its
   * usual speed. Observers agree on it, as it has few values.
   */
  public int homeDraws() {
    return homeDraws;
  }
}
