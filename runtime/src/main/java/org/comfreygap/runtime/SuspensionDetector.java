package org.comfreygap.runtime;

import java.util.concurrent.TimeUnit;

/**
 * Notices that the process was suspended, or that the wall clock was set.
 *
 * <p>The monotonic clock of the JVM stands still while the machine is suspended, so a lease that is
 * measured by it alone seems young after the machine wakes. The wall clock goes on. When the two
 * have moved apart, nothing that was confirmed before is trusted. A wall clock that was only set
 * costs one confirmation.
 *
 * <pre>{@code
 * if (lease.valid(now) && watch.trusted(confirmedAt, ClockReading.now())) { serve(); }
 * }</pre>
 *
 * <p>Invariant: a confirmation from before the newest gap is never trusted. Thread safety: all
 * methods are synchronized.
 *
 * @since 0.2
 */
public final class SuspensionDetector {

  /**
   * Difference between the clocks that counts as a gap, in milliseconds: far above the steps of a
   * clock that is slewed, far below the shortest lease.
   */
  public static final long JUMP_THRESHOLD_MILLIS = 60;

  private ClockReading last;
  private boolean jumped;
  private long lastJumpNanos;

  /** Takes note of both clocks. */
  public synchronized void observe(ClockReading now) {
    if (last != null) {
      long monotonic = TimeUnit.NANOSECONDS.toMillis(now.nanos() - last.nanos());
      if (Math.abs(now.wallMillis() - last.wallMillis() - monotonic) > JUMP_THRESHOLD_MILLIS) {
        jumped = true;
        lastJumpNanos = now.nanos();
      }
    }
    last = now;
  }

  /**
   * Takes note of both clocks and returns true when what was confirmed at {@code confirmedNanos}
   * may be trusted: there was no gap since.
   */
  public synchronized boolean isTrusted(long confirmedNanos, ClockReading now) {
    observe(now);
    return !jumped || confirmedNanos - lastJumpNanos > 0;
  }
}
