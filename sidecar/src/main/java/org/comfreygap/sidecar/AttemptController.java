package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Optional;
import org.comfreygap.decisions.AttemptRegistry;
import org.comfreygap.decisions.FairQueue;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.CancelReply;
import org.comfreygap.protocol.generated.FrameFailure;
import org.comfreygap.protocol.generated.FrameRefusal;
import org.comfreygap.protocol.generated.Outcome;
import org.comfreygap.protocol.generated.RefusalReason;
import org.comfreygap.settings.Priority;
import org.comfreygap.sidecar.AttemptOutput.FrameSink;

/**
 * Accepts, queues and dispatches attempts and enforces their deadlines.
 *
 * <p>Invariant: an attempt id is sent to the endpoint at most once; before it is sent, all {@link
 * DispatchChecks} hold, a unit of the ramp is acquired and the adapter is pinned, all under one
 * lock; the unit and the pin are held until the endpoint is known to no longer run the request.
 * Thread safety: any thread may call.
 */
@Singleton
final class AttemptController {

  /** How long an attempt continues without a gateway, and how long a finished response is kept. */
  static final Duration ATTACH_GRACE = Duration.ofSeconds(5);

  // A plain service does not report whether it still processes a request after the connection was
  // closed.
  private static final Duration SERVICE_RELEASE_DELAY = Duration.ofSeconds(2);
  private static final Duration MIN_LOAD_WAIT = Duration.ofSeconds(2);
  private static final long RETRY_AFTER_MILLIS = 200;
  private static final long MAX_QUEUED_BYTES = 12L * 1024 * 1024;

  private final EndpointCore core;
  private final DispatchChecks checks;
  private final RunningAttempts running;
  private final SidecarMetrics metrics;
  private final BufferBudget budget = new BufferBudget();
  private final long startedAtNanos = System.nanoTime();
  private long queuedBytes;
  private boolean stopping;

  @Inject
  AttemptController(
      EndpointCore core, DispatchChecks checks, RunningAttempts running, SidecarMetrics metrics) {
    this.core = core;
    this.checks = checks;
    this.running = running;
    this.metrics = metrics;
    core.setDispatcher(this::dispatchQueuedLocked);
  }

  /**
   * Accepts an attempt, or attaches {@code sink} to the attempt already registered under its id.
   */
  void receive(AttemptRequest request, FrameSink sink) {
    EngineClient.EngineRequest engineRequest = null;
    String invalid = "";
    if (!request.isAttachOnly()) {
      try {
        engineRequest = EngineRequests.of(request);
      } catch (EngineRequests.InvalidAttempt e) {
        invalid = e.getMessage();
      }
    }
    EngineClient.EngineRequest builtRequest = engineRequest;
    String requestError = invalid;
    core.runLocked(now -> receiveLocked(request, builtRequest, requestError, sink, now));
  }

  /** Cancels an attempt; an id that was never dispatched is refused from now on. */
  CancelReply cancel(String attemptId) {
    return core.computeLocked(
        now -> {
          Optional<Attempt> known = core.registry.find(attemptId);
          Outcome outcome;
          if (known.isPresent()) {
            outcome = cancelLocked(known.get(), "cancelled by the gateway", now);
          } else {
            outcome = addTombstoneLocked(attemptId, now);
          }
          return new CancelReply(attemptId, outcome).setReport(core.reportLocked(now));
        });
  }

  /** Dispatches the queued attempts that may run now. */
  void dispatchQueued() {
    core.runLocked(this::dispatchQueuedLocked);
  }

  /** Applies deadlines, grace periods and changed dispatch conditions; called periodically. */
  void tick() {
    core.runLocked(
        now -> {
          core.syncReadyAdapters(now);
          for (Attempt attempt : new ArrayList<>(core.liveAttempts.values())) {
            checkTimeouts(attempt, now);
          }
          core.releaseEnded(now - ATTACH_GRACE.toNanos(), attempt -> budget.removeAttempt());
          dispatchQueuedLocked(now);
        });
  }

  /** Refuses new attempts from now on, and all queued attempts. */
  void stopAccepting() {
    core.runLocked(
        now -> {
          stopping = true;
          for (Attempt attempt : new ArrayList<>(core.liveAttempts.values())) {
            if (attempt.state == Attempt.State.QUEUED) {
              refuseLocked(attempt, RefusalReason.STOPPING, "", now);
            }
          }
        });
  }

  /**
   * Returns true when no attempt is queued or running and every response was delivered or
   * abandoned.
   */
  boolean idle() {
    return core.computeLocked(
        now ->
            core.liveAttempts.values().stream().allMatch(a -> a.state == Attempt.State.ENDED)
                && core.endedAttempts().stream()
                    .allMatch(a -> a.output.delivered() || a.output.abandoned()));
  }

