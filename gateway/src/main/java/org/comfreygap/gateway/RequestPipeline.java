package org.comfreygap.gateway;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.security.SecureRandom;
import java.util.HexFormat;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.protocol.generated.Route;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.MembershipAgent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles each request from arrival to the end of its response.
 *
 * <p>Invariant: every request gets exactly one response, which carries the request id and the
 * outcome. Thread safety: thread-safe.
 */
@Singleton
final class RequestPipeline {

  private static final Logger LOG = LoggerFactory.getLogger(RequestPipeline.class);

  private static final int REQUEST_ID_BYTES = 16;
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private final GatewaySettings settings;
  private final MembershipAgent agent;
  private final InFlightRequests inFlight;
  private final FilterChain chain;
  private final EventLog events;
  private final GatewayMetrics metrics;
  private final ThreadLocal<SecureRandom> random = ThreadLocal.withInitial(SecureRandom::new);

  @Inject
  RequestPipeline(
      GatewaySettings settings,
      MembershipAgent agent,
      InFlightRequests drain,
      FilterChain chain,
      EventLog events,
      GatewayMetrics metrics) {
    this.settings = settings;
    this.agent = agent;
    this.inFlight = drain;
    this.chain = chain;
    this.events = events;
    this.metrics = metrics;
  }

  /** Handles a request on the calling thread. */
  void handle(Route route, HttpServletRequest request, HttpServletResponse servletResponse) {
    long arrived = System.nanoTime();
    String requestId = newRequestId();
    CallerResponse response =
        new CallerResponse(request, servletResponse, requestId, inFlight::draining);
    RequestContext context =
        new RequestContext(
            requestId,
            route,
            request,
            response,
            agent.settings(),
            arrived,
            arrived + settings.requestTimeout().toNanos());
    if (!inFlight.tryEnter()) {
      respondWithError(
          context,
          RequestRefused.notRun(
              CallerError.OVERLOADED, "the gateway has reached its limit of concurrent requests"));
      metrics.recordRequest(route, response.status(), Outcome.NOT_RUN, System.nanoTime() - arrived);
      return;
    }
    try {
      run(context);
    } finally {
      inFlight.leave();
      metrics.recordRequest(
          route, response.status(), context.outcome(), System.nanoTime() - arrived);
    }
  }

  /** Returns a new request id. */
  String newRequestId() {
    byte[] bytes = new byte[REQUEST_ID_BYTES];
    random.get().nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  private void run(RequestContext context) {
    try {
      chain.next(context);
    } catch (RequestRefused refused) {
      respondWithError(context, refused);
    } catch (RuntimeException e) {
      // Records only the type, since the exception message may quote the request.
      events.record(
          GatewayEvent.REQUEST_ERROR,
          Field.of("request", context.requestId()),
          Field.of("type", e.getClass().getName()),
          Field.of("at", e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "unknown"));
      RequestRefused failed =
          RequestRefused.of(CallerError.INTERNAL, "internal error", context.outcome());
      if (context.response().started()) {
        context.response().abort();
      } else {
        respondWithError(context, failed);
      }
    }
  }

  private void respondWithError(RequestContext context, RequestRefused refused) {
    if (refused.error().status() >= FIRST_SERVER_ERROR_STATUS) {
      events.record(
          refused.outcome() == Outcome.NOT_RUN
              ? GatewayEvent.REQUEST_REFUSED
              : GatewayEvent.REQUEST_FAILED,
          Field.of("request", context.requestId()),
          Field.of("status", refused.error().status()),
          Field.of("outcome", refused.outcome().headerValue()),
          Field.of("cause", refused.getMessage()));
    }
    try {
      context.response().sendError(refused);
    } catch (CallerDisconnected e) {
      LOG.debug("the caller disconnected before the error response was sent", e);
    }
  }
}
