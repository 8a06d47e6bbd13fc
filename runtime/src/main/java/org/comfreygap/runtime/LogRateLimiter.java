package org.comfreygap.runtime;

import java.util.OptionalLong;

/**
 * Bounds the lines that one kind of event leaves in the log while there is much traffic.
 *
 * <p>Invariant: in any second at most twice {@link #LINES_PER_SECOND} lines pass. Thread safety:
 * all methods are synchronized.
 */
final class LogRateLimiter {

  /** Lines a second, and at once: enough to follow a calm day whole, few on an instance's disk. */
  static final int LINES_PER_SECOND = 20;

  private static final double NANOS_PER_SECOND = 1e9;

  private double permits = LINES_PER_SECOND;
  private long refilledNanos;
  private boolean started;
  private long leftOut;

  /**
   * Decides about one line.
   *
   * @return how many lines were left out since the last one that passed, or empty when this one is
   *     left out
   */
  synchronized OptionalLong tryAcquire(long nowNanos) {
    if (started) {
      double gained = (nowNanos - refilledNanos) / NANOS_PER_SECOND * LINES_PER_SECOND;
      permits = Math.min(LINES_PER_SECOND, permits + Math.max(0, gained));
    }
    started = true;
    refilledNanos = nowNanos;
    if (permits < 1) {
      leftOut++;
      return OptionalLong.empty();
    }
    permits--;
    long before = leftOut;
    leftOut = 0;
    return OptionalLong.of(before);
  }
}