  /** Dispatches the queued attempts that may run now. Under the lock. */
  void dispatchQueuedLocked(long now) {
    while (core.queue.size() > 0) {
      if (core.ramp.free(now) == 0) {
        break;
      }
      Optional<FairQueue.Item<Attempt>> next =
          core.queue.poll(now, core.ramp.limit(now), this::admissible);
      if (next.isEmpty()) {
        break;
      }
      Attempt attempt = next.get().payload();
      queuedBytes -= attempt.engineRequest.body().length;
      Optional<RefusalReason> refusal = checks.refusal(attempt, now);
      boolean pinned =
          refusal.isEmpty()
              && (attempt.adapter.isEmpty()
                  || core.residency.tryPin(attempt.id(), attempt.adapter, now));
      if (pinned && core.ramp.tryStart(now)) {
        running.dispatch(attempt, now);
      } else {
        core.residency.unpin(attempt.id());
        core.queue.finished(attempt.request.getCustomer(), now);
        running.endRefused(attempt, refusal.orElse(RefusalReason.LOAD_DELAYED), "", now);
      }
    }
    if (core.queue.size() > 0) {
      if (core.ramp.proofNeeded(now)) {
        core.wakeMonitor();
      }
      core.wakeLoader();
    }
  }

  private void receiveLocked(
      AttemptRequest request,
      EngineClient.EngineRequest engineRequest,
      String requestError,
      FrameSink sink,
      long now) {
    String id = request.getAttemptId();
    if (request.isAttachOnly() && core.registry.find(id).isEmpty()) {
      boolean tombstone = core.registry.known(id);
      Outcome outcome = tombstone ? Outcome.UNKNOWN : addTombstoneLocked(id, now);
      refuseUnregistered(request, sink, RefusalReason.UNKNOWN_ATTEMPT, outcome, now);
      return;
    }
    Attempt attempt =
        new Attempt(
            request,
            engineRequest,
            EngineRequests.adapter(request),
            new AttemptOutput(budget, now),
            now);
    AttemptRegistry.Offer offer = core.registry.offer(id, attempt, now);
    switch (offer) {
      case DUPLICATE -> attach(core.registry.find(id).orElseThrow(), request, sink, now);
      case TOMBSTONE ->
          refuseUnregistered(request, sink, RefusalReason.CANCELLED, Outcome.NOT_RUN, now);
      case ENDED ->
          refuseUnregistered(request, sink, RefusalReason.UNKNOWN_ATTEMPT, Outcome.UNKNOWN, now);
      case FULL ->
          refuseUnregistered(request, sink, RefusalReason.QUEUE_FULL, Outcome.NOT_RUN, now);
      default -> accept(attempt, requestError, sink, now);
    }
  }

  private void accept(Attempt attempt, String requestError, FrameSink sink, long now) {
    budget.addAttempt();
    core.liveAttempts.put(attempt.id(), attempt);
    attempt.output.attach(sink, 0);
    sink.setOutput(attempt.output);
    Optional<RefusalReason> refusal =
        stopping ? Optional.of(RefusalReason.STOPPING) : checks.refusal(attempt, now);
    if (refusal.isEmpty() && !core.reachable()) {
      refusal = Optional.of(RefusalReason.ENDPOINT_UNREACHABLE);
    }
    if (!requestError.isEmpty()) {
      failUnsent(attempt, requestError, now);
    } else if (refusal.isPresent()) {
      running.endRefused(attempt, refusal.get(), "", now);
    } else if (queuedBytes + attempt.engineRequest.body().length > MAX_QUEUED_BYTES
        && core.queue.size() > 0) {
      running.endRefused(attempt, RefusalReason.QUEUE_FULL, "", now);
    } else {
      enqueue(attempt, now);
    }
  }

  private void enqueue(Attempt attempt, long now) {
    AttemptRequest request = attempt.request;
    if (!attempt.adapter.isEmpty()) {
      core.residency.requested(attempt.adapter, now);
      attempt.waitedForLoad = !core.residency.usable(attempt.adapter, now);
    }
    FairQueue.Item<Attempt> item =
        new FairQueue.Item<>(
            attempt.id(),
            request.getCustomer(),
            Priority.values()[request.getPriority().getValue()],
            request.getReservedTokens(),
            attempt.adapter,
            request.isIsolated(),
            attempt);
    FairQueue.Offer<Attempt> offer = core.queue.offer(item, now);
    for (FairQueue.Item<Attempt> shed : offer.shed()) {
      queuedBytes -= shed.payload().engineRequest.body().length;
      running.endRefused(shed.payload(), RefusalReason.SHED, "", now);
    }
    if (!offer.accepted()) {
      running.endRefused(attempt, RefusalReason.QUEUE_FULL, "", now);
      return;
    }
    queuedBytes += attempt.engineRequest.body().length;
    dispatchQueuedLocked(now);
  }

