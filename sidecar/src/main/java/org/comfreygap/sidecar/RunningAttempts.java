package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.Map;
import org.comfreygap.protocol.generated.FrameEnd;
import org.comfreygap.protocol.generated.FrameFailure;
import org.comfreygap.protocol.generated.FrameHead;
import org.comfreygap.protocol.generated.FrameRefusal;
import org.comfreygap.protocol.generated.Outcome;
import org.comfreygap.protocol.generated.RefusalReason;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Tracks attempts from dispatch until the endpoint is known to no longer run them.
 *
 * <p>Invariant: the ramp unit and the pin of an attempt are released exactly once, and not before
 * the endpoint sent a complete response, confirmed a cancellation, reported that it does not run
 * the request, or restarted. Thread safety: methods documented with "Under the lock" require the
 * core's lock; the others may be called from any thread.
 */
@Singleton
final class RunningAttempts {

  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
  private static final long RETRY_AFTER_MILLIS = 200;
  private static final int OK = 200;

  private final EndpointCore core;
  private final EngineClient engine;
  private final EventLog events;
  private final SidecarMetrics metrics;
  private int isolated;

  @Inject
  RunningAttempts(EndpointCore core, EngineClient engine, EventLog events, SidecarMetrics metrics) {
    this.core = core;
    this.engine = engine;
    this.events = events;
    this.metrics = metrics;
  }

  /** Returns true when an isolated attempt may be dispatched. Under the lock. */
  boolean mayDispatchIsolated() {
    return isolated == 0;
  }

  /**
   * Fails a running attempt; its ramp unit and pin are held until {@link #releaseLocked}. Under the
   * lock.
   */
  void failLocked(Attempt attempt, String message, boolean crashed, long now) {
    if (attempt.state != Attempt.State.RUNNING) {
      return;
    }
    attempt.outcome = Outcome.UNKNOWN;
    FrameFailure failure =
        new FrameFailure(Outcome.UNKNOWN, message)
            .setEndpointCrashed(crashed)
            .setReport(core.reportLocked(now));
    core.endAttempt(attempt, now);
    metrics.recordFailure(Outcome.UNKNOWN);
    core.runAfterUnlock(
        () -> {
          attempt.output.fail(failure);
          events.record(
              SidecarEvent.ATTEMPT_FAILED,
              Field.of("request", attempt.request.getRequestId()),
              Field.of("attempt", attempt.id()),
              Field.of("crashed", crashed),
              Field.of("cause", message));
        });
  }

  /**
   * Releases the ramp unit and the pin of {@code attempt}, which the endpoint no longer runs. Under
   * the lock.
   */
  void releaseLocked(Attempt attempt, long now) {
    if (!attempt.mayRunAtEndpoint) {
      return;
    }
    attempt.mayRunAtEndpoint = false;
    attempt.connectionBroken = false;
    core.residency.unpin(attempt.id());
    core.ramp.finished();
    core.queue.finished(attempt.request.getCustomer(), now);
    if (attempt.request.isIsolated()) {
      isolated--;
    }
    if (attempt.state == Attempt.State.ENDED) {
      core.liveAttempts.remove(attempt.id());
    }
    core.wakeLoader();
  }

  /** Resumes the response of an attempt at the engine on a new connection. Under the lock. */
  void resumeLocked(Attempt attempt, long now) {
    attempt.connectionBroken = false;
    attempt.exchangeStartedAtNanos = now;
    int exchange = ++attempt.exchange;
    core.runAfterUnlock(
        () -> {
          long offset = attempt.output.beginExchange(exchange);
          events.record(
              SidecarEvent.ATTEMPT_RESUMED,
              Field.of("request", attempt.request.getRequestId()),
              Field.of("offset", offset));
          attachResponse(
              attempt,
              engine.resume(
                  attempt.response, offset, new ExchangeListener(this, attempt, exchange)));
        });
  }

