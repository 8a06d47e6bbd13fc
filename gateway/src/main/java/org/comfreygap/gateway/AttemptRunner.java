package org.comfreygap.gateway;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.gateway.ResponseRelay.ResponseMismatch;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.CancelReply;
import org.comfreygap.protocol.generated.EndpointReport;
import org.comfreygap.protocol.generated.FrameBody;
import org.comfreygap.protocol.generated.FrameEnd;
import org.comfreygap.protocol.generated.FrameFailure;
import org.comfreygap.protocol.generated.FrameRefusal;
import org.comfreygap.protocol.generated.RefusalReason;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Runs one attempt: sends it to a sidecar and forwards the response. When the connection is silent,
 * is closed early or carries invalid frames, it reattaches to the same attempt on a new connection.
 *
 * <p>Invariant: the attempt is started at most once; every further connection only attaches to it.
 * A response is complete only when its final frame was received and the byte count matches. Thread
 * safety: thread-safe.
 */
@Singleton
final class AttemptRunner implements AutoCloseable {

  /** Time after which a sidecar cancels an attempt without a connection. */
  static final Duration REATTACH_GRACE = Duration.ofSeconds(5);

  private static final int MAX_REATTACHES_WITHOUT_PROGRESS = 3;
  private static final Duration REATTACH_PAUSE = Duration.ofMillis(100);
  private static final int CANCEL_THREADS = 4;
  private static final int MAX_QUEUED_CANCELS = 1_024;
  private static final int MIN_STATUS = 200;
  private static final int MAX_STATUS = 599;

  private final SidecarClient client;
  private final EndpointDirectory endpoints;
  private final EventLog events;
  private final GatewayMetrics metrics;
  private final ThreadPoolExecutor cancelExecutor;

  @Inject
  AttemptRunner(
      SidecarClient client, EndpointDirectory endpoints, EventLog events, GatewayMetrics metrics) {
    this.client = client;
    this.endpoints = endpoints;
    this.events = events;
    this.metrics = metrics;
    this.cancelExecutor =
        new ThreadPoolExecutor(
            CANCEL_THREADS,
            CANCEL_THREADS,
            30,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(MAX_QUEUED_CANCELS),
            task -> {
              Thread thread = new Thread(task, "attempt-cancel");
              thread.setDaemon(true);
              return thread;
            });
    cancelExecutor.allowCoreThreadTimeOut(true);
  }

  /**
   * Runs an attempt until it completes or fails.
   *
   * @throws CallerDisconnected when the caller disconnected; the attempt is cancelled
   * @throws ResponseMismatch when the response does not match the part already forwarded; the
   *     attempt is cancelled
   */
  AttemptResult run(
      InetSocketAddress sidecar, AttemptRequest attempt, ResponseRelay relay, long deadlineNanos)
      throws CallerDisconnected, ResponseMismatch {
    AttemptSession session = new AttemptSession(sidecar, attempt, relay, deadlineNanos);
    boolean ended = false;
    try {
      AttemptResult result = session.run();
      ended = result.kind() != AttemptResult.Kind.BROKEN;
      return ended || attempt.isIdempotent() ? result : resolveOutcome(sidecar, attempt, result);
    } finally {
      if (!ended) {
        cancelAsync(sidecar, attempt);
      }
    }
  }

  @Override
  public void close() {
    cancelExecutor.shutdownNow();
  }

  /**
   * Cancels an interrupted attempt that must not run twice, and returns its result with the outcome
   * that the sidecar reports. A sidecar that restarted does not know the attempt although the
   * previous process may have run it, so a reply of {@code NOT_RUN} is not treated as definite.
   */
  private AttemptResult resolveOutcome(
      InetSocketAddress sidecar, AttemptRequest attempt, AttemptResult result) {
    try {
      CancelReply reply = client.cancel(sidecar, attempt.getAttemptId(), "the connection broke");
      return reply.getOutcome() == org.comfreygap.protocol.generated.Outcome.RAN
          ? AttemptResult.broken(Outcome.RAN, result.detail())
          : result;
    } catch (SidecarUnreachable | FrameStreamBroken e) {
      return result;
    }
  }

  private void cancelAsync(InetSocketAddress sidecar, AttemptRequest attempt) {
    try {
      cancelExecutor.execute(() -> cancel(sidecar, attempt));
    } catch (RejectedExecutionException e) {
      recordCancelFailure(attempt, "the queue of cancellations is full");
    }
  }

  private void cancel(InetSocketAddress sidecar, AttemptRequest attempt) {
    metrics.recordCancellation();
    try {
      CancelReply reply = client.cancel(sidecar, attempt.getAttemptId(), "given up");
      if (reply.isSetReport()) {
        endpoints.applyReport(reply.getReport());
      }
    } catch (SidecarUnreachable | FrameStreamBroken e) {
      recordCancelFailure(attempt, e.getMessage());
    }
  }

  private void recordCancelFailure(AttemptRequest attempt, String cause) {
    events.record(
        GatewayEvent.ATTEMPT_CANCEL_FAILED,
        Field.of("request", attempt.getRequestId()),
        Field.of("attempt", attempt.getAttemptId()),
        Field.of("endpoint", attempt.getEndpoint()),
        Field.of("cause", cause));
  }

  /** The successive connections of one attempt. */
  private final class AttemptSession {

    private final InetSocketAddress sidecar;
    private final AttemptRequest attempt;
    private final ResponseRelay relay;
    private final long deadlineNanos;
    private long offset;
    private int interruptionsWithoutProgress;
    private boolean attaching;
    private long interruptedAtNanos;
    private long interruptedAtOffset;

