package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.comfreygap.decisions.AdapterResidency.Command;
import org.comfreygap.decisions.AdapterResidency.Kind;
import org.comfreygap.decisions.AdapterResidency.Result;
import org.comfreygap.protocol.generated.PermitReply;
import org.comfreygap.protocol.generated.PermitRequest;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailableException;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.sidecar.EngineClient.CommandReply;
import org.comfreygap.sidecar.EngineClient.CommandStatus;
import org.comfreygap.sidecar.ResidencyController.LoadPlan;

/**
 * Loads the adapters that queued attempts wait for, one at a time, each under a load permit from
 * control.
 *
 * <p>Invariant: every requested permit is released. Thread safety: {@link #step} is run by one duty
 * thread.
 */
@Singleton
final class AdapterLoader {

  private static final Duration IDLE_WAIT = Duration.ofMillis(100);
  private static final Duration PERMIT_CALL_TIMEOUT = Duration.ofMillis(1_500);
  private static final int PERMIT_WAIT_MILLIS = 200;
  private static final Duration MAX_PAUSE = Duration.ofMillis(100);
  // Shorter than the 10 s lifetime of a permit, so that a load never outlasts its permit.
  private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(8);
  // An unload sent just before the endpoint lease expires must time out before control grants the
  // lease again.
  private static final Duration UNLOAD_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration SLOT_TIMEOUT = Duration.ofSeconds(2);

  private final EndpointCore core;
  private final ResidencyController residency;
  private final EngineClient engine;
  private final EndpointLease lease;
  private final ControlClient control;
  private final ControlReports reports;
  private final EventLog events;
  private final SidecarMetrics metrics;
  private final ProcessIdentity identity;
  private long permits;
  private String pendingPermit = "";
  private String pendingAdapter = "";

  @Inject
  AdapterLoader(
      EndpointCore core,
      ResidencyController residency,
      EngineClient engine,
      EndpointLease lease,
      ControlClient control,
      ControlReports reports,
      EventLog events,
      SidecarMetrics metrics,
      ProcessIdentity identity) {
    this.core = core;
    this.residency = residency;
    this.engine = engine;
    this.lease = lease;
    this.control = control;
    this.reports = reports;
    this.events = events;
    this.metrics = metrics;
    this.identity = identity;
  }

  /** Loads at most one adapter, or waits for a load to be requested. */
  void step() throws InterruptedException {
    Optional<LoadPlan> plan = residency.nextLoad();
    if (plan.isEmpty()) {
      core.awaitLoadWork(IDLE_WAIT);
      return;
    }
    String permitId = permitFor(plan.get());
    Optional<Long> permitEnd = acquire(permitId, plan.get());
    if (permitEnd.isEmpty()) {
      return;
    }
    try {
      load(plan.get(), permitEnd.get());
    } finally {
      pendingPermit = "";
      reports.releasePermit(permitId);
    }
  }

  private String permitFor(LoadPlan plan) {
    if (!pendingPermit.isEmpty() && !pendingAdapter.equals(plan.adapter())) {
      reports.releasePermit(pendingPermit);
      pendingPermit = "";
    }
    if (pendingPermit.isEmpty()) {
      pendingPermit = identity.getProcessId() + "/" + identity.getStartId() + "/" + ++permits;
      pendingAdapter = plan.adapter();
    }
    return pendingPermit;
  }

  /** Returns the monotonic time at which the permit expires, or empty when it was not granted. */
  private Optional<Long> acquire(String permitId, LoadPlan plan) throws InterruptedException {
    PermitRequest request =
        new PermitRequest(
            permitId,
            identity.getEndpoint(),
            plan.adapter(),
            plan.customer(),
            plan.priority(),
            PERMIT_WAIT_MILLIS);
    long pause = MAX_PAUSE.toMillis();
    try {
      long sentAt = System.nanoTime();
      PermitReply reply =
          control.callLeader(PERMIT_CALL_TIMEOUT, client -> client.acquireLoadPermit(request));
      if (reply.isGranted()) {
        return Optional.of(sentAt + TimeUnit.MILLISECONDS.toNanos(reply.getLifetimeMillis()));
      }
      pause = Math.max(1, Math.min(pause, reply.getRetryAfterMillis()));
    } catch (ControlUnavailableException e) {
      events.record(
          SidecarEvent.ADAPTER_COMMAND_FAILED,
          Field.of("adapter", plan.adapter()),
          Field.of("cause", "no load permit: " + e.getMessage()));
    }
    Thread.sleep(pause);
    return Optional.empty();
  }

  private void load(LoadPlan plan, long permitEnd) throws InterruptedException {
    long slotDeadlineNanos = System.nanoTime() + SLOT_TIMEOUT.toNanos();
    while (residency.stillRequested(plan.adapter()) && System.nanoTime() - slotDeadlineNanos < 0) {
      Optional<Command> command = residency.beginCommand(plan.adapter());
      if (command.isEmpty()) {
        core.wakeMonitor();
        core.awaitLoadWork(Duration.ofMillis(5));
        continue;
      }
      boolean done = run(command.get(), plan, permitEnd);
      if (command.get().kind() == Kind.LOAD) {
        if (!done) {
          residency.refuseAfterFailedLoad(plan.adapter());
        }
        return;
      }
    }
  }

  private boolean run(Command command, LoadPlan plan, long permitEnd) throws InterruptedException {
    boolean load = command.kind() == Kind.LOAD;
    long left = Math.max(1, TimeUnit.NANOSECONDS.toMillis(permitEnd - System.nanoTime()));
    Duration timeout =
        load ? Duration.ofMillis(Math.min(LOAD_TIMEOUT.toMillis(), left)) : UNLOAD_TIMEOUT;
    long fencing = lease.fencing();
    Result result = Result.UNKNOWN;
    String cause = "";
    String bootId = "";
    try {
      CompletableFuture<CommandReply> call =
          load
              ? engine.load(command.adapter(), plan.source(), fencing, timeout)
              : engine.unload(command.adapter(), fencing, timeout);
      CommandReply reply = call.get(timeout.toMillis() + 500, TimeUnit.MILLISECONDS);
      bootId = reply.bootId();
      cause = reply.status().name();
      result = reply.status() == CommandStatus.DONE ? Result.DONE : Result.REFUSED;
      if (reply.status() == CommandStatus.STALE_FENCING) {
        events.record(SidecarEvent.FENCING_STALE, Field.of("fencing", fencing));
      }
    } catch (ExecutionException e) {
      cause = String.valueOf(e.getCause().getMessage());
      boolean unsent =
          e.getCause() instanceof EngineException failure
              && failure.kind() == EngineException.Kind.NOT_SENT;
      result = unsent ? Result.REFUSED : Result.UNKNOWN;
    } catch (TimeoutException e) {
      cause = "no response within " + timeout;
    } finally {
      residency.commandEnded(command, result, bootId);
    }
    record(command, result, cause);
    return result == Result.DONE;
  }

  private void record(Command command, Result result, String cause) {
    if (result != Result.DONE) {
      metrics.recordCommandFailure();
      events.record(
          SidecarEvent.ADAPTER_COMMAND_FAILED,
          Field.of("command", command.kind()),
          Field.of("adapter", command.adapter()),
          Field.of("result", result),
          Field.of("cause", cause));
    } else if (command.kind() == Kind.LOAD) {
      metrics.recordLoad();
      events.record(SidecarEvent.ADAPTER_LOADED, Field.of("adapter", command.adapter()));
    } else {
      metrics.recordUnload();
      events.record(SidecarEvent.ADAPTER_UNLOADED, Field.of("adapter", command.adapter()));
    }
  }
}
