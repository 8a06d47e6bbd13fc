package org.comfreygap.control;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.comfreygap.consensus.ReplicatedLog;

/**
 * Metrics of a control instance.
 *
 * <p>Thread safety: stateless.
 */
final class ControlMetrics {

  private ControlMetrics() {}

  static void bind(MeterRegistry registry, ControlState state, ReplicatedLog log) {
    Gauge.builder("comfreygap.control.revision", state, ControlState::revision)
        .description("Newest settings revision at this instance")
        .register(registry);
    Gauge.builder(
            "comfreygap.control.documents",
            state,
            s -> s.readSettings(store -> store.tree().size()))
        .description("Documents in the settings tree")
        .register(registry);
    Gauge.builder("comfreygap.control.ledger.entries", state, ControlState::ledgerSize)
        .description("Entries in the request ledger")
        .register(registry);
    Gauge.builder(
            "comfreygap.control.leader", log, l -> l.lease(System.nanoTime()).isPresent() ? 1 : 0)
        .description("1 while this instance leads")
        .register(registry);
    Gauge.builder("comfreygap.control.term", log, ReplicatedLog::term)
        .description("Term of the replicated log")
        .register(registry);
  }
}
