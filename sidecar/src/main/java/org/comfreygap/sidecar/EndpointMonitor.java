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
 * Reads the endpoint's state periodically and handles new boots, attempts whose connection broke,
 * abandoned attempts, and requests left running by another sidecar.
 *
 * <p>Invariant: one state read at a time, each holding a unit of the ramp. Thread safety: {@link
 * #step} is run by one duty thread; the rest is guarded by the core's lock.
 */
@Singleton
final class EndpointMonitor {

  /** Time between state reads without a wake-up. */
  static final Duration PERIOD = Duration.ofMillis(250);

  private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration BROKEN_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(2);
  // Maximum time between sending a request and its appearance in the engine's state. With 500 ms,
  // requests that the engine had not read yet were considered lost on a busy machine.
  private static final Duration MAX_ARRIVAL_DELAY = Duration.ofSeconds(2);
  private static final int MAX_EXCHANGES = 4;
  private static final int FAILURES_UNTIL_UNREACHABLE = 2;

  private final EndpointCore core;
  private final EngineClient engine;
  private final AttemptController attempts;
  private final RunningAttempts running;
  private final ControlReports reports;
  private final EventLog events;
  private final SidecarMetrics metrics;
  private int failures;

  @Inject
  EndpointMonitor(
      EndpointCore core,
      EngineClient engine,
      AttemptController attempts,
      RunningAttempts running,
      ControlReports reports,
      EventLog events,
      SidecarMetrics metrics) {
    this.core = core;
    this.engine = engine;
    this.attempts = attempts;
    this.running = running;
    this.reports = reports;
    this.events = events;
    this.metrics = metrics;
    core.setBootListener(this::onBootEnded);
  }

  /** Waits for the period or a wake-up and reads the state once. */
  void step() throws InterruptedException {
    core.awaitProbe(PERIOD);
    readState();
  }

  /** Reads the state now, unless no ramp unit is available. */
  void readState() throws InterruptedException {
    Long token = core.configured() ? core.computeLocked(this::beginRead) : null;
    if (token == null) {
      return;
    }
    try {
      EngineState state =
          engine
              .state(READ_TIMEOUT)
              .get(READ_TIMEOUT.toMillis() + PERIOD.toMillis(), TimeUnit.MILLISECONDS);
      core.runLocked(now -> onState(state, token, now));
    } catch (ExecutionException e) {
      core.runLocked(now -> onReadFailure(e.getCause(), now));
    } catch (TimeoutException e) {
      core.runLocked(now -> onReadFailure(e, now));
    } finally {
      core.runLocked(now -> core.ramp.probeFinished());
    }
  }

  private Long beginRead(long now) {
    boolean required =
        core.residency.stateUnknown()
            || core.liveAttempts.values().stream()
                .anyMatch(
                    a ->
                        a.connectionBroken
                            || (a.mayRunAtEndpoint && a.state == Attempt.State.ENDED));
    return core.ramp.tryProbe(now, required) ? core.residency.readToken() : null;
  }

  private void onState(EngineState state, long token, long now) {
    if (core.ramp.ended(state.bootId())) {
      return;
    }
    boolean firstOfBoot = core.ramp.bootId().isEmpty();
    core.recordState(state, now);
    if (firstOfBoot) {
      core.runAfterUnlock(
          () -> events.record(SidecarEvent.ENDPOINT_BOOT_SEEN, Field.of("boot", state.bootId())));
    }
    failures = 0;
    if (core.reachable(true)) {
      core.runAfterUnlock(() -> events.record(SidecarEvent.ENDPOINT_REACHABLE));
    }
    Set<String> atEngine = new HashSet<>(state.running());
    int foreign = 0;
    for (String id : atEngine) {
      if (!core.liveAttempts.containsKey(id) && !core.registry.known(id)) {
        foreign++;
      }
    }
    core.ramp.foreign(foreign);
    core.residency.stateRead(token, state.resident(), foreign > 0, now);
    core.syncReadyAdapters(now);
    for (Attempt attempt : new ArrayList<>(core.liveAttempts.values())) {
      settleAttempt(attempt, atEngine, state, now);
    }
    attempts.dispatchQueuedLocked(now);
  }

  private void settleAttempt(Attempt attempt, Set<String> atEngine, EngineState state, long now) {
    if (!attempt.mayRunAtEndpoint) {
      return;
    }
    boolean service = attempt.adapter.isEmpty();
    boolean stillRuns = atEngine.contains(attempt.id());
    if (attempt.state == Attempt.State.ENDED) {
      boolean reportCounts =
          state.sentAtNanos() - attempt.endedAtNanos > MAX_ARRIVAL_DELAY.toNanos() && !service;
      if (reportCounts && !stillRuns) {
        running.releaseLocked(attempt, now);
      }
    } else if (attempt.connectionBroken) {
      recoverBroken(attempt, state, now);
    } else if (!service && connectionSilent(attempt, stillRuns, now)) {
      EngineClient.ResponseHandle response = attempt.response;
      running.resumeLocked(attempt, now);
      core.runAfterUnlock(() -> abort(response));
    }
  }

  private void recoverBroken(Attempt attempt, EngineState state, long now) {
    if (state.sentAtNanos() - attempt.brokenAtNanos <= 0) {
      return;
    }
    boolean resumable =
        !attempt.adapter.isEmpty() && attempt.response != null && attempt.exchange < MAX_EXCHANGES;
    if (resumable) {
      running.resumeLocked(attempt, now);
    } else {
      attempt.connectionBroken = false;
      running.failLocked(attempt, "the connection to the endpoint broke", false, now);
    }
  }

  /**
   * Returns true when the connection of an attempt appears stalled: the engine no longer runs the
   * attempt but its end has not arrived, or a stream delivered no data for the silence timeout.
   */
  private static boolean connectionSilent(Attempt attempt, boolean stillRuns, long now) {
    // One exchange is reserved for a detected connection failure.
    if (attempt.response == null || attempt.exchange >= MAX_EXCHANGES - 1) {
      return false;
    }
    long received = attempt.output.lastReceivedAtNanos(attempt.exchangeStartedAtNanos);
    long idle = Math.min(now - received, now - attempt.exchangeStartedAtNanos);
    boolean lostEnd =
        !stillRuns && idle > MAX_ARRIVAL_DELAY.toNanos() && !attempt.output.demandExhausted();
    boolean lostStream =
        stillRuns
            && attempt.request.isStream()
            && idle > SILENCE_TIMEOUT.toNanos()
            && !attempt.output.demandExhausted();
    return lostEnd || lostStream;
  }

  private void onReadFailure(Throwable failure, long now) {
    core.ramp.suspectRestart(now);
    boolean down =
        failure instanceof EngineException e && e.kind() == EngineException.Kind.NOT_SENT;
    failures++;
    if (!down && failures < FAILURES_UNTIL_UNREACHABLE) {
      core.wakeMonitor();
      return;
    }
    if (core.reachable(false)) {
      core.runAfterUnlock(
          () ->
              events.record(
                  SidecarEvent.ENDPOINT_UNREACHABLE, Field.of("cause", failure.getMessage())));
    }
    for (Attempt attempt : new ArrayList<>(core.liveAttempts.values())) {
      attempts.refuseLocked(attempt, RefusalReason.ENDPOINT_UNREACHABLE, "", now);
      boolean tooLong = now - attempt.brokenAtNanos > BROKEN_TIMEOUT.toNanos();
      if (!down && attempt.connectionBroken && tooLong) {
        attempt.connectionBroken = false;
        running.failLocked(attempt, "the endpoint does not respond to state reads", false, now);
      }
    }
    if (down && core.liveAttempts.values().stream().anyMatch(a -> a.mayRunAtEndpoint)) {
      // No process listens on the port, so the process that ran the attempts has exited.
      onBootEnded(core.ramp.bootId(), now);
    }
  }

  private void onBootEnded(String bootId, long now) {
    core.residency.newBoot();
    core.ramp.foreign(0);
    core.syncReadyAdapters(now);
    List<String> suspects = new ArrayList<>();
    for (Attempt attempt : new ArrayList<>(core.liveAttempts.values())) {
      if (attempt.mayRunAtEndpoint) {
        suspects.add(attempt.request.getFingerprint());
        running.failLocked(attempt, "the endpoint restarted", true, now);
        running.releaseLocked(attempt, now);
        EngineClient.ResponseHandle response = attempt.response;
        core.runAfterUnlock(() -> abort(response));
      }
    }
    if (!suspects.isEmpty()) {
      metrics.recordCrash();
      core.runAfterUnlock(() -> reports.reportCrash(bootId, suspects));
    }
    core.runAfterUnlock(
        () ->
            events.record(
                SidecarEvent.ENDPOINT_CRASHED,
                Field.of("boot", bootId),
                Field.of("inFlight", suspects.size())));
    core.wakeMonitor();
  }

  private static void abort(EngineClient.ResponseHandle response) {
    if (response != null) {
      response.abort();
    }
  }
}
