package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;
import org.comfreygap.protocol.generated.HeartbeatRequest;

/**
 * The sources of the duties that the settings ask for.
 *
 * <p>Thread safety: immutable.
 */
@Singleton
final class DutySources {

  private final Map<Duty, DutySource> sources = new EnumMap<>(Duty.class);

  private final FleetTimeController time;

  @Inject
  DutySources(
      DutySettings settings, FleetTimeController time, UsageReports usage, ScaleController scale) {
    this.time = time;
    if (settings.asks(Duty.USAGE)) {
      sources.put(Duty.USAGE, usage);
    }
    if (settings.asks(Duty.ENDPOINTS)) {
      sources.put(Duty.ENDPOINTS, scale);
    }
  }

  Map<Duty, DutySource> byDuty() {
    return sources;
  }

  Collection<DutySource> all() {
    return sources.values();
  }

  /** Returns the fleet's time of day; empty while it is not known or nothing asks for it. */
  OptionalLong fleetMillis(LeaderTerm term, long nowNanos) {
    return sources.isEmpty() ? OptionalLong.empty() : time.millis(term, nowNanos);
  }

  /** Records what a process reports in a heartbeat; does nothing without a duty. */
  void heartbeat(LeaderTerm term, HeartbeatRequest request, long nowNanos) {
    if (sources.isEmpty()) {
      return;
    }
    time.heartbeat(term, request, nowNanos);
    all().forEach(source -> source.heartbeat(term, request, nowNanos));
  }
}
