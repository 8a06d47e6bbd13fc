package org.comfreygap.bench;

import java.util.Map;
import java.util.TreeMap;

/**
 * Prints the number of requests by outcome for each system to standard error, for diagnosis.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
final class OutcomeSummary {

  private static final int DETAIL_CHARACTERS = 110;

  private OutcomeSummary() {}

  static void print(Map<String, RunObservations> systems) {
    systems.forEach(
        (name, observations) -> {
          Map<String, Integer> counts = new TreeMap<>();
          for (CallResult result : observations.results()) {
            counts.merge(kind(result), 1, Integer::sum);
          }
          counts.forEach((kind, count) -> Progress.log(name + " " + count + " x " + kind));
        });
  }

  private static String kind(CallResult result) {
    String detail = result.detail().replaceAll("[0-9a-f-]{20,}", "ID").replace('\n', ' ');
    return result.verdict()
        + " "
        + result.status()
        + " "
        + result.outcome()
        + (result.planned().serviceCall() ? " call " : " completion ")
        + detail.substring(0, Math.min(detail.length(), DETAIL_CHARACTERS));
  }
}
