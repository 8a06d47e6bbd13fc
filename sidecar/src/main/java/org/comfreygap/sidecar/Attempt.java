package org.comfreygap.sidecar;

import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.Outcome;

/**
 * An attempt registered in the sidecar.
 *
 * <p>Thread safety: the request and the output may be used by any thread; the other fields are
 * guarded by the lock of {@link AttemptController}.
 */
final class Attempt {

  final AttemptRequest request;
  final EngineClient.EngineRequest engineRequest;
  final String adapter;
  final AttemptOutput output;
  final long receivedAtNanos;
  final long deadlineAtNanos;
  State state = State.QUEUED;
  Outcome outcome = Outcome.NOT_RUN;

  /** Boot id of the endpoint at dispatch. */
  String bootId = "";

  /** True while the endpoint may still run the request. */
  boolean mayRunAtEndpoint;

  /** True when the connection broke and a state read must determine the fate of the request. */
  boolean connectionBroken;

  long brokenAtNanos;

  /** Number of the exchange with the endpoint; events of earlier exchanges are ignored. */
  int exchange;

  EngineClient.ResponseHandle response;
  boolean waitedForLoad;
  long dispatchedAtNanos;

  /** Start of the current exchange. */
  long exchangeStartedAtNanos;

  long endedAtNanos;

  Attempt(
      AttemptRequest request,
      EngineClient.EngineRequest engineRequest,
      String adapter,
      AttemptOutput output,
      long nowNanos) {
    this.request = request;
    this.engineRequest = engineRequest;
    this.adapter = adapter;
    this.output = output;
    this.receivedAtNanos = nowNanos;
    this.deadlineAtNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(request.getDeadlineMillis());
  }

  /** State of an attempt as reported to the gateway. */
  enum State {
    QUEUED,
    RUNNING,
    ENDED
  }

  String id() {
    return request.getAttemptId();
  }

  boolean deadlineExpired(long nowNanos) {
    return deadlineAtNanos - nowNanos <= 0;
  }
}
