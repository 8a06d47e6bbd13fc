package org.comfreygap.runtime;

import java.util.function.LongSupplier;

/**
 * Monotonic and wall-clock time, read together.
 *
 * <p>Invariant: the two values belong together within {@link #MAX_READ_NANOS}, unless the processor
 * was taken away on every one of {@link #MAX_ATTEMPTS} tries. Thread safety: immutable.
 *
 * @param nanos monotonic time in nanoseconds
 * @param wallMillis milliseconds since the epoch
 * @since 0.2
 */
public record ClockReading(long nanos, long wallMillis) {

  /** Longest time between the two readings of the monotonic clock around the other one. */
  static final long MAX_READ_NANOS = 2_000_000;

  /** Bounds the tries on a machine that is starved of processor time. */
  static final int MAX_ATTEMPTS = 8;

  /** Returns the time of this machine now. */
  public static ClockReading now() {
    return of(System::nanoTime, System::currentTimeMillis);
  }

  /** Returns the time now by the given clocks. */
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
