package org.comfreygap.gateway;

import com.google.inject.Inject;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.RetryPolicy;
import org.comfreygap.decisions.RetryPolicy.Cause;
import org.comfreygap.gateway.EndpointDirectory.Placement;
import org.comfreygap.gateway.RequestContext.ResolvedRequest;
import org.comfreygap.gateway.ResponseRelay.ResponseMismatch;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.Priority;
import org.comfreygap.protocol.generated.Route;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.MembershipAgent;
import org.comfreygap.settings.Documents.Key;
import org.comfreygap.settings.SettingsView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a request as a series of attempts at endpoints until it completes or fails.
 *
 * <p>Before each attempt the settings lease, the caller's key and the quarantine list are checked
 * again. Once part of the response was forwarded, a further attempt may complete it only when its
 * response starts with the same bytes; otherwise the caller gets an error event or a closed
 * connection.
 *
 * <p>Invariant: a request is retried only when {@link RetryPolicy} allows it. Thread safety:
 * thread-safe; the retry policy is guarded by its own monitor.
 */
final class DispatchFilter implements RequestFilter {

  private static final Logger LOG = LoggerFactory.getLogger(DispatchFilter.class);

  // Longest wait for an endpoint to become available before the request fails.
  private static final Duration MAX_PLACEMENT_WAIT = Duration.ofMillis(500);
  private static final Duration PLACEMENT_PAUSE = Duration.ofMillis(25);
  private static final Duration BUSY_PAUSE = Duration.ofMillis(25);
  private static final Duration MAX_BUSY_PAUSE = Duration.ofMillis(250);

  private final GatewaySettings settings;
  private final MembershipAgent agent;
  private final EndpointDirectory endpoints;
  private final AttemptRunner attempts;
  private final CrashController crashes;
  private final CreditController credit;
  private final EventLog events;
  private final GatewayMetrics metrics;
  private final RetryPolicy retryPolicy = new RetryPolicy();

  @Inject
  DispatchFilter(
      GatewaySettings settings,
      MembershipAgent agent,
      EndpointDirectory endpoints,
      AttemptRunner attempts,
      CrashController crashes,
      CreditController credit,
      EventLog events,
      GatewayMetrics metrics) {
    this.settings = settings;
    this.agent = agent;
    this.endpoints = endpoints;
    this.attempts = attempts;
    this.crashes = crashes;
    this.credit = credit;
    this.events = events;
    this.metrics = metrics;
  }

  @Override
  public void filter(RequestContext context, FilterChain chain) throws RequestRefused {
    synchronized (retryPolicy) {
      retryPolicy.admitted();
    }
    new Dispatch(context).run();
  }

  /** The attempts for one request. */
  private final class Dispatch {

    private final RequestContext context;
    private final ResolvedRequest resolved;
    private final ResponseRelay relay;
    private final List<String> excluded = new ArrayList<>();
    private int attemptCount;
    private int chargedAttempts;
    private Optional<AttemptResult> lastResult = Optional.empty();

    Dispatch(RequestContext context) {
      this.context = context;
      this.resolved = context.resolvedRequest();
      this.relay = new ResponseRelay(context);
    }

    void run() throws RequestRefused {
      try {
        boolean done = attemptOnce();
        while (!done) {
          done = attemptOnce();
        }
      } catch (CallerDisconnected e) {
        events.record(
            GatewayEvent.CALLER_GONE,
            Field.of("request", context.requestId()),
            Field.of("cause", e.getMessage()));
        context.response().abort();
      } catch (ResponseMismatch e) {
        failPartialResponse(refused(CallerError.ENDPOINT_FAILED, e.getMessage()));
      } catch (RequestRefused refused) {
        if (!relay.started()) {
          throw refused;
        }
        failPartialResponse(refused);
      }
    }

