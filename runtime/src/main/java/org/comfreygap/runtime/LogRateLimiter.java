package org.comfreygap.runtime;

import java.util.OptionalLong;

/**
 * Token bucket that limits the log lines of one kind of event under load.
 *
 * <p>Invariant: at most twice {@link #LINES_PER_SECOND} lines are permitted in any second. Thread
 * safety: all methods are synchronized.
 */
final class LogRateLimiter {

  /** Rate and burst: keeps every line at low load and bounds the disk space used at high load. */
  static final int LINES_PER_SECOND = 20;

  private static final double NANOS_PER_SECOND = 1e9;

  private double permits = LINES_PER_SECOND;
  private long refilledNanos;
  private boolean started;
  private long leftOut;

  /**
   * Requests a permit for one line.
   *
   * @return how many lines were left out since the last permitted one, or empty when this one is
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
