package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Tells refused callers when something that is missing is likely to be there again, for example
 * settings after a restart.
 *
 * <p>An outage is expected to take as long as the ones before it, and to last for three quarters of
 * that more when it nears their length. One that has outlasted them is expected to go on for as
 * long as it has lasted. Callers have few tries, so they are told a later time than the expected
 * one, and each another one, so that they do not return together.
 *
 * <pre>{@code
 * forecast.began(now);
 * Duration retryAfter = forecast.returnAfter(now);
 * forecast.ended(later);
 * }</pre>
 *
 * <p>Invariant: the told times lie between {@link #MIN_RETRY_AFTER} and {@link #MAX_RETRY_AFTER}.
 * Thread safety: not thread-safe.
 *
 * @since 0.3
 */
public final class OutageForecast {

  /**
   * A caller that returns sooner meets the same state: knowledge is renewed a few times a second.
   */
  public static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

  /** The longest deadlines of callers are a few times this. */
  public static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(6);

  /** Told time as a multiple of the expected one. */
  public static final double MARGIN = 1.6;

  /** Returns are spread over this share of the told time. */
  public static final double SPREAD = 0.5;

  /** Weight of the last outage in what the next one is expected to take. */
  private static final double LEARNING_WEIGHT = 0.5;

  /** Least expected rest, as a share of the usual length, since lengths differ by about as much. */
  private static final double MIN_REMAINING_SHARE = 0.75;

  /** Multiples of the golden ratio fall evenly between 0 and 1, however many there are. */
  private static final double GOLDEN_RATIO = 0.618_033_988_749_895;

  /** The end of an outage is noticed by the next request only, which may come much later. */
  private static final double MAX_LEARNED_FACTOR = 2;

  /** An outage that nobody met for so long may have ended, and another one may have begun. */
  private static final Duration FORGET_AFTER = Duration.ofSeconds(2);

  private final double maxLearnedNanos;
  private double typicalNanos;
  private boolean ongoing;
  private long beganNanos;
  private long lastObservedNanos;
  private long issued;

  /**
   * Creates a forecast without an outage.
   *
   * @param usual time that an outage takes, before one was seen
   */
  public OutageForecast(Duration usual) {
    this.typicalNanos = usual.toNanos();
    this.maxLearnedNanos = typicalNanos * MAX_LEARNED_FACTOR;
  }

  /** Takes note that the outage lasts; the first call of an outage is its beginning. */
  public void outageObserved(long nowNanos) {
    boolean forgotten = nowNanos - lastObservedNanos > FORGET_AFTER.toNanos();
    if (!ongoing || forgotten) {
      ongoing = true;
      beganNanos = nowNanos;
    }
    lastObservedNanos = nowNanos;
  }

  /** Takes note that there is no outage. */
  public void outageEnded(long nowNanos) {
    if (ongoing) {
      ongoing = false;
      double lasted = Math.min(nowNanos - beganNanos, maxLearnedNanos);
      typicalNanos += LEARNING_WEIGHT * (lasted - typicalNanos);
    }
  }

  /** Returns true during an outage. */
  public boolean ongoing() {
    return ongoing;
  }

  /**
   * Returns the time that the outage is expected to last from now on; zero when there is none, or
   * nobody met it lately.
   */
  public Duration expectedRemaining(long nowNanos) {
    if (!ongoing || nowNanos - lastObservedNanos > FORGET_AFTER.toNanos()) {
      return Duration.ZERO;
    }
    long elapsed = Math.max(0, nowNanos - beganNanos);
    double remaining =
        elapsed < typicalNanos
            ? Math.max(typicalNanos - elapsed, MIN_REMAINING_SHARE * typicalNanos)
            : elapsed;
    return Duration.ofNanos((long) remaining);
  }

  /** Returns the time after which the next refused caller should return. */
  public Duration retryAfter(long nowNanos) {
    double position = issued++ * GOLDEN_RATIO % 1;
    double nanos = expectedRemaining(nowNanos).toNanos() * MARGIN;
    double bounded =
        Math.max(MIN_RETRY_AFTER.toNanos(), Math.min(nanos, MAX_RETRY_AFTER.toNanos()));
    double spread = bounded * (1 + SPREAD * position);
    return Duration.ofNanos((long) Math.min(spread, MAX_RETRY_AFTER.toNanos()));
  }
}
