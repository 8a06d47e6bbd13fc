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
import org.comfreygap.gateway.AnswerRelay.AnswerDiffers;
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
 * Runs one attempt: sends it, passes its answer on, and attaches to it again on a new connection
 * when the connection is silent, cut or carries wrong frames.
 *
 * <p>Invariant: the attempt is sent as a new one only once; every further connection only attaches.
 * An answer counts as complete only with its final frame and the right number of bytes. Thread
 * safety: any thread may run an attempt.
 */
@Singleton
final class AttemptRunner implements AutoCloseable {

  /** Time after which a sidecar cancels an attempt that nobody attached to again. */
  static final Duration GRACE = Duration.ofSeconds(5);

  private static final int MAX_FAILURES_WITHOUT_PROGRESS = 3;
  private static final Duration PAUSE = Duration.ofMillis(100);
  private static final int CANCEL_THREADS = 4;
  private static final int MAX_CANCELS = 1_024;
  private static final int MIN_STATUS = 200;
  private static final int MAX_STATUS = 599;

  private final SidecarClient client;
  private final EndpointDirectory endpoints;
  private final EventLog events;
  private final GatewayMetrics metrics;
  private final ThreadPoolExecutor cancels;

  @Inject
  AttemptRunner(
      SidecarClient client, EndpointDirectory endpoints, EventLog events, GatewayMetrics metrics) {
    this.client = client;
    this.endpoints = endpoints;
    this.events = events;
    this.metrics = metrics;
    this.cancels =
        new ThreadPoolExecutor(
            CANCEL_THREADS,
            CANCEL_THREADS,
            30,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(MAX_CANCELS),
            task -> {
              Thread thread = new Thread(task, "attempt-cancel");
              thread.setDaemon(true);
              return thread;
            });
    cancels.allowCoreThreadTimeOut(true);
  }

  /**
   * Runs an attempt to its end.
   *
   * @throws CallerGone when the caller is no longer there; the attempt is cancelled
   * @throws AnswerDiffers when the answer cannot continue the one passed on; it is cancelled
   */
  AttemptResult run(
      InetSocketAddress sidecar, AttemptRequest attempt, AnswerRelay relay, long deadlineNanos)
      throws CallerGone, AnswerDiffers {
    Connection state = new Connection(sidecar, attempt, relay, deadlineNanos);
    boolean over = false;
    try {
      AttemptResult result = state.run();
      over = result.kind() != AttemptResult.Kind.BROKEN;
      return over || attempt.isIdempotent() ? result : settled(sidecar, attempt, result);
    } finally {
      if (!over) {
        cancelLater(sidecar, attempt);
      }
    }
  }

  @Override
  public void close() {
    cancels.shutdownNow();
  }

