package org.comfreygap.control;

import io.micrometer.core.instrument.FunctionCounter;
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

  static void bind(
      MeterRegistry registry, ControlState state, ReplicatedLog log, ReplicaAdmission admission) {
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
    Gauge.builder("comfreygap.control.replicas.voters", log, l -> members(l, true))
        .description("Replicas that vote")
        .register(registry);
    Gauge.builder("comfreygap.control.replicas.learners", log, l -> members(l, false))
        .description("Replicas that were admitted and do not vote yet")
        .register(registry);
    FunctionCounter.builder(
            "comfreygap.control.replicas.caught.up", admission, ReplicaAdmission::caughtUp)
        .description("Replicas that this instance admitted and that became voters")
        .register(registry);
    FunctionCounter.builder(
            "comfreygap.control.replicas.removed", admission, ReplicaAdmission::removed)
        .description("Replicas that this instance removed")
        .register(registry);
    Gauge.builder(
            "comfreygap.control.replicas.last.catch.up.millis",
            admission,
            ReplicaAdmission::lastCatchUpMillis)
        .description("Time from the newest admission until the replica voted")
        .register(registry);
  }

  private static long members(ReplicatedLog log, boolean voters) {
    return log.members().stream().filter(member -> member.isVoter() == voters).count();
  }
}
