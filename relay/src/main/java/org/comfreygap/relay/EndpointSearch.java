package org.comfreygap.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.HedgeVerdict;
import org.comfreygap.decisions.PacedCost;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.comfreygap.decisions.ReadingSpeed;
import org.comfreygap.decisions.StreamOrigins.Origin;
import org.comfreygap.protocol.generated.AdapterReply;
import org.comfreygap.settings.RequestKind;

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

  /** Has the adapter made resident by the sidecar beside an endpoint. */
  void requestAdapter(
      Endpoint endpoint, Placement.Requirements need, Consumer<AdapterReply> receiver) {
    endpoint
        .sidecar()
        .orElseThrow()
        .requestAdapter(need.adapter().orElseThrow(), need.minVersion(), receiver::accept);
  }

  /** Leaves an endpoint out whose sidecar did not make the adapter resident. */
  void adapterRefused(Endpoint endpoint, String reason, ExchangeLog log) {
    relay.metrics().count("adapter.refusals", String.valueOf(reason));
    log.adapterRefused(endpoint, adapter().orElseThrow(), reason);
    exclude(endpoint);
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
  SendClearance.Request clearanceRequest(RouteDecision decision) {
    return new SendClearance.Request(
        request.id(),
        decision.customerId().orElse(""),
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

  /** Chooses an endpoint that is not among {@code left} either. */
  Placement.Choice chooseOther(
      Placement.Requirements need, RouteTable table, Set<Endpoint> left, long nowNanos) {
    Set<Endpoint> others = new HashSet<>(excluded);
    others.addAll(left);
    return relay.placement().choose(need, table, others, nowNanos);
  }

  /** Returns true when a stream may go on at an endpoint, as far as its software matters. */
  boolean isWhereItBegan(Endpoint endpoint) {
    return continuity.required().map(endpoint::isAt).orElse(true);
  }

  /**
   * The endpoint at which a second attempt may run, and the room in its pool.
   *
   * @param verdict {@link HedgeVerdict#SEND}, or why there is no endpoint
   * @param free free places of the pool
   * @param places places of the pool
   */
  record Beside(Optional<Endpoint> endpoint, HedgeVerdict verdict, int free, int places) {}

  /** Looks for an endpoint at which the request may run beside an attempt. */
  Beside beside(RouteDecision decision, Attempt current, long nowNanos) {
    int free = 0;
    int places = 0;
    Set<Endpoint> others = new HashSet<>(excluded);
    for (Endpoint one : relay.directory().pool(decision.pool())) {
      if (one.acceptsRequests(nowNanos)) {
        places += one.slots();
        free += freePlaces(one, nowNanos);
      }
      if (one.host().equals(current.endpoint().host())) {
        others.add(one);
      }
    }
    others.add(current.endpoint());
    Placement.Choice choice = chooseBeside(decision, current.endpoint(), others, nowNanos);
    HedgeVerdict verdict = verdict(decision, choice, current.endpoint(), nowNanos);
    return new Beside(choice.endpoint(), verdict, free, places);
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

  /** Chooses among the endpoints with the same software as that of the current attempt. */
  private Placement.Choice chooseBeside(
      RouteDecision decision, Endpoint current, Set<Endpoint> others, long nowNanos) {
    RouteTable table = relay.tables().get();
    Optional<Origin> origin =
        current.version().isPresent() ? Optional.of(current.origin()) : continuity.required();
    return requirements(decision, table, nowNanos)
        .map(
            need ->
                new Placement.Requirements(
                    need.pool(),
                    need.model(),
                    need.adapter(),
                    Math.max(need.minVersion(), residentVersion(current).orElse(0)),
                    origin,
                    nowNanos,
                    need.prompt()))
        .map(need -> relay.placement().choose(need, table, others, nowNanos))
        .orElse(Placement.Choice.none(Placement.Shortage.NONE_OPEN));
  }

  private HedgeVerdict verdict(
      RouteDecision decision, Placement.Choice choice, Endpoint current, long nowNanos) {
    if (versionMayDiffer(decision, choice, current, nowNanos)) {
      return HedgeVerdict.VERSION_MAY_DIFFER;
    }
    if (choice.endpoint().isEmpty()) {
      return HedgeVerdict.NO_ALTERNATIVE;
    }
    if (choice.residency() != Residency.HELD) {
      return HedgeVerdict.ALTERNATIVE_LACKS_ADAPTER;
    }
    if (SendClearance.isNeeded(relay, choice.endpoint().get(), nowNanos)) {
      return HedgeVerdict.ALTERNATIVE_LIMITED;
    }
    return freePlaces(choice.endpoint().get(), nowNanos) > 0
        ? HedgeVerdict.SEND
        : HedgeVerdict.ALTERNATIVE_FULL;
  }

  /** Returns true when the response of the chosen endpoint could be another one. */
  private boolean versionMayDiffer(
      RouteDecision decision, Placement.Choice choice, Endpoint current, long nowNanos) {
    RouteTable table = relay.tables().get();
    boolean stream = decision.route().kind() == RequestKind.STREAM;
    boolean changing =
        adapter()
            .map(name -> table.newestVersion(name) > table.minVersion(name, nowNanos))
            .orElse(false);
    boolean differs =
        choice
            .endpoint()
            .filter(other -> !residentVersion(other).equals(residentVersion(current)))
            .isPresent();
    return table.revision() != decision.revision()
        || stream && current.version().isEmpty()
        || changing
        || differs;
  }

  private static int freePlaces(Endpoint endpoint, long nowNanos) {
    int taken = endpoint.running(nowNanos) + endpoint.waiting(nowNanos);
    return Math.max(0, endpoint.slots() - taken);
  }
}
