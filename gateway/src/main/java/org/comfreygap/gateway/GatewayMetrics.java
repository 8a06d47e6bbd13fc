package org.comfreygap.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.RetryPolicy;
import org.comfreygap.protocol.generated.Route;

/**
 * Meters of a gateway.
 *
 * <p>Invariant: every label value is an enum constant or an HTTP status, so that the number of
 * series is bounded and no label can contain a key, a customer or an adapter. Thread safety:
 * thread-safe.
 */
final class GatewayMetrics {

  private final MeterRegistry registry;
  private final Map<Route, Timer> latencies = new ConcurrentHashMap<>();
  private final Map<RequestSeries, Counter> requests = new ConcurrentHashMap<>();
  private final Map<String, Counter> attempts = new ConcurrentHashMap<>();
  private final Map<RetryPolicy.Cause, Counter> retries = new ConcurrentHashMap<>();
  private final Counter attached;
  private final Counter cancels;
  private final Counter creditWaits;
  private final Counter creditRefusals;
  private final Counter continuedResponses;
  private final Counter brokenResponses;
  private final Timer routing;

  GatewayMetrics(MeterRegistry registry) {
    this.registry = registry;
    this.attached = registry.counter("comfreygap.gateway.attempts.attached");
    this.cancels = registry.counter("comfreygap.gateway.attempts.cancelled");
    this.creditWaits = registry.counter("comfreygap.gateway.credit.waits");
    this.creditRefusals = registry.counter("comfreygap.gateway.credit.refusals");
    this.continuedResponses = registry.counter("comfreygap.gateway.answers.continued");
    this.brokenResponses = registry.counter("comfreygap.gateway.answers.broken");
    this.routing = registry.timer("comfreygap.gateway.routing");
  }

  private record RequestSeries(Route route, int status, Outcome outcome) {}

  /** Registers a gauge of the requests in progress. */
  void registerActiveRequests(Supplier<Number> count) {
    registry.gauge("comfreygap.gateway.requests.active", this, m -> count.get().doubleValue());
  }

  /** Records a completed request. */
  void recordRequest(Route route, int status, Outcome outcome, long nanos) {
    requests
        .computeIfAbsent(
            new RequestSeries(route, status, outcome),
            series ->
                registry.counter(
                    "comfreygap.gateway.requests",
                    "route",
                    route.name(),
                    "status",
                    Integer.toString(status),
                    "outcome",
                    outcome.headerValue()))
        .increment();
    latencies
        .computeIfAbsent(
            route, r -> registry.timer("comfreygap.gateway.request.time", "route", r.name()))
        .record(Duration.ofNanos(nanos));
  }

  /** Records the result of an attempt. */
  void recordAttempt(AttemptResult.Kind kind) {
    attempts
        .computeIfAbsent(
            kind.name(), k -> registry.counter("comfreygap.gateway.attempts", "result", k))
        .increment();
  }

  /** Records a retry. */
  void recordRetry(RetryPolicy.Cause cause) {
    retries
        .computeIfAbsent(
            cause, c -> registry.counter("comfreygap.gateway.retries", "cause", c.name()))
        .increment();
  }

  /** Records the duration of a routing decision. */
  void recordRouting(long nanos) {
    routing.record(Duration.ofNanos(nanos));
  }

  /** Records that an attempt was continued on a new connection. */
  void recordAttach() {
    attached.increment();
  }

  /** Records a cancellation. */
  void recordCancellation() {
    cancels.increment();
  }

  /** Records a request that waited for credit. */
  void recordCreditWait() {
    creditWaits.increment();
  }

  /** Records a request refused for lack of credit. */
  void recordCreditRefusal() {
    creditRefusals.increment();
  }

  /** Records a response completed by a further attempt. */
  void recordContinuedResponse() {
    continuedResponses.increment();
  }

  /** Records a partly sent response that could not be completed. */
  void recordBrokenResponse() {
    brokenResponses.increment();
  }
}