    /** Makes one attempt; returns true when the caller has the complete response. */
    private boolean attemptOnce() throws RequestRefused, CallerDisconnected, ResponseMismatch {
      Placement placement = place();
      String attemptId = context.requestId() + "-" + attemptCount;
      attemptCount++;
      boolean isolated =
          crashes.attemptStarted(placement.endpoint(), attemptId, resolved.fingerprint());
      AttemptRequest request = buildAttempt(attemptId, placement, isolated);
      Outcome before = context.outcome();
      // The attempt may have run as long as its result is unknown.
      context.outcome(before.and(Outcome.UNKNOWN));
      String bootId = endpoints.bootId(placement.endpoint());
      AttemptResult result = null;
      try {
        boolean continues = relay.started();
        result = attempts.run(placement.sidecar(), request, relay, context.deadlineNanos());
        if (result.crashed()) {
          crashes.endpointCrashed(placement.endpoint(), relay.bootId().orElse(bootId));
        }
        if (continues && result.kind() == AttemptResult.Kind.COMPLETE) {
          metrics.recordContinuedResponse();
          record(GatewayEvent.ANSWER_CONTINUED, result, placement);
        }
      } finally {
        crashes.attemptEnded(placement.endpoint(), attemptId);
        if (result == null) {
          endpoints.attemptAbandoned(placement);
        } else {
          endpoints.attemptEnded(placement, result);
        }
      }
      context.outcome(before.and(result.outcome()));
      metrics.recordAttempt(result.kind());
      if (result.kind() == AttemptResult.Kind.COMPLETE) {
        context.tokensUsed(Math.max(result.tokensUsed(), minTokensUsed()));
        relay.finish();
        return true;
      }
      excluded.add(placement.endpoint());
      retryOrFail(result, placement);
      return false;
    }

    /**
     * Returns when the request is to be retried, after the pause before the next attempt; fails the
     * request otherwise.
     */
    private void retryOrFail(AttemptResult result, Placement placement)
        throws RequestRefused, CallerDisconnected {
      lastResult = Optional.of(result);
      chargedAttempts += attemptCount == 1 || result.cause().charged() ? 1 : 0;
      long now = System.nanoTime();
      RetryPolicy.Decision decision;
      long pauseMillis = pauseMillis(result);
      synchronized (retryPolicy) {
        decision =
            retryPolicy.next(
                result.outcome(),
                resolved.idempotent(),
                result.cause(),
                attemptCount,
                chargedAttempts,
                pauseMillis,
                context.deadlineNanos(),
                now);
      }
      if (!decision.retry() || !relay.allowsRetry() || !reserveCreditForRetry(result)) {
        failRequest(result);
      }
      metrics.recordRetry(result.cause());
      record(GatewayEvent.REQUEST_RETRIED, result, placement);
      if (decision.delayMillis() > 0) {
        pause(Duration.ofMillis(decision.delayMillis()));
      }
    }

    /**
     * Returns the pause before the next attempt. The first retry is immediate; later ones pause so
     * that busy endpoints can finish requests.
     */
    private long pauseMillis(AttemptResult result) {
      if (result.cause() != Cause.BUSY || attemptCount < 2) {
        return 0;
      }
      long requestedMillis =
          Math.max(BUSY_PAUSE.toMillis() * attemptCount, result.retryAfterMillis());
      return Math.min(requestedMillis, MAX_BUSY_PAUSE.toMillis());
    }

    /**
     * Settles the credit of an attempt that may have used tokens and reserves credit for the next
     * one; returns false when none is available.
     */
    private boolean reserveCreditForRetry(AttemptResult result) {
      if (result.outcome() == Outcome.NOT_RUN || context.credit().isEmpty()) {
        return true;
      }
      ReservedCredit before = context.credit().get();
      Optional<ReservedCredit> next =
          credit.reserveForRetry(before, resolved.reservedTokens(), resolved.priority());
      next.ifPresent(
          reserved -> {
            credit.settle(before, Outcome.UNKNOWN, resolved.reservedTokens());
            context.credit(reserved);
          });
      return next.isPresent();
    }

    private void failRequest(AttemptResult result) throws RequestRefused {
      RequestRefused refused =
          RequestRefused.of(result.error(), failureMessage(result), context.outcome());
      throw result.retryAfterMillis() > 0
          ? refused.withRetryAfter(result.retryAfterMillis())
          : refused;
    }

    private void failPartialResponse(RequestRefused refused) {
      context.outcome(Outcome.UNKNOWN);
      metrics.recordBrokenResponse();
      events.record(
          GatewayEvent.ANSWER_BROKEN,
          Field.of("request", context.requestId()),
          Field.of("cause", refused.getMessage()));
      try {
        relay.fail(refused.withOutcome(Outcome.UNKNOWN));
      } catch (CallerDisconnected e) {
        LOG.debug("the caller disconnected before it was notified of the incomplete response", e);
      }
    }

