package org.comfreygap.decisions;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * A process's knowledge of the fleet's time of day, kept by its monotonic clock.
 *
 * <p>Invariant: the wall clock of the process has no influence. Not thread-safe.
 *
 * @since 0.8
 */
public final class FleetTime {

  /** Age of a statement from which on a less exact one replaces it. */
  private static final Duration RENEWAL = Duration.ofSeconds(10);

  private boolean known;
  private long offsetMillis;
  private long roundTripNanos;
  private long statedNanos;

  /**
   * Records a statement of the fleet's time. One that took much longer than the present one is less
   * exact, and replaces it only when that is old.
   *
   * @param sentNanos monotonic time at which it was asked for
   * @param receivedNanos monotonic time at which it arrived
   */
  public void stated(long fleetMillis, long sentNanos, long receivedNanos) {
    long roundTrip = receivedNanos - sentNanos;
    boolean renew = receivedNanos - statedNanos >= RENEWAL.toNanos();
    if (known && !renew && roundTrip > 2 * roundTripNanos) {
      return;
    }
    known = true;
    offsetMillis = fleetMillis - TimeUnit.NANOSECONDS.toMillis(sentNanos + roundTrip / 2);
    roundTripNanos = roundTrip;
    statedNanos = receivedNanos;
  }

  /** Forgets the time, because the monotonic clock may have stood still. */
  public void reset() {
    known = false;
  }

  /** Returns the fleet's time of day in Unix milliseconds; empty before the first statement. */
  public OptionalLong millis(long nowNanos) {
    return known
        ? OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(nowNanos) + offsetMillis)
        : OptionalLong.empty();
  }
}