  /**
   * Asks what became of a broken attempt that must not run twice. A sidecar that has restarted
   * since does not know the attempt although its predecessor may have run it, so its {@code
   * NOT_RUN} is not taken as definite.
   */
  private AttemptResult settled(
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

  private void cancelLater(InetSocketAddress sidecar, AttemptRequest attempt) {
    try {
      cancels.execute(() -> cancel(sidecar, attempt));
    } catch (RejectedExecutionException e) {
      cancelFailed(attempt, "too many cancellations wait");
    }
  }

  private void cancel(InetSocketAddress sidecar, AttemptRequest attempt) {
    metrics.cancelled();
    try {
      CancelReply reply = client.cancel(sidecar, attempt.getAttemptId(), "given up");
      if (reply.isSetReport()) {
        endpoints.reported(reply.getReport());
      }
    } catch (SidecarUnreachable | FrameStreamBroken e) {
      cancelFailed(attempt, e.getMessage());
    }
  }

  private void cancelFailed(AttemptRequest attempt, String cause) {
    events.record(
        GatewayEvent.ATTEMPT_CANCEL_FAILED,
        Field.of("request", attempt.getRequestId()),
        Field.of("attempt", attempt.getAttemptId()),
        Field.of("endpoint", attempt.getEndpoint()),
        Field.of("cause", cause));
  }

  /** The connections of one attempt, one after the other. */
  private final class Connection {

    private final InetSocketAddress sidecar;
    private final AttemptRequest attempt;
    private final AnswerRelay relay;
    private final long deadlineNanos;
    private long offset;
    private int failures;
    private boolean attaching;
    private long brokenAtNanos;
    private long brokenAtOffset;

    Connection(
        InetSocketAddress sidecar, AttemptRequest attempt, AnswerRelay relay, long deadlineNanos) {
      this.sidecar = sidecar;
      this.attempt = attempt;
      this.relay = relay;
      this.deadlineNanos = deadlineNanos;
    }

    AttemptResult run() throws CallerGone, AnswerDiffers {
      relay.beginAttempt();
      while (true) {
        String why;
        try {
          return readOnce();
        } catch (SidecarUnreachable e) {
          if (!attaching) {
            record(GatewayEvent.ENDPOINT_UNREACHABLE, e.getMessage());
            return AttemptResult.unreachable();
          }
          why = e.getMessage();
        } catch (FrameStreamBroken e) {
          why = e.getMessage();
        }
        record(GatewayEvent.ATTEMPT_INTERRUPTED, why);
        if (!attachAgain()) {
          return AttemptResult.broken(Outcome.UNKNOWN, "the connection to the sidecar broke");
        }
      }
    }

    private AttemptResult readOnce()
        throws CallerGone, AnswerDiffers, SidecarUnreachable, FrameStreamBroken {
      AttemptRequest message = attempt;
      if (attaching) {
        message = attempt.deepCopy().setAttachOnly(true).setResumeOffset(offset);
        message.unsetBody();
      }
      try (FrameStream stream = client.attempt(sidecar, message)) {
        while (true) {
          FrameBody body = stream.next();
          AttemptResult result = take(body, stream);
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

    /** Takes one frame; returns the result when it is the final one, and null otherwise. */
    private AttemptResult take(FrameBody body, FrameStream stream)
        throws CallerGone, AnswerDiffers, FrameStreamBroken {
      if (attaching && !body.isSetRefusal()) {
        attached();
      }
      switch (body.getSetField()) {
        case HEAD -> head(body);
        case DATA -> {
          requireHead();
          relay.data(body.getData().bytes);
        }
        case BEAT -> relay.beat();
        case FINISH -> {
          return finish(body.getFinish(), stream);
        }
        case REFUSAL -> {
          return refused(body.getRefusal());
        }
        case FAILURE -> {
          return failed(body.getFailure());
        }
        default -> throw new FrameStreamBroken("malformed", null);
      }
      return null;
    }

    private void attached() {
      attaching = false;
      metrics.attached();
      record(GatewayEvent.ATTEMPT_ATTACHED, "at byte " + offset);
    }

    private void head(FrameBody body) throws AnswerDiffers, FrameStreamBroken {
      int status = body.getHead().getStatus();
      if (status < MIN_STATUS || status > MAX_STATUS) {
        throw new FrameStreamBroken("malformed", null);
      }
      if (!relay.hasHead()) {
        relay.head(body.getHead());
      }
    }

    private void requireHead() throws FrameStreamBroken {
      if (!relay.hasHead()) {
        throw new FrameStreamBroken("data before the head", null);
      }
    }

    private AttemptResult finish(FrameEnd end, FrameStream stream) throws FrameStreamBroken {
      requireHead();
      if (end.getTotalBytes() != stream.offset()) {
        throw new FrameStreamBroken("another number of bytes than announced", null);
      }
      report(end.getReport());
      return AttemptResult.complete(end.getTokensUsed());
    }

    private AttemptResult refused(FrameRefusal refusal) {
      report(refusal.getReport());
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

    private AttemptResult failed(FrameFailure failure) {
      report(failure.getReport());
      Outcome outcome = Outcome.valueOf(failure.getOutcome().name());
      return AttemptResult.failed(
          relay.hasHead() && outcome == Outcome.NOT_RUN ? Outcome.UNKNOWN : outcome,
          failure.isEndpointCrashed());
    }

    private void report(EndpointReport report) {
      if (report != null) {
        endpoints.reported(report);
      }
    }

    private boolean attachAgain() {
      long now = System.nanoTime();
      if (!attaching) {
        brokenAtNanos = now;
      }
      attaching = true;
      failures = offset > brokenAtOffset ? 1 : failures + 1;
      brokenAtOffset = offset;
      if (failures > MAX_FAILURES_WITHOUT_PROGRESS
          || now - brokenAtNanos > GRACE.toNanos()
          || now - deadlineNanos > 0) {
        return false;
      }
      if (failures > 1) {
        try {
          Thread.sleep(PAUSE.toMillis());
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
