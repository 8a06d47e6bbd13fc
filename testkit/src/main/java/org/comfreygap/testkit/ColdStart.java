package org.comfreygap.testkit;

/**
 * Concurrency limit of a fake endpoint after a start: {@code initial} at first, rising linearly to
 * the full limit over the ramp.
 *
 * @param initial concurrent requests allowed at the start
 * @param rampMillis time until the full limit applies
 * @since 0.1
 */
public record ColdStart(int initial, long rampMillis) {

  /** Returns a cold start without a ramp. */
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
