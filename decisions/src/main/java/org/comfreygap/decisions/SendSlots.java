package org.comfreygap.decisions;

/**
 * The sends to an endpoint with a request limit, evenly spaced and reserved some time ahead.
 *
 * <p>A sender that may wait takes the next free slot. The fewer slots a sender's customer has
 * reserved, the longer the queue that it may join, so that one customer cannot take every slot; a
 * less urgent sender states a shorter wait and leaves the last part of the queue to others.
 *
 * <pre>{@code
 * long wait = slots.reserve(perSecond, maxWait, customerHash, now);
 * if (wait >= 0) { sendAfter(wait); }
 * }</pre>
 *
 * <p>Invariants: in any time t at most {@code rate * t + 2} slots lie, at the highest rate in that
 * time; a new object has no slot before one interval has passed, whatever its predecessor granted.
 * Thread safety: not thread-safe.
 *
 * @since 0.4
 */
public final class SendSlots {

  /** Result of {@link #reserve} when no slot is free in time. */
  public static final long NONE = -1;

  /**
   * Least rate at which sends are granted: a response is the only way to learn that a limit was
   * raised or has ended.
   */
  public static final double MIN_PER_SECOND = 0.25;

  /**
   * Slots that may be reserved ahead: as many are still used when the endpoint lowers its limit.
   */
  public static final int MAX_AHEAD = 4;

  /** Part of the wait of an urgent sender by which each further rank waits less. */
  private static final double RANK_WEIGHT = 0.5;

  private static final double NANOS_PER_SECOND = 1e9;

  private final long[] pendingSlots = new long[MAX_AHEAD];
  private final long[] pendingCustomers = new long[MAX_AHEAD];
  private long reserved;
  private long lastSlotNanos;
  private long nextSlotNanos;
  private long intervalNanos;

  /** Creates slots of which the first one is an interval away. */
  public SendSlots(double perSecond, long nowNanos) {
    this.intervalNanos = intervalNanos(perSecond);
    this.lastSlotNanos = nowNanos;
    this.nextSlotNanos = nowNanos + intervalNanos;
  }

  /** Returns the time between two slots. */
  public static long intervalNanos(double perSecond) {
    return (long) (NANOS_PER_SECOND / Math.max(MIN_PER_SECOND, perSecond));
  }

  /**
   * Returns the longest wait for a slot.
   *
   * @param leftNanos time until the request must be sent
   * @param rank priority rank, 0 being the most urgent
   */
  public static long maxWaitNanos(long leftNanos, int rank) {
    return (long) (Math.max(0, leftNanos) / (1 + RANK_WEIGHT * Math.max(0, rank)));
  }

  /**
   * Reserves a slot.
   *
   * @param perSecond present limit
   * @param maxWaitNanos longest time until the slot for a customer without reserved slots
   * @return nanoseconds until the slot, or {@link #NONE}
   */
  public long reserve(double perSecond, long maxWaitNanos, long customer, long nowNanos) {
    long wait = waitNanos(perSecond, nowNanos);
    long longest = Math.min(maxWaitNanos, MAX_AHEAD * intervalNanos);
    if (wait > longest / (1 + pendingOf(customer, nowNanos))) {
      return NONE;
    }
    long slot = nowNanos + wait;
    // One slot that nobody used remains usable, so that arrivals at random times find it.
    long earliestNext = nowNanos - intervalNanos;
    nextSlotNanos = Math.max(nextSlotNanos, earliestNext) + intervalNanos;
    lastSlotNanos = slot;
    int index = (int) (reserved++ % MAX_AHEAD);
    pendingSlots[index] = slot;
    pendingCustomers[index] = customer;
    return wait;
  }

  /** Returns the nanoseconds until the next free slot. */
  public long waitNanos(double perSecond, long nowNanos) {
    long interval = intervalNanos(perSecond);
    if (interval < intervalNanos) {
      nextSlotNanos = Math.min(nextSlotNanos, lastSlotNanos + interval);
    }
    intervalNanos = interval;
    return Math.max(0, nextSlotNanos - nowNanos);
  }

  private int pendingOf(long customer, long nowNanos) {
    int pending = 0;
    for (int i = 0; i < MAX_AHEAD && i < reserved; i++) {
      boolean ahead = pendingSlots[i] - nowNanos > 0;
      pending += ahead && pendingCustomers[i] == customer ? 1 : 0;
    }
    return pending;
  }
}
