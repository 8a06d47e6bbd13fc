package org.comfreygap.testkit;

import java.util.EnumMap;
import java.util.Map;

/**
 * The remaining occurrences and the duration of each injected fault.
 *
 * <p>Thread safety: all methods are synchronized.
 *
 * @since 0.1
 */
final class ArmedFaults {

  private final Map<EndpointFault, Integer> counts = new EnumMap<>(EndpointFault.class);
  private final Map<EndpointFault, Long> millis = new EnumMap<>(EndpointFault.class);

  synchronized void arm(EndpointFault fault, int count, long duration) {
    counts.put(fault, count);
    millis.put(fault, duration);
  }

  /** Consumes one occurrence of the fault; returns false if none is left. */
  synchronized boolean consume(EndpointFault fault) {
    int left = counts.getOrDefault(fault, 0);
    if (left == 0) {
      return false;
    }
    counts.put(fault, left - 1);
    return true;
  }

  synchronized boolean isArmed(EndpointFault fault) {
    return counts.getOrDefault(fault, 0) > 0;
  }

  synchronized long millis(EndpointFault fault) {
    return millis.getOrDefault(fault, 0L);
  }
}
