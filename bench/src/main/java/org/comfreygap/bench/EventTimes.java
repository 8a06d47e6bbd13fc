package org.comfreygap.bench;

import java.util.ArrayList;
import java.util.List;

/**
 * Times of the events of a run in microseconds of the machine's clock; 0 for an event that did not
 * happen.
 *
 * <p>Thread safety: written by the scenario's thread before the observations are evaluated.
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

  /** A requested stop of a gateway. */
  record PlannedStop(int gateway, long fromMicros, long toMicros) {}
}