  private void attach(Attempt attempt, AttemptRequest request, FrameSink sink, long now) {
    AttemptOutput.Attachment result = attempt.output.attach(sink, request.getResumeOffset());
    if (!result.attached()) {
      refuseUnregistered(request, sink, RefusalReason.UNKNOWN_ATTEMPT, Outcome.UNKNOWN, now);
      return;
    }
    sink.setOutput(attempt.output);
    result
        .replaced()
        .filter(old -> old != sink)
        .ifPresent(old -> core.runAfterUnlock(old::onReplaced));
    core.runAfterUnlock(sink::onFramesAvailable);
  }

  private void refuseUnregistered(
      AttemptRequest request, FrameSink sink, RefusalReason reason, Outcome outcome, long now) {
    AttemptOutput output = new AttemptOutput(budget, now);
    output.attach(sink, 0);
    sink.setOutput(output);
    metrics.recordRefusal(reason);
    FrameRefusal frame =
        new FrameRefusal(reason, outcome)
            .setRetryAfterMillis(RETRY_AFTER_MILLIS)
            .setReport(core.reportLocked(now));
    core.runAfterUnlock(() -> output.refuse(frame));
  }

  private Outcome addTombstoneLocked(String id, long now) {
    boolean tombstone = core.registry.addTombstone(id, now);
    // An earlier sidecar process may have run the id shortly before this one started.
    boolean afterRestart = now - startedAtNanos < EndpointCore.ID_RETENTION.toNanos();
    return tombstone && !afterRestart ? Outcome.NOT_RUN : Outcome.UNKNOWN;
  }

  private boolean admissible(Attempt attempt) {
    return !attempt.request.isIsolated() || running.mayDispatchIsolated();
  }

  private void checkTimeouts(Attempt attempt, long now) {
    switch (attempt.state) {
      case QUEUED -> checkQueued(attempt, now);
      case RUNNING -> {
        if (attempt.deadlineExpired(now)) {
          running.abandonLocked(attempt, "the deadline passed", now);
        } else if (attempt.output.abandonedSince(now - ATTACH_GRACE.toNanos())) {
          running.abandonLocked(attempt, "no gateway attached in time", now);
        }
      }
      default -> {
        boolean service = attempt.adapter.isEmpty();
        if (service && now - attempt.endedAtNanos > SERVICE_RELEASE_DELAY.toNanos()) {
          running.releaseLocked(attempt, now);
        }
      }
    }
  }

  private void checkQueued(Attempt attempt, long now) {
    Optional<RefusalReason> refusal = checks.refusal(attempt, now);
    if (refusal.isPresent()) {
      refuseLocked(attempt, refusal.get(), "", now);
    } else if (attempt.output.abandonedSince(now - ATTACH_GRACE.toNanos())) {
      refuseLocked(attempt, RefusalReason.CANCELLED, "no gateway attached in time", now);
    } else if (!attempt.adapter.isEmpty() && !core.residency.usable(attempt.adapter, now)) {
      attempt.waitedForLoad = true;
      long maxWaitNanos =
          Math.max(
              MIN_LOAD_WAIT.toNanos(), (attempt.deadlineAtNanos - attempt.receivedAtNanos) / 2);
      if (now - attempt.receivedAtNanos > maxWaitNanos) {
        refuseLocked(attempt, RefusalReason.LOAD_DELAYED, "", now);
      }
    }
  }

  /** Refuses {@code attempt} if it is still queued. Under the lock. */
  void refuseLocked(Attempt attempt, RefusalReason reason, String message, long now) {
    if (attempt.state == Attempt.State.QUEUED && core.queue.remove(attempt.id()).isPresent()) {
      queuedBytes -= attempt.engineRequest.body().length;
      running.endRefused(attempt, reason, message, now);
    }
  }

  private void failUnsent(Attempt attempt, String message, long now) {
    FrameFailure frame =
        new FrameFailure(Outcome.NOT_RUN, message).setReport(core.reportLocked(now));
    core.endAttempt(attempt, now);
    metrics.recordFailure(Outcome.NOT_RUN);
    core.runAfterUnlock(() -> attempt.output.fail(frame));
  }

  private Outcome cancelLocked(Attempt attempt, String reason, long now) {
    if (attempt.state == Attempt.State.QUEUED) {
      refuseLocked(attempt, RefusalReason.CANCELLED, reason, now);
    } else if (attempt.state == Attempt.State.RUNNING) {
      running.abandonLocked(attempt, reason, now);
    }
    return attempt.outcome;
  }
}
