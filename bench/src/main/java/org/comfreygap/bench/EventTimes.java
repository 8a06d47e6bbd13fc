package org.comfreygap.bench;

import java.util.ArrayList;
import java.util.List;

/**
 * When the events of a run happened, in microseconds of the machine's clock; 0 for an event that
 * did not happen.
 *
 * <p>Thread safety: written by the scenario's thread before the evidence is judged.
 *
 * @since 0.1
 */
final class EventTimes {

  long loadStart;
  long loadEnd;
  long floodStart;
  long floodEnd;
  long keyWithdrawn;
  long zoneOut;
  long zoneIn;
  String zone = "";
  long faultInjected;
  final List<PlannedStop> plannedStops = new ArrayList<>();

  /** A gateway that was told to stop. */
  record PlannedStop(int gateway, long fromMicros, long toMicros) {}
}