  /** Refuses an attempt that was not sent to the endpoint. Under the lock. */
  void endRefused(Attempt attempt, RefusalReason reason, String message, long now) {
    attempt.outcome = Outcome.NOT_RUN;
    FrameRefusal frame =
        new FrameRefusal(reason, Outcome.NOT_RUN)
            .setRetryAfterMillis(RETRY_AFTER_MILLIS)
            .setReport(core.reportLocked(now));
    if (!message.isEmpty()) {
      frame.setMessage(message);
    }
    core.endAttempt(attempt, now);
    metrics.recordRefusal(reason);
    core.runAfterUnlock(
        () -> {
          attempt.output.refuse(frame);
          events.record(
              SidecarEvent.ATTEMPT_REFUSED,
              Field.of("request", attempt.request.getRequestId()),
              Field.of("reason", reason));
        });
  }

  /** Fails a running attempt and cancels it at the endpoint. Under the lock. */
  void abandonLocked(Attempt attempt, String reason, long now) {
    failLocked(attempt, reason, false, now);
    core.runAfterUnlock(
        () ->
            events.record(
                SidecarEvent.ATTEMPT_ABANDONED,
                Field.of("request", attempt.request.getRequestId()),
                Field.of("cause", reason)));
    abandonAtEndpoint(attempt);
  }

  /**
   * Handles the head of a response. Returns false when the response must not be passed on: the
   * exchange was superseded or the attempt has ended, the response comes from a different boot than
   * the one whose residency was checked, or its status is an error of the engine.
   */
  boolean onHead(
      Attempt attempt, int exchange, int status, Map<String, String> headers, String bootId) {
    boolean usable = core.computeLocked(now -> acceptHead(attempt, exchange, status, bootId, now));
    if (usable && exchange == 1) {
      long waited =
          Duration.ofNanos(attempt.dispatchedAtNanos - attempt.receivedAtNanos).toMillis();
      attempt.output.head(
          new FrameHead(status, bootId)
              .setHeaders(EngineHeaders.toGateway(headers))
              .setQueueWaitMillis(waited)
              .setLoadWaitMillis(attempt.waitedForLoad ? waited : 0));
    }
    return usable;
  }

  /** Handles the end of a complete response. */
  void onComplete(Attempt attempt, int exchange, long totalTokens) {
    core.runLocked(
        now -> {
          if (attempt.exchange != exchange) {
            return;
          }
          if (attempt.state == Attempt.State.RUNNING) {
            attempt.outcome = Outcome.RAN;
            long tokens = totalTokens >= 0 ? totalTokens : attempt.request.getReservedTokens();
            core.endAttempt(attempt, now);
            releaseLocked(attempt, now);
            FrameEnd frame =
                new FrameEnd(attempt.output.receivedBytes(), tokens)
                    .setReport(core.reportLocked(now));
            metrics.recordFinished();
            core.runAfterUnlock(() -> attempt.output.finish(frame));
          } else {
            releaseLocked(attempt, now);
          }
          core.dispatchQueued(now);
        });
  }

  /** Handles the failure of an exchange. */
  void onFailure(Attempt attempt, int exchange, EngineException failure) {
    core.runLocked(
        now -> {
          if (attempt.exchange != exchange) {
            return;
          }
          boolean unsent = failure.kind() == EngineException.Kind.NOT_SENT && exchange == 1;
          if (attempt.state == Attempt.State.ENDED) {
            if (unsent) {
              releaseLocked(attempt, now);
            }
          } else if (unsent) {
            endRefused(attempt, RefusalReason.ENDPOINT_UNREACHABLE, "", now);
            releaseLocked(attempt, now);
          } else if (failure.kind() == EngineException.Kind.MISMATCHED) {
            recordRejected(attempt, failure);
            abandonLocked(attempt, "the endpoint sent the response of another request", now);
          } else if (failure.kind() == EngineException.Kind.TOO_LARGE) {
            recordRejected(attempt, failure);
            abandonLocked(attempt, "the endpoint sent more than a response may have", now);
          } else {
            recordRejected(attempt, failure);
            attempt.connectionBroken = true;
            attempt.brokenAtNanos = now;
          }
          core.ramp.suspectRestart(now);
          core.wakeMonitor();
          core.dispatchQueued(now);
        });
  }