    private Placement place() throws RequestRefused, CallerDisconnected {
      long end = System.nanoTime() + MAX_PLACEMENT_WAIT.toNanos();
      while (true) {
        recheck();
        long before = System.nanoTime();
        Optional<Placement> placement = endpoints.place(resolved, excluded);
        metrics.recordRouting(System.nanoTime() - before);
        if (placement.isPresent()) {
          return placement.get();
        }
        if (!excluded.isEmpty()) {
          // Every endpoint was tried or is unavailable; a second round may find free capacity.
          excluded.clear();
        } else if (System.nanoTime() - end > 0) {
          break;
        }
        pause(PLACEMENT_PAUSE);
      }
      if (lastResult.isPresent()) {
        failRequest(lastResult.get());
      }
      throw RequestRefused.of(
          CallerError.NO_ENDPOINT, "no endpoint is available for the request", context.outcome());
    }

    /** Repeats the checks whose result may have changed since admission. */
    private void recheck() throws RequestRefused {
      if (!agent.admits()) {
        throw refused(
            CallerError.SETTINGS_STALE, "the gateway holds no valid settings lease from control");
      }
      SettingsView now = agent.settings();
      if (context.key().isPresent()) {
        Key key = context.key().get();
        // By its hash: the operator may have given its name to another key.
        if (now.activeKey(key.sha256()).filter(key::equals).isEmpty()) {
          throw refused(CallerError.INVALID_KEY, "the key was withdrawn");
        }
      } else if (now.service(resolved.target()).filter(service -> service.open()).isEmpty()) {
        throw refused(CallerError.INVALID_KEY, "the service is no longer open");
      }
      QuarantineFilter.check(agent, crashes, context);
      if (System.nanoTime() - context.deadlineNanos() > 0) {
        throw refused(CallerError.DEADLINE_EXCEEDED, "the request deadline has passed");
      }
    }

    private AttemptRequest buildAttempt(String attemptId, Placement placement, boolean isolated) {
      long left = context.deadlineNanos() - System.nanoTime();
      AttemptRequest request =
          new AttemptRequest(
              attemptId,
              context.requestId(),
              settings.processId(),
              context.customer(),
              context.route(),
              Priority.valueOf(resolved.priority().name()),
              resolved.idempotent(),
              Math.max(1, Duration.ofNanos(left).toMillis()),
              resolved.reservedTokens(),
              resolved.fingerprint(),
              context.settings().revision(),
              placement.endpoint());
      request
          .setHeaders(resolved.headers())
          .setBody(ByteBuffer.wrap(resolved.body()))
          .setIsolated(isolated)
          .setStream(resolved.stream())
          .setKeyId(context.key().map(Key::keyId).orElse(""));
      resolved
          .adapter()
          .ifPresent(
              version ->
                  request
                      .setAdapter(version.adapter())
                      .setVersion(version.version())
                      .setSource(version.source()));
      if (context.route() == Route.SERVICE) {
        request
            .setServiceName(resolved.target().substring(resolved.target().indexOf('/') + 1))
            .setMethod(resolved.method())
            .setPath(resolved.path());
      }
      return request;
    }

    private long minTokensUsed() {
      return context.route() == Route.SERVICE ? ServiceResolver.TOKENS_PER_CALL : 0;
    }

    private void pause(Duration time) throws RequestRefused, CallerDisconnected {
      try {
        Thread.sleep(time.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw refused(CallerError.NO_ENDPOINT, "the gateway is shutting down");
      }
      context.response().checkConnected();
    }

    private RequestRefused refused(CallerError error, String message) {
      return RequestRefused.of(error, message, context.outcome());
    }

    private String failureMessage(AttemptResult result) {
      return "no endpoint completed the request: " + result.detail();
    }

    private void record(GatewayEvent event, AttemptResult result, Placement placement) {
      events.record(
          event,
          Field.of("request", context.requestId()),
          Field.of("endpoint", placement.endpoint()),
          Field.of("outcome", result.outcome().headerValue()),
          Field.of("cause", result.detail()));
    }
  }
}
