package org.comfreygap.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.PacedCost;
import org.comfreygap.decisions.ReadingSpeed;

/**
 * The search for an endpoint of one request: what it needs, by when, and which endpoints are out.
 *
 * <p>Invariant: an endpoint that refused or failed the request is not chosen again. Thread safety:
 * used on the event loop only.
 */
final class EndpointSearch {

  private static final double MICROS_PER_MILLI = 1_000;

  private final RelayContext relay;
  private final CallerRequest request;
  private final StreamContinuity continuity;
  private final Set<Endpoint> excluded = new HashSet<>();
  private long deadlineNanos;
  private long beganNanos;

  EndpointSearch(RelayContext relay, CallerRequest request, StreamContinuity continuity) {
    this.relay = relay;
    this.request = request;
    this.continuity = continuity;
  }

  /** Sets the time by which the next attempt has to be sent. */
  void begin(long nanos, long nowNanos) {
    deadlineNanos = nowNanos + nanos;
    beganNanos = nowNanos;
  }

  /** Returns the time by which the next attempt has to be sent. */
  long deadlineNanos() {
    return deadlineNanos;
  }

  /** Leaves an endpoint out from here on. */
  void exclude(Endpoint endpoint) {
    excluded.add(endpoint);
  }

  /** Returns the adapter that the request needs. */
  Optional<AdapterSlots.Name> adapter() {
    return request.adapter().map(name -> new AdapterSlots.Name(request.model().orElse(""), name));
  }

  /** Returns the requirements on an endpoint, or empty when the pool no longer exists. */
  Optional<Placement.Requirements> requirements(
      RouteDecision decision, RouteTable table, long nowNanos) {
    return table
        .pool(decision.pool())
        .map(
            pool ->
                new Placement.Requirements(
                    pool,
                    request.model(),
                    adapter(),
                    minVersion(table, nowNanos),
                    continuity.required(),
                    deadlineNanos,
                    prompt(decision)));
  }

  /** Returns what a send of the request needs beside the choice of an endpoint. */
  SendClearance.Request clearanceRequest(RouteDecision decision, String customerId) {
    return new SendClearance.Request(
        request.id(),
        customerId,
        decision.rank(),
        deadlineNanos,
        prompt(decision).cost(),
        beganNanos + RequestTimeouts.targetLatency(decision.route()).toNanos(),
        adapter().isPresent()
            ? OptionalLong.of(Placement.hash(adapter().get()))
            : OptionalLong.empty(),
        () -> addHome(decision));
  }

  private void addHome(RouteDecision decision) {
    RouteTable table = relay.tables().get();
    long now = System.nanoTime();
    requirements(decision, table, now)
        .ifPresent(need -> relay.placement().preloadAtNextHome(need, table, now));
    relay.metrics().count("homes.added", decision.pool());
  }

  /** Leaves out an endpoint that did not admit the request, unless it may do so in a moment. */
  void notCleared(Endpoint endpoint, boolean forNow) {
    if (!forNow) {
      exclude(endpoint);
    }
  }

  private PacedChoice.Prompt prompt(RouteDecision decision) {
    ReadingSpeed speed = relay.placement().speed(decision.pool());
    long pause = decision.route().maxGapMillis();
    PacedCost.Prompt cost =
        new PacedCost.Prompt(
            speed.readMicros(request.promptTokens().orElse(0)),
            speed.eventMicros(),
            (pause > 0 ? pause : PacedCost.DEFAULT_PAUSE_MILLIS) * MICROS_PER_MILLI);
    long target = RequestTimeouts.targetLatency(decision.route()).toMillis();
    return new PacedChoice.Prompt(cost, target);
  }

  Placement.Choice choose(Placement.Requirements need, RouteTable table, long nowNanos) {
    return relay.placement().choose(need, table, excluded, nowNanos);
  }

  /** Returns true when an attempt at another endpoint is possible. */
  boolean hasAlternative(RouteDecision decision, Optional<Attempt> current, long nowNanos) {
    RouteTable table = relay.tables().get();
    Set<Endpoint> others = new HashSet<>(excluded);
    current.ifPresent(attempt -> others.add(attempt.endpoint()));
    return relay.hasRetry(decision.pool(), nowNanos)
        && requirements(decision, table, nowNanos)
            .flatMap(need -> relay.placement().choose(need, table, others, nowNanos).endpoint())
            .isPresent();
  }

  /** Returns the least version of the adapter that may serve; 0 for any. */
  long minVersion(RouteTable table, long nowNanos) {
    return adapter().map(name -> table.minVersion(name, nowNanos)).orElse(0L);
  }

  /** Returns true when an endpoint holds a version of the adapter that may serve. */
  boolean servesVersion(RouteTable table, Endpoint endpoint, long nowNanos) {
    long minimum = minVersion(table, nowNanos);
    return minimum == 0 || endpoint.residentVersion(adapter().get()).orElse(0) >= minimum;
  }

  /** Returns the version of the adapter that an endpoint holds, where it is known. */
  OptionalLong residentVersion(Endpoint endpoint) {
    return adapter().map(endpoint::residentVersion).orElse(OptionalLong.empty());
  }
}
