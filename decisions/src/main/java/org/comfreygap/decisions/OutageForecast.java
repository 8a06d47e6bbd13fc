package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Estimates when a missing resource, for example the settings after a restart, is likely to be
 * available again, so that refused callers retry then.
 *
 * <p>An outage is expected to take as long as earlier ones, with a remainder of at least three
 * quarters of that duration until it is exceeded. A longer outage is expected to continue for as
 * long as it has lasted. Callers have few attempts, so their retry time is later than the expected
 * end, and different for each caller so that they do not return together.
 *
 * <pre>{@code
 * forecast.outageObserved(now);
 * Duration retryAfter = forecast.retryAfter(now);
 * forecast.outageEnded(later);
 * }</pre>
 *
 * <p>Invariant: the retry times lie between {@link #MIN_RETRY_AFTER} and {@link #MAX_RETRY_AFTER}.
 * Thread safety: not thread-safe.
 *
 * @since 0.3
 */
public final class OutageForecast {

  /** A caller that returns sooner finds the same state, which is refreshed a few times a second. */
  public static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

  /** The longest deadlines of callers are a few times this. */
  public static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(6);

  /** Retry time as a multiple of the expected remaining time. */
  public static final double MARGIN = 1.6;

  /** Retries are spread over this share of the retry time. */
  public static final double SPREAD = 0.5;

  /** Weight of the last outage in the expected duration of the next one. */
  private static final double LEARNING_WEIGHT = 0.5;

  /**
   * Minimum expected remainder as a share of the typical duration, since durations vary by about as
   * much.
   */
  private static final double MIN_REMAINING_SHARE = 0.75;

  /**
   * Fractional parts of its multiples are spread evenly between 0 and 1, however many there are.
   */
  private static final double GOLDEN_RATIO = 0.618_033_988_749_895;

  /**
   * Bounds learned durations: the end of an outage is detected by the next request only, which may
   * arrive much later.
   */
  private static final double MAX_LEARNED_FACTOR = 2;

  /**
   * An outage that was not observed for this long may have ended, and another one may have begun.
   */
  private static final Duration MAX_OBSERVATION_GAP = Duration.ofSeconds(2);

  private final double maxLearnedNanos;
  private double typicalNanos;
  private boolean ongoing;
  private long beganNanos;
  private long lastObservedNanos;
  private long issued;

  /**
   * Creates a forecast without an outage.
   *
   * @param typical duration of an outage, used until one was observed
   */
  public OutageForecast(Duration typical) {
    this.typicalNanos = typical.toNanos();
    this.maxLearnedNanos = typicalNanos * MAX_LEARNED_FACTOR;
  }

  /** Records that the outage is ongoing; the first call of an outage marks its beginning. */
  public void outageObserved(long nowNanos) {
    boolean expired = nowNanos - lastObservedNanos > MAX_OBSERVATION_GAP.toNanos();
    if (!ongoing || expired) {
      ongoing = true;
      beganNanos = nowNanos;
    }
    lastObservedNanos = nowNanos;
  }

  /** Records that there is no outage. */
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
   * Returns the expected remaining time of the outage; zero when there is none, or it was not
   * observed recently.
   */
  public Duration expectedRemaining(long nowNanos) {
    if (!ongoing || nowNanos - lastObservedNanos > MAX_OBSERVATION_GAP.toNanos()) {
      return Duration.ZERO;
    }
    long elapsed = Math.max(0, nowNanos - beganNanos);
    double remaining =
        elapsed < typicalNanos
            ? Math.max(typicalNanos - elapsed, MIN_REMAINING_SHARE * typicalNanos)
            : elapsed;
    return Duration.ofNanos((long) remaining);
  }

  /** Returns the time after which the next refused caller should retry. */
  public Duration retryAfter(long nowNanos) {
    double position = issued++ * GOLDEN_RATIO % 1;
    double nanos = expectedRemaining(nowNanos).toNanos() * MARGIN;
    double bounded =
        Math.max(MIN_RETRY_AFTER.toNanos(), Math.min(nanos, MAX_RETRY_AFTER.toNanos()));
    double spread = bounded * (1 + SPREAD * position);
    return Duration.ofNanos((long) Math.min(spread, MAX_RETRY_AFTER.toNanos()));
  }
}
