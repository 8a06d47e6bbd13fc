package org.comfreygap.testkit;

/**
 * The requests that a fake endpoint carries after a start: {@code initial} at first, rising in a
 * straight line to {@code full} over the ramp.
 *
 * @param initial requests carried at the start
 * @param rampMillis time until the full number is carried
 * @since 0.1
 */
public record ColdStart(int initial, long rampMillis) {

  /** Returns a start without a ramp. */
  public static ColdStart none() {
    return new ColdStart(1, 0);
  }

  int limitAt(long uptimeMillis, int full) {
    if (uptimeMillis >= rampMillis) {
      return full;
    }
    return Math.min(full, initial + (int) ((full - initial) * uptimeMillis / rampMillis));
  }
}
