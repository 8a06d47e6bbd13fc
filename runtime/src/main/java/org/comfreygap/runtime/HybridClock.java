package org.comfreygap.runtime;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A hybrid logical clock: wall-clock milliseconds in the upper 48 bits, a counter in the lower 16.
 *
 * <p>Invariant: values increase strictly within a process, even when the wall clock jumps back, and
 * a value taken after {@link #observe} is greater than the observed one. Thread safety: lock-free.
 *
 * @since 0.1
 */
public final class HybridClock {

  private static final int COUNTER_BITS = 16;

  private final LongSupplier wallMillis;
  private final AtomicLong last = new AtomicLong();

  /** Creates a clock based on {@code wallMillis}, in milliseconds since the epoch. */
  public HybridClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /** Returns the next value. */
  public long next() {
    long physical = wallMillis.getAsLong() << COUNTER_BITS;
    return last.updateAndGet(previous -> Math.max(previous + 1, physical));
  }

  /** Advances the clock to a value received from another process. */
  public void observe(long remote) {
    last.accumulateAndGet(remote, Math::max);
  }

  /** Returns the wall-clock milliseconds of {@code value}. */
  public static long millis(long value) {
    return value >>> COUNTER_BITS;
  }
}
