package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The end of one request: what its caller gets, and what is given back, such as its body, its
 * credit and its places in queues.
 *
 * <p>Invariants: a refusal is sent only when no attempt may have run; each step of giving back is
 * run once, in the order of registration, also when another one throws; what is only recorded comes
 * after the answer. Thread safety: used on the event loop only.
 */
final class RequestEnd {

  private final RelayContext relay;
  private final RequestGuard guard;
  private final CallerResponse caller;
  private final Request request;
  private final AttemptHistory history;
  private final CrashTrackedRequest tracked;
  private final ExchangeLog log;
  private final ByteBuf body;
  private final List<Step> steps = new ArrayList<>();
  private boolean ended;
  private String outcome = "error";

  RequestEnd(
      RelayContext relay,
      RequestGuard guard,
      CallerResponse caller,
      Request request,
      AttemptHistory history,
      CrashTrackedRequest tracked,
      ExchangeLog log,
      ByteBuf body) {
    this.relay = relay;
    this.guard = guard;
    this.caller = caller;
    this.request = request;
    this.history = history;
    this.tracked = tracked;
    this.log = log;
    this.body = body;
  }

  /** The state of the request that its end depends on. */
  interface Request {

    /** Returns the decision by which it was placed last. */
    RouteDecision decision();

    /** Returns its attempt, which may have ended. */
    Optional<Attempt> attempt();

    /** Returns its response; there is one once the request was admitted. */
    ResponseForwarder forwarder();
  }

  private record Step(String name, Runnable task) {}

  /** Adds a step that gives back what the request holds from here on, beside its body. */
  RequestEnd with(String name, Runnable task) {
    steps.add(new Step(name, task));
    return this;
  }

  /** Counts the end of a request that was admitted. */
  void count(long arrivedNanos) {
    RouteDecision decision = request.decision();
    relay
        .metrics()
        .requestEnded(
            decision.route().name(),
            decision.customerName(),
            outcome,
            System.nanoTime() - arrivedNanos);
  }

  /** Returns true once the request has ended. */
  boolean hasEnded() {
    return ended;
  }

  /** Refuses a request that was not admitted. */
  void reject(Refusal refusal) {
    end("rejected");
    send(refusal);
    relay.metrics().count("rejected", refusal.reason());
  }

  /** Ends the request without another attempt. */
  void failOrRefuse(Refusal refusal) {
    if (history.mayHaveRun()) {
      fail(refusal.reason(), "broken");
    } else {
      end(refusal.reason());
      send(refusal);
    }
  }

  /** Ends the request as one that may have run. */
  void fail(String reason, String how) {
    end(how);
    boolean timedOut = how.equals("timeout");
    if (request.forwarder().started()) {
      caller.abort();
    } else {
      caller.sendResponse(
          timedOut ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
          EmptyHttpHeaders.INSTANCE,
          Refusal.text(
              timedOut ? "no response in time" : "the endpoint's response was interrupted"));
    }
    log.failed(request.decision(), reason, request.forwarder());
  }

  /** Ends the request at once, with a refusal if it has not run. */
  void interrupt(Refusal refusal, String reason, String how) {
    if (ended) {
      return;
    }
    if (isWritten()) {
      history.abandoned();
    }
    recordAbandoned();
    if (history.mayHaveRun()) {
      fail(reason, how);
    } else {
      failOrRefuse(refusal);
    }
  }

  /** Ends the request because its caller has gone. */
  void callerGone() {
    if (ended) {
      return;
    }
    recordAbandoned();
    end("abandoned");
    log.abandoned(request.attempt(), request.forwarder());
  }

  /** Ends the request, whose response is complete. */
  void served() {
    end("served");
  }

  /** Ends the request after an error of this process in one of its steps. */
  void afterError() {
    boolean mayHaveRun = history.mayHaveRun() || isWritten();
    end(outcome);
    caller.endAfterError(mayHaveRun);
  }

  private void end(String how) {
    if (!ended) {
      ended = true;
      outcome = how;
      steps.forEach(step -> guard.runLast(step.name(), step.task()));
      // Last, as the other steps may need the body for the request's fingerprint.
      guard.runLast("body", body::release);
    }
  }

  private void send(Refusal refusal) {
    caller.sendResponse(refusal.status(), refusal.headers(), refusal.body());
    log.refused(request.decision(), refusal);
  }

  private void recordAbandoned() {
    tracked.abandoned(request.attempt(), request.forwarder().eventReceived());
  }

  private boolean isWritten() {
    return request.attempt().map(Attempt::sent).orElse(false);
  }
}
