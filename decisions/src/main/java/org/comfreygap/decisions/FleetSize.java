package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The number of gateways among which a bound of the whole fleet is divided.
 *
 * <p>A new leader of control reports only the gateways whose heartbeats it has received. With the
 * number as reported, each gateway would take a many times larger part until all are known again.
 *
 * <pre>{@code
 * size.reported(liveGateways, now);
 * double part = bound / size.divisor();
 * }</pre>
 *
 * <p>Invariant: the divisor is the largest number reported within the hold, at least 1. Thread
 * safety: not thread-safe.
 *
 * @since 0.4
 */
public final class FleetSize {

  /** Longer than an election and the next heartbeats of all gateways. */
  public static final Duration HOLD = Duration.ofSeconds(5);

  /**
   * The same for the budgets of retries, which control does not check: gateways that are cut off or
   * restart spend their part meanwhile.
   */
  public static final Duration RETRY_HOLD = Duration.ofSeconds(60);

  private final Deque<Report> reports = new ArrayDeque<>();

  private final long holdNanos;

  /**
   * Creates a size without reports.
   *
   * @param hold time for which a reported number counts
   */
  public FleetSize(Duration hold) {
    this.holdNanos = hold.toNanos();
  }

  private record Report(int gateways, long nanos) {}

  /** Records the number of gateways that are not gone, as far as control reports. */
  public void reported(int gateways, long nowNanos) {
    while (!reports.isEmpty() && reports.getLast().gateways() <= gateways) {
      reports.removeLast();
    }
    reports.addLast(new Report(gateways, nowNanos));
    while (nowNanos - reports.getFirst().nanos() > holdNanos) {
      reports.removeFirst();
    }
  }

  /** Returns the number to divide by. */
  public int divisor() {
    return reports.isEmpty() ? 1 : Math.max(1, reports.getFirst().gateways());
  }
}
