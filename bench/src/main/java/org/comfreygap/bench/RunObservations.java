package org.comfreygap.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Observations of one system during a run: input of its metrics and violation counts.
 *
 * @param record the fakes' record at the end of the run
 * @param initialRecord the fakes' record at the start of the measurement
 * @param results results of the callers' requests
 * @param eventTimes times of the events of the run
 * @param zones zone of each endpoint
 * @param limits limits of each customer, by index
 * @param readings settings revisions that were read
 * @param maxBatch maximum batch size of the engines
 * @since 0.1
 */
record RunObservations(
    FleetRecord record,
    FleetRecord initialRecord,
    List<CallResult> results,
    EventTimes eventTimes,
    Map<String, String> zones,
    List<Limit> limits,
    List<SettingsReading> readings,
    int maxBatch) {

  /** Returns the planned request of each nonce. */
  Map<String, PlannedRequest> plannedByNonce() {
    Map<String, PlannedRequest> planned = new HashMap<>();
    for (CallResult result : results) {
      planned.put(result.planned().nonce(), result.planned());
    }
    return planned;
  }

  /** Returns true when the run belongs to the measured load. */
  boolean isMeasured(FleetRecord.Run run) {
    return run.startMicros() >= eventTimes.loadStart;
  }

  /**
   * A customer's limits.
   *
   * @param tokensPerSecond rate
   * @param burstTokens burst
   */
  record Limit(long tokensPerSecond, long burstTokens) {}

  /**
   * A settings revision read from one source.
   *
   * @param source process or document that was read
   * @param atMicros time of the reading
   * @param revision revision or value that was read
   */
  record SettingsReading(String source, long atMicros, long revision) {}
}