  /** Sends an attempt whose ramp unit and pin are acquired. Under the lock. */
  void dispatch(Attempt attempt, long now) {
    attempt.state = Attempt.State.RUNNING;
    attempt.outcome = Outcome.UNKNOWN;
    attempt.mayRunAtEndpoint = true;
    attempt.bootId = core.ramp.bootId();
    attempt.dispatchedAtNanos = now;
    attempt.exchangeStartedAtNanos = now;
    if (attempt.request.isIsolated()) {
      isolated++;
    }
    metrics.recordWait(now - attempt.receivedAtNanos, attempt.waitedForLoad);
    int exchange = ++attempt.exchange;
    core.runAfterUnlock(
        () -> {
          attempt.output.beginExchange(exchange);
          attachResponse(
              attempt,
              engine.start(attempt.engineRequest, new ExchangeListener(this, attempt, exchange)));
        });
  }

  private void attachResponse(Attempt attempt, EngineClient.ResponseHandle response) {
    attempt.output.setResponse(response);
    boolean abort =
        core.computeLocked(
            now -> {
              attempt.response = response;
              return attempt.state == Attempt.State.ENDED && attempt.mayRunAtEndpoint;
            });
    if (abort) {
      response.abort();
    }
  }

  private void cancelAtEngine(Attempt attempt) {
    engine
        .cancel(attempt.id(), CANCEL_TIMEOUT)
        .whenComplete(
            (confirmed, failure) -> {
              if (failure == null && confirmed) {
                core.runLocked(
                    now -> {
                      releaseLocked(attempt, now);
                      core.dispatchQueued(now);
                    });
              } else {
                core.wakeMonitor();
              }
            });
  }

  private boolean acceptHead(Attempt attempt, int exchange, int status, String bootId, long now) {
    if (attempt.exchange != exchange || attempt.state != Attempt.State.RUNNING) {
      return false;
    }
    boolean differentBoot =
        !bootId.isEmpty() && !attempt.bootId.isEmpty() && !bootId.equals(attempt.bootId);
    core.recordReply(bootId, attempt.dispatchedAtNanos, now);
    if (differentBoot) {
      failLocked(attempt, "the endpoint restarted before it ran the request", true, now);
      abandonAtEndpoint(attempt);
      return false;
    }
    boolean refused = !attempt.adapter.isEmpty() && refusedByEngine(status);
    if (refused || (exchange > 1 && status != OK)) {
      core.residency.requireStateRead();
      core.wakeMonitor();
      failLocked(attempt, "the engine responded with status " + status, false, now);
      abandonAtEndpoint(attempt);
      return false;
    }
    return true;
  }

  private static boolean refusedByEngine(int status) {
    return status == 404 || status == 409 || status == 429 || status >= 500;
  }

  private void recordRejected(Attempt attempt, EngineException failure) {
    core.runAfterUnlock(
        () ->
            events.record(
                failure.kind() == EngineException.Kind.TOO_LARGE
                    ? SidecarEvent.RESPONSE_TOO_LARGE
                    : SidecarEvent.ANSWER_REJECTED,
                Field.of("request", attempt.request.getRequestId()),
                Field.of("attempt", attempt.id()),
                Field.of("kind", failure.kind()),
                Field.of("cause", failure.getMessage())));
  }

  private void abandonAtEndpoint(Attempt attempt) {
    core.runAfterUnlock(
        () -> {
          EngineClient.ResponseHandle response = attempt.response;
          if (response != null) {
            response.abort();
          }
          if (!attempt.adapter.isEmpty()) {
            cancelAtEngine(attempt);
          }
        });
  }
}
