package org.comfreygap.runtime;

import java.util.function.LongSupplier;

/**
 * Monotonic and wall-clock time, read at the same moment.
 *
 * <p>Invariant: the two values were read within {@link #MAX_READ_NANOS} of each other, unless the
 * thread was descheduled during each of {@link #MAX_ATTEMPTS} attempts. Thread safety: immutable.
 *
 * @param nanos monotonic time in nanoseconds
 * @param wallMillis milliseconds since the epoch
 * @since 0.2
 */
public record ClockReading(long nanos, long wallMillis) {

  /** Longest time between the monotonic readings before and after the wall-clock reading. */
  static final long MAX_READ_NANOS = 2_000_000;

  /** Bounds the attempts on a machine that is starved of processor time. */
  static final int MAX_ATTEMPTS = 8;

  /** Returns the current time by this machine's clocks. */
  public static ClockReading now() {
    return of(System::nanoTime, System::currentTimeMillis);
  }

  /** Returns the current time by the given clocks. */
  public static ClockReading of(LongSupplier nanoTime, LongSupplier wallMillis) {
    ClockReading reading = null;
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      long before = nanoTime.getAsLong();
      long wall = wallMillis.getAsLong();
      reading = new ClockReading(before, wall);
      if (nanoTime.getAsLong() - before <= MAX_READ_NANOS) {
        return reading;
      }
    }
    return reading;
  }
}
