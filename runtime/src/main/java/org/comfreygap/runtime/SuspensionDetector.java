package org.comfreygap.runtime;

import java.util.concurrent.TimeUnit;

/**
 * Detects that the process was suspended or that the wall clock was set.
 *
 * <p>The monotonic clock of the JVM stops while the machine is suspended, so a lease measured by it
 * alone would still seem valid after the machine resumes. The wall clock keeps running. When the
 * two clocks diverge, earlier confirmations are no longer trusted. If the wall clock was merely
 * set, this costs one additional confirmation.
 *
 * <pre>{@code
 * if (lease.valid(now) && detector.isTrusted(confirmedAt, ClockReading.now())) { serve(); }
 * }</pre>
 *
 * <p>Invariant: a confirmation from before the latest clock jump is never trusted. Thread safety:
 * all methods are synchronized.
 *
 * @since 0.2
 */
public final class SuspensionDetector {

  /**
   * Divergence of the clocks that counts as a jump, in milliseconds: far above the steps of a
   * slewed clock, far below the shortest lease.
   */
  public static final long JUMP_THRESHOLD_MILLIS = 60;

  private ClockReading last;
  private boolean jumped;
  private long lastJumpNanos;

  /** Compares both clocks with their last readings. */
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
   * Observes both clocks and returns true when a confirmation at {@code confirmedNanos} may be
   * trusted, that is, when there was no clock jump since.
   */
  public synchronized boolean isTrusted(long confirmedNanos, ClockReading now) {
    observe(now);
    return !jumped || confirmedNanos - lastJumpNanos > 0;
  }
}
