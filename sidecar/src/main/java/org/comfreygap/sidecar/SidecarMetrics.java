package org.comfreygap.sidecar;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.comfreygap.protocol.generated.Outcome;
import org.comfreygap.protocol.generated.RefusalReason;

/**
 * Metrics of the sidecar. Labels are enum constants only, so their number is bounded.
 *
 * <p>Thread safety: all methods may be called from any thread.
 */
@Singleton
final class SidecarMetrics {

  private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
  private final Map<Outcome, Counter> failures = new EnumMap<>(Outcome.class);
  private final Counter finished;
  private final Counter crashes;
  private final Counter loads;
  private final Counter unloads;
  private final Counter loadFailures;
  private final Timer queueWait;
  private final Timer loadWait;

  @Inject
  SidecarMetrics(MeterRegistry registry, EndpointCore core) {
    for (RefusalReason reason : RefusalReason.values()) {
      refusals.put(
          reason, registry.counter("comfreygap.sidecar.refusals", "reason", reason.name()));
    }
    for (Outcome outcome : Outcome.values()) {
      failures.put(
          outcome, registry.counter("comfreygap.sidecar.failures", "outcome", outcome.name()));
    }
    finished = registry.counter("comfreygap.sidecar.finished");
    crashes = registry.counter("comfreygap.sidecar.endpoint.crashes");
    loads = registry.counter("comfreygap.sidecar.adapter.loads");
    unloads = registry.counter("comfreygap.sidecar.adapter.unloads");
    loadFailures = registry.counter("comfreygap.sidecar.adapter.failures");
    queueWait = registry.timer("comfreygap.sidecar.queue.wait");
    loadWait = registry.timer("comfreygap.sidecar.load.wait");
    registry.gauge("comfreygap.sidecar.queued", core, c -> c.computeLocked(now -> c.queue.size()));
    registry.gauge(
        "comfreygap.sidecar.running", core, c -> c.computeLocked(now -> c.ramp.running()));
    registry.gauge(
        "comfreygap.sidecar.limit", core, c -> c.computeLocked(now -> c.ramp.expectedLimit(now)));
  }

  void recordRefusal(RefusalReason reason) {
    refusals.get(reason).increment();
  }

  void recordFailure(Outcome outcome) {
    failures.get(outcome).increment();
  }

  void recordFinished() {
    finished.increment();
  }

  void recordCrash() {
    crashes.increment();
  }

  void recordLoad() {
    loads.increment();
  }

  void recordUnload() {
    unloads.increment();
  }

  void recordCommandFailure() {
    loadFailures.increment();
  }

  void recordWait(long queueNanos, boolean forLoad) {
    Duration wait = Duration.ofNanos(queueNanos);
    queueWait.record(wait);
    if (forLoad) {
      loadWait.record(wait);
    }
  }
}
