package org.comfreygap.gateway;

import com.google.inject.Inject;
import java.util.Map;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.gateway.RequestContext.ResolvedRequest;
import org.comfreygap.protocol.generated.BeginReply;
import org.comfreygap.protocol.generated.BeginRequest;
import org.comfreygap.protocol.generated.FinishRequest;
import org.comfreygap.protocol.generated.Route;
import org.comfreygap.protocol.generated.StoredAnswer;
import org.comfreygap.runtime.ControlUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records non-idempotent service calls with an idempotency key in the request ledger, so that a
 * repeated call does not run twice. A call without a key is attempted once.
 *
 * <p>Invariant: a recorded call reaches an endpoint only after control has recorded its start.
 * Thread safety: stateless apart from thread-safe collaborators.
 */
final class LedgerFilter implements RequestFilter {

  private static final Logger LOG = LoggerFactory.getLogger(LedgerFilter.class);

  private static final int MAX_KEY_LENGTH = 200;

  private final GatewaySettings settings;
  private final ProcessStart start;
  private final LedgerController ledger;

  @Inject
  LedgerFilter(GatewaySettings settings, ProcessStart start, LedgerController ledger) {
    this.settings = settings;
    this.start = start;
    this.ledger = ledger;
  }

  @Override
  public void filter(RequestContext context, FilterChain chain) throws RequestRefused {
    ResolvedRequest resolved = context.resolvedRequest();
    String key = resolved.headers().get(EndpointHeaders.IDEMPOTENCY_KEY);
    if (context.route() != Route.SERVICE
        || resolved.idempotent()
        || key == null
        || context.customer().isEmpty()) {
      chain.next(context);
      return;
    }
    if (key.length() > MAX_KEY_LENGTH) {
      throw RequestRefused.notRun(
          CallerError.INVALID_REQUEST,
          "header Idempotency-Key: expected at most " + MAX_KEY_LENGTH + " characters");
    }
    BeginReply reply = begin(context, key);
    switch (reply.getState()) {
      case STARTED -> run(context, chain, key);
      case DONE -> replay(context, reply);
      case IN_PROGRESS ->
          throw RequestRefused.of(
              CallerError.IDEMPOTENCY_KEY_IN_PROGRESS,
              "a request with this idempotency key is in progress",
              Outcome.UNKNOWN);
      case UNKNOWN ->
          throw RequestRefused.of(
              CallerError.OUTCOME_UNKNOWN,
              "it is unknown whether the request with this idempotency key ran",
              Outcome.UNKNOWN);
      case KEY_REUSED ->
          throw RequestRefused.notRun(
              CallerError.IDEMPOTENCY_KEY_REUSED,
              "the idempotency key was already used with a different request");
      default ->
          throw RequestRefused.notRun(CallerError.LEDGER_UNAVAILABLE, "the request ledger is full");
    }
  }

  private BeginReply begin(RequestContext context, String key) throws RequestRefused {
    BeginRequest request =
        new BeginRequest(
            context.customer(),
            key,
            context.resolvedRequest().fingerprint(),
            settings.processId(),
            start.startId(),
            context.requestId());
    try {
      return ledger.begin(request);
    } catch (ControlUnavailableException e) {
      // The start may have been recorded although the reply was lost.
      ledger.finishLater(new FinishRequest(context.customer(), key, context.requestId(), notRun()));
      throw RequestRefused.notRun(
          CallerError.LEDGER_UNAVAILABLE, "the request ledger is unavailable");
    }
  }

  private void run(RequestContext context, FilterChain chain, String key) throws RequestRefused {
    boolean[] finished = new boolean[1];
    context.beforeResponseCallback(
        response -> {
          finished[0] = true;
          FinishRequest ran =
              new FinishRequest(
                  context.customer(),
                  key,
                  context.requestId(),
                  org.comfreygap.protocol.generated.Outcome.RAN);
          ledger.finish(response == null ? ran : ran.setAnswer(response));
        });
    try {
      chain.next(context);
    } finally {
      if (!finished[0]) {
        org.comfreygap.protocol.generated.Outcome outcome =
            org.comfreygap.protocol.generated.Outcome.valueOf(context.outcome().name());
        ledger.finish(new FinishRequest(context.customer(), key, context.requestId(), outcome));
      }
    }
  }

  private static void replay(RequestContext context, BeginReply reply) throws RequestRefused {
    context.outcome(Outcome.RAN);
    if (!reply.isSetAnswer()) {
      throw RequestRefused.of(
          CallerError.ANSWER_NOT_KEPT,
          "the request with this idempotency key ran, but its response was not stored",
          Outcome.RAN);
    }
    StoredAnswer stored = reply.getAnswer();
    try {
      context
          .response()
          .send(stored.getStatus(), Map.copyOf(stored.getHeaders()), Outcome.RAN, stored.getBody());
    } catch (CallerDisconnected e) {
      LOG.debug("the caller disconnected; its response stays in the ledger", e);
    }
  }

  private static org.comfreygap.protocol.generated.Outcome notRun() {
    return org.comfreygap.protocol.generated.Outcome.NOT_RUN;
  }
}