    AttemptSession(
        InetSocketAddress sidecar,
        AttemptRequest attempt,
        ResponseRelay relay,
        long deadlineNanos) {
      this.sidecar = sidecar;
      this.attempt = attempt;
      this.relay = relay;
      this.deadlineNanos = deadlineNanos;
    }

    AttemptResult run() throws CallerDisconnected, ResponseMismatch {
      relay.beginAttempt();
      while (true) {
        String cause;
        try {
          return readFrames();
        } catch (SidecarUnreachable e) {
          if (!attaching) {
            record(GatewayEvent.ENDPOINT_UNREACHABLE, e.getMessage());
            return AttemptResult.unreachable();
          }
          cause = e.getMessage();
        } catch (FrameStreamBroken e) {
          cause = e.getMessage();
        }
        record(GatewayEvent.ATTEMPT_INTERRUPTED, cause);
        if (!prepareReattach()) {
          return AttemptResult.broken(Outcome.UNKNOWN, "the connection to the sidecar was lost");
        }
      }
    }

    private AttemptResult readFrames()
        throws CallerDisconnected, ResponseMismatch, SidecarUnreachable, FrameStreamBroken {
      AttemptRequest message = attempt;
      if (attaching) {
        message = attempt.deepCopy().setAttachOnly(true).setResumeOffset(offset);
        message.unsetBody();
      }
      try (FrameStream stream = client.openAttempt(sidecar, message)) {
        while (true) {
          FrameBody body = stream.next();
          AttemptResult result = handleFrame(body, stream);
          if (result != null) {
            stream.complete();
            return result;
          }
          offset = stream.offset();
          if (System.nanoTime() - deadlineNanos > 0) {
            return AttemptResult.expired();
          }
        }
      }
    }

    /** Handles one frame; returns the result for a final frame and null otherwise. */
    private AttemptResult handleFrame(FrameBody body, FrameStream stream)
        throws CallerDisconnected, ResponseMismatch, FrameStreamBroken {
      if (attaching && !body.isSetRefusal()) {
        recordAttached();
      }
      switch (body.getSetField()) {
        case HEAD -> handleHead(body);
        case DATA -> {
          requireHead();
          relay.receiveData(body.getData().bytes);
        }
        case BEAT -> relay.receiveHeartbeat();
        case FINISH -> {
          return handleFinish(body.getFinish(), stream);
        }
        case REFUSAL -> {
          return handleRefusal(body.getRefusal());
        }
        case FAILURE -> {
          return handleFailure(body.getFailure());
        }
        default -> throw new FrameStreamBroken("malformed", null);
      }
      return null;
    }

    private void recordAttached() {
      attaching = false;
      metrics.recordAttach();
      record(GatewayEvent.ATTEMPT_ATTACHED, "at byte " + offset);
    }

    private void handleHead(FrameBody body) throws ResponseMismatch, FrameStreamBroken {
      int status = body.getHead().getStatus();
      if (status < MIN_STATUS || status > MAX_STATUS) {
        throw new FrameStreamBroken("malformed", null);
      }
      if (!relay.hasHead()) {
        relay.receiveHead(body.getHead());
      }
    }

    private void requireHead() throws FrameStreamBroken {
      if (!relay.hasHead()) {
        throw new FrameStreamBroken("received a data frame before the head frame", null);
      }
    }

    private AttemptResult handleFinish(FrameEnd end, FrameStream stream) throws FrameStreamBroken {
      requireHead();
      if (end.getTotalBytes() != stream.offset()) {
        throw new FrameStreamBroken(
            "received " + stream.offset() + " bytes, expected " + end.getTotalBytes(), null);
      }
      applyReport(end.getReport());
      return AttemptResult.complete(end.getTokensUsed());
    }

    private AttemptResult handleRefusal(FrameRefusal refusal) {
      applyReport(refusal.getReport());
      Outcome outcome = Outcome.valueOf(refusal.getOutcome().name());
      boolean sent = attaching || relay.hasHead();
      if (refusal.getReason() == RefusalReason.UNKNOWN_ATTEMPT && sent) {
        return AttemptResult.broken(Outcome.UNKNOWN, "the sidecar does not know the attempt");
      }
      return AttemptResult.refused(
          refusal.getReason(),
          sent && outcome == Outcome.NOT_RUN ? Outcome.UNKNOWN : outcome,
          refusal.getRetryAfterMillis());
    }

    private AttemptResult handleFailure(FrameFailure failure) {
      applyReport(failure.getReport());
      Outcome outcome = Outcome.valueOf(failure.getOutcome().name());
      return AttemptResult.failed(
          relay.hasHead() && outcome == Outcome.NOT_RUN ? Outcome.UNKNOWN : outcome,
          failure.isEndpointCrashed());
    }

    private void applyReport(EndpointReport report) {
      if (report != null) {
        endpoints.applyReport(report);
      }
    }

    private boolean prepareReattach() {
      long now = System.nanoTime();
      if (!attaching) {
        interruptedAtNanos = now;
      }
      attaching = true;
      interruptionsWithoutProgress =
          offset > interruptedAtOffset ? 1 : interruptionsWithoutProgress + 1;
      interruptedAtOffset = offset;
      if (interruptionsWithoutProgress > MAX_REATTACHES_WITHOUT_PROGRESS
          || now - interruptedAtNanos > REATTACH_GRACE.toNanos()
          || now - deadlineNanos > 0) {
        return false;
      }
      if (interruptionsWithoutProgress > 1) {
        try {
          Thread.sleep(REATTACH_PAUSE.toMillis());
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return false;
        }
      }
      return true;
    }

    private void record(GatewayEvent event, String cause) {
      events.record(
          event,
          Field.of("request", attempt.getRequestId()),
          Field.of("attempt", attempt.getAttemptId()),
          Field.of("endpoint", attempt.getEndpoint()),
          Field.of("cause", cause));
    }
  }
}
