package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The number of gateways among which a bound is divided that nothing checks afterwards, such as the
 * budgets of retries.
 *
 * <p>A gateway takes a part only while control has reported the fleet recently, and only once every
 * other gateway that takes one has learnt of it:
 *
 * <ul>
 *   <li>A gateway that is cut off stops after {@link #REPORT_LIFETIME}. The others hold the larger
 *       number for at least a window longer, after which nothing counts that it spent.
 *   <li>A gateway that joins, or returns, waits for {@link #REPORT_LIFETIME}, after which whoever
 *       takes a part counts it, and for a window, after which nothing counts that was spent by a
 *       smaller number.
 * </ul>
 *
 * <pre>{@code
 * fleet.reported(gateways, askedNanos, askedWallMillis, nowNanos);
 * fleet.known(nowNanos, nowWallMillis).ifPresent(number -> spend(bound / number));
 * }</pre>
 *
 * <p>Invariant: the number is empty unless reports have followed each other within {@link
 * #REPORT_LIFETIME}, by either clock, for a window and that lifetime. Thread safety: not
 * thread-safe.
 *
 * @since 0.7
 */
public final class KnownFleet {

  /**
   * Age up to which a report counts: longer than an election, {@link MembershipView#SETTLING} and
   * the next heartbeat.
   */
  public static final Duration REPORT_LIFETIME = Duration.ofSeconds(10);

  private final FleetSize size;
  private final long waitNanos;
  private boolean everReported;
  private long sinceNanos;
  private long askedNanos;
  private long askedWallMillis;

  /**
   * Creates a fleet without reports.
   *
   * @param window length of the sliding window of the bound
   */
  public KnownFleet(Duration window) {
    Duration wait = window.plus(REPORT_LIFETIME);
    this.waitNanos = wait.toNanos();
    this.size =
        new FleetSize(wait.compareTo(FleetSize.RETRY_HOLD) > 0 ? wait : FleetSize.RETRY_HOLD);
  }

  /**
   * Records what control reports. The same report may be recorded again.
   *
   * @param gateways number of gateways that are not gone; 0 is not a report
   * @param askedNanos monotonic time at which control was asked
   * @param askedWallMillis time of day of that moment, in milliseconds since the epoch
   * @param nowNanos monotonic time
   */
  public void reported(int gateways, long askedNanos, long askedWallMillis, long nowNanos) {
    if (gateways < 1) {
      return;
    }
    if (!everReported || isOld(askedNanos, askedWallMillis)) {
      sinceNanos = nowNanos;
    }
    everReported = true;
    this.askedNanos = askedNanos;
    this.askedWallMillis = askedWallMillis;
    size.reported(gateways, nowNanos);
  }

  /** Returns the number to divide by; empty while this gateway takes no part. */
  public OptionalInt known(long nowNanos, long nowWallMillis) {
    boolean entitled =
        everReported && nowNanos - sinceNanos >= waitNanos && !isOld(nowNanos, nowWallMillis);
    return entitled ? OptionalInt.of(size.divisor()) : OptionalInt.empty();
  }

  /** Returns the age of the latest report by the monotonic clock; empty without one. */
  public Optional<Duration> reportAge(long nowNanos) {
    return everReported ? Optional.of(Duration.ofNanos(nowNanos - askedNanos)) : Optional.empty();
  }

  private boolean isOld(long thenNanos, long thenWallMillis) {
    return thenNanos - askedNanos > REPORT_LIFETIME.toNanos()
        || thenWallMillis - askedWallMillis > REPORT_LIFETIME.toMillis();
  }
}
