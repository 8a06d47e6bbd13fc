package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The fleet's time of day: the median of what its processes state, so that clocks that are off, or
 * jump, have no effect while they are fewer than half.
 *
 * <pre>{@code
 * clock.stated("gateway-1", wallMillis, now);
 * OptionalLong time = clock.millis(enough, now);
 * }</pre>
 *
 * <p>Invariant: without a new statement the time advances with the monotonic clock alone. Not
 * thread-safe.
 *
 * @since 0.8
 */
public final class FleetClock {

  /** Age at which a statement no longer counts: several heartbeats. */
  public static final Duration LIFETIME = Duration.ofSeconds(10);

  /** Far above the processes of a fleet. */
  private static final int MAX_PROCESSES = 5_000;

  private final Map<String, Statement> statements = new HashMap<>();

  /** A clock's difference to the monotonic clock here. */
  private record Statement(long offsetMillis, long atNanos) {}

  /** Records the time of day that a process states; its later statement replaces this one. */
  public void stated(String process, long wallMillis, long nowNanos) {
    if (statements.size() >= MAX_PROCESSES && !statements.containsKey(process)) {
      return;
    }
    statements.put(process, new Statement(wallMillis - millis(nowNanos), nowNanos));
  }

  /** Forgets all statements, for example because the monotonic clock here has stood still. */
  public void reset() {
    statements.clear();
  }

  /**
   * Returns the fleet's time of day in Unix milliseconds.
   *
   * @param enough statements without which the time is not known; at least one is needed
   */
  public OptionalLong millis(int enough, long nowNanos) {
    statements.values().removeIf(one -> nowNanos - one.atNanos() > LIFETIME.toNanos());
    int count = statements.size();
    if (count < Math.max(1, enough)) {
      return OptionalLong.empty();
    }
    long[] offsets = statements.values().stream().mapToLong(Statement::offsetMillis).toArray();
    Arrays.sort(offsets);
    return OptionalLong.of(millis(nowNanos) + offsets[count / 2]);
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
