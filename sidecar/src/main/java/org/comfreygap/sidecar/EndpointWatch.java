package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.comfreygap.protocol.generated.RefusalReason;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.sidecar.EngineClient.EngineState;

/**
 * Reads the endpoint's state and settles what it says: a new boot, attempts whose connection broke,
 * attempts that were abandoned, and work that another sidecar left behind.
 *
 * <p>Invariant: one state read at a time, each under a unit of the ramp. Thread safety: {@link
 * #step} is run by one duty; the rest is guarded by the core's lock.
 */
@Singleton
final class EndpointWatch {

  /** Time between state reads while nothing calls for one. */
  static final Duration PERIOD = Duration.ofMillis(250);

  private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration BROKEN_PATIENCE = Duration.ofSeconds(2);
  private static final int MAX_EXCHANGES = 4;

  private final EndpointCore core;
  private final EngineClient engine;
  private final AttemptController attempts;
  private final ControlReports reports;
  private final EventLog events;
  private final SidecarMetrics metrics;

  @Inject
  EndpointWatch(
      EndpointCore core,
      EngineClient engine,
      AttemptController attempts,
      ControlReports reports,
      EventLog events,
      SidecarMetrics metrics) {
    this.core = core;
    this.engine = engine;
    this.attempts = attempts;
    this.reports = reports;
    this.events = events;
    this.metrics = metrics;
    core.onBootEnded(this::bootEnded);
  }

  /** Waits for the period or a wake-up and reads the state once. */
  void step() throws InterruptedException {
    core.awaitProbe(PERIOD);
    readState();
  }

  /** Reads the state now, unless the ramp has no unit for it. */
  void readState() throws InterruptedException {
    Long token = core.compute(this::beginRead);
    if (token == null) {
      return;
    }
    try {
      EngineState state =
          engine
              .state(READ_TIMEOUT)
              .get(READ_TIMEOUT.toMillis() + PERIOD.toMillis(), TimeUnit.MILLISECONDS);
      core.locked(now -> stateRead(state, token, now));
    } catch (ExecutionException e) {
      core.locked(now -> readFailed(e.getCause(), now));
    } catch (TimeoutException e) {
      core.locked(now -> readFailed(e, now));
    } finally {
      core.locked(now -> core.ramp.probed());
    }
  }

  private Long beginRead(long now) {
    boolean required =
        core.residency.stateUnknown()
            || core.live.values().stream()
                .anyMatch(a -> a.broken || (a.atEndpoint && a.state == Attempt.State.ENDED));
    return core.ramp.tryProbe(now, required) ? core.residency.readToken() : null;
  }

  private void stateRead(EngineState state, long token, long now) {
    if (core.ramp.ended(state.bootId())) {
      return;
    }
    boolean firstOfBoot = core.ramp.bootId().isEmpty();
    core.observed(state, now);
    if (firstOfBoot) {
      core.after(
          () -> events.record(SidecarEvent.ENDPOINT_BOOT_SEEN, Field.of("boot", state.bootId())));
    }
    if (core.reachable(true)) {
      core.after(() -> events.record(SidecarEvent.ENDPOINT_REACHABLE));
    }
    Set<String> running = new HashSet<>(state.running());
    int foreign = 0;
    for (String id : running) {
      if (!core.live.containsKey(id) && !core.registry.known(id)) {
        foreign++;
      }
    }
    core.ramp.foreign(foreign);
    core.residency.stateRead(token, state.resident(), foreign > 0, now);
    core.syncReady(now);
    for (Attempt attempt : new ArrayList<>(core.live.values())) {
      settle(attempt, running, state, now);
    }
    attempts.pumpLocked(now);
  }

  private void settle(Attempt attempt, Set<String> running, EngineState state, long now) {
    if (!attempt.atEndpoint) {
      return;
    }
    boolean service = attempt.adapter.isEmpty();
    boolean stillRuns = running.contains(attempt.id());
    if (attempt.broken && state.sentAtNanos() - attempt.brokenAtNanos > 0) {
      boolean resumable = stillRuns && attempt.exchange < MAX_EXCHANGES;
      if (attempt.state == Attempt.State.RUNNING && resumable) {
        attempts.resumeLocked(attempt);
        return;
      }
      attempt.broken = false;
      attempts.failLocked(attempt, "the connection to the endpoint broke", false, now);
    }
    boolean over = attempt.state == Attempt.State.ENDED;
    if (over && !service && !stillRuns && state.sentAtNanos() - attempt.endedAtNanos > 0) {
      attempts.settled(attempt);
    }
  }

  private void readFailed(Throwable failure, long now) {
    core.ramp.doubt(now);
    boolean down =
        failure instanceof EngineException e && e.kind() == EngineException.Kind.NOT_SENT;
    if (core.reachable(false)) {
      core.after(
          () ->
              events.record(
                  SidecarEvent.ENDPOINT_UNREACHABLE, Field.of("cause", failure.getMessage())));
    }
    for (Attempt attempt : new ArrayList<>(core.live.values())) {
      attempts.refuseLocked(attempt, RefusalReason.ENDPOINT_UNREACHABLE, "", now);
      boolean tooLong = now - attempt.brokenAtNanos > BROKEN_PATIENCE.toNanos();
      if (!down && attempt.broken && tooLong) {
        attempt.broken = false;
        attempts.failLocked(attempt, "the endpoint does not answer", false, now);
      }
    }
    if (down && core.live.values().stream().anyMatch(a -> a.atEndpoint)) {
      // Nothing listens any more: the process that ran the attempts is gone.
      bootEnded(core.ramp.bootId(), now);
    }
  }

  private void bootEnded(String bootId, long now) {
    core.residency.newBoot();
    core.ramp.foreign(0);
    core.syncReady(now);
    List<String> suspects = new ArrayList<>();
    for (Attempt attempt : new ArrayList<>(core.live.values())) {
      if (attempt.atEndpoint) {
        suspects.add(attempt.request.getFingerprint());
        attempts.failLocked(attempt, "the endpoint restarted", true, now);
        attempts.settled(attempt);
        EngineClient.Answer answer = attempt.answer;
        core.after(() -> abort(answer));
      }
    }
    if (!suspects.isEmpty()) {
      metrics.crashed();
      core.after(() -> reports.crashed(bootId, suspects));
    }
    core.after(
        () ->
            events.record(
                SidecarEvent.ENDPOINT_CRASHED,
                Field.of("boot", bootId),
                Field.of("inFlight", suspects.size())));
    core.wakeMonitor();
  }

  private static void abort(EngineClient.Answer answer) {
    if (answer != null) {
      answer.abort();
    }
  }
}
