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
  private static final Duration SILENCE_BOUND = Duration.ofSeconds(2);
  // Longest time between sending a request and its appearance in the engine's state. With 500 ms a
  // busy machine made requests look lost that the engine had not read yet.
  private static final Duration LATE_ARRIVAL = Duration.ofSeconds(2);
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
  EndpointWatch(
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
    core.onBootEnded(this::bootEnded);
  }

  /** Waits for the period or a wake-up and reads the state once. */
  void step() throws InterruptedException {
    core.awaitProbe(PERIOD);
    readState();
  }

  /** Reads the state now, unless the ramp has no unit for it. */
  void readState() throws InterruptedException {
    Long token = core.configured() ? core.compute(this::beginRead) : null;
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
      core.locked(now -> core.ramp.probeFinished());
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
    failures = 0;
    if (core.reachable(true)) {
      core.after(() -> events.record(SidecarEvent.ENDPOINT_REACHABLE));
    }
    Set<String> atEngine = new HashSet<>(state.running());
    int foreign = 0;
    for (String id : atEngine) {
      if (!core.live.containsKey(id) && !core.registry.known(id)) {
        foreign++;
      }
    }
    core.ramp.foreign(foreign);
    core.residency.stateRead(token, state.resident(), foreign > 0, now);
    core.syncReady(now);
    for (Attempt attempt : new ArrayList<>(core.live.values())) {
      settle(attempt, atEngine, state, now);
    }
    attempts.pumpLocked(now);
  }

  private void settle(Attempt attempt, Set<String> atEngine, EngineState state, long now) {
    if (!attempt.atEndpoint) {
      return;
    }
    boolean service = attempt.adapter.isEmpty();
    boolean stillRuns = atEngine.contains(attempt.id());
    if (attempt.state == Attempt.State.ENDED) {
      boolean reportCounts =
          state.sentAtNanos() - attempt.endedAtNanos > LATE_ARRIVAL.toNanos() && !service;
      if (reportCounts && !stillRuns) {
        running.settled(attempt, now);
      }
    } else if (attempt.broken) {
      settleBroken(attempt, state, now);
    } else if (!service && silent(attempt, stillRuns, now)) {
      EngineClient.Answer answer = attempt.answer;
      running.resumeLocked(attempt, now);
      core.after(() -> abort(answer));
    }
  }

  private void settleBroken(Attempt attempt, EngineState state, long now) {
    if (state.sentAtNanos() - attempt.brokenAtNanos <= 0) {
      return;
    }
    boolean resumable =
        !attempt.adapter.isEmpty() && attempt.answer != null && attempt.exchange < MAX_EXCHANGES;
    if (resumable) {
      running.resumeLocked(attempt, now);
    } else {
      attempt.broken = false;
      running.failLocked(attempt, "the connection to the endpoint broke", false, now);
    }
  }

  /**
   * Returns true when the connection of an attempt seems to have gone silent: the engine no longer
   * runs it and yet its end has not arrived, or a stream has brought nothing for the silence bound.
   */
  private static boolean silent(Attempt attempt, boolean stillRuns, long now) {
    // One exchange is kept for a break that is certain.
    if (attempt.answer == null || attempt.exchange >= MAX_EXCHANGES - 1) {
      return false;
    }
    long received = attempt.output.lastReceivedAtNanos(attempt.exchangeAtNanos);
    long idle = Math.min(now - received, now - attempt.exchangeAtNanos);
    boolean lostEnd = !stillRuns && idle > LATE_ARRIVAL.toNanos() && !attempt.output.full();
    boolean lostStream =
        stillRuns
            && attempt.request.isStream()
            && idle > SILENCE_BOUND.toNanos()
            && !attempt.output.full();
    return lostEnd || lostStream;
  }

  private void readFailed(Throwable failure, long now) {
    core.ramp.suspectRestart(now);
    boolean down =
        failure instanceof EngineException e && e.kind() == EngineException.Kind.NOT_SENT;
    failures++;
    if (!down && failures < FAILURES_UNTIL_UNREACHABLE) {
      core.wakeMonitor();
      return;
    }
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
        running.failLocked(attempt, "the endpoint does not answer", false, now);
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
        running.failLocked(attempt, "the endpoint restarted", true, now);
        running.settled(attempt, now);
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
