package org.comfreygap.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All that a run left to judge one system by.
 *
 * @param record the fakes' own record
 * @param earlier the fakes' record at the start of the measurement
 * @param results what the callers saw
 * @param marks when the events happened
 * @param zones zone of each endpoint
 * @param limits limits of each customer, by index
 * @param readings revisions seen
 * @param maxBatch batch bound of the engines
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
   * A revision seen in one place.
   *
   * @param source process or document that was read
   * @param atMicros when
   * @param revision what it said
   */
  record SettingsReading(String source, long atMicros, long revision) {}
}
