package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import org.comfreygap.protocol.generated.HeartbeatRequest;

/**
 * The sources of the duties that the settings ask for.
 *
 * <p>Thread safety: immutable.
 */
@Singleton
final class DutySources {

  private final Map<Duty, DutySource> sources = new EnumMap<>(Duty.class);

  @Inject
  DutySources(DutySettings settings, ScaleController scale) {
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

  void heartbeat(LeaderTerm term, HeartbeatRequest request, long nowNanos) {
    all().forEach(source -> source.heartbeat(term, request, nowNanos));
  }
}
