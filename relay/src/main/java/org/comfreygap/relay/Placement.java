package org.comfreygap.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.PacedCost;
import org.comfreygap.decisions.PlacementCost;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.comfreygap.decisions.PlacementPolicy;
import org.comfreygap.decisions.ReadingSpeed;
import org.comfreygap.decisions.StreamOrigins.Origin;
import org.comfreygap.settings.Documents.Pool;

/**
 * Chooses the endpoint for a request by this gateway's knowledge of the endpoints of a pool.
 *
 * <p>Thread safety: used on the event loop only.
 */
final class Placement {

  /**
   * Divisor of an endpoint's slots that gives the requests that may wait there; others wait here.
   */
  static final int WAITING_PER_SLOTS_DIVISOR = 4;

  /**
   * Maximum estimated wait for the first output at an engine; callers leave after about two
   * seconds. Beyond it requests wait at this gateway, the most urgent first, and are refused in
   * time.
   */
  static final double MAX_QUEUE_MILLIS = 1_100;

  private static final double NANOS_PER_MILLI = 1e6;

  private final EndpointDirectory directory;
  private final String zone;
  private final PacedCost.Preferences preferences;
  private final RandomGenerator random;
  private final Map<String, ReadingSpeed> speeds = new HashMap<>();

  Placement(
      EndpointDirectory directory,
      String zone,
      PacedCost.Preferences preferences,
      RandomGenerator random) {
    this.directory = directory;
    this.zone = zone;
    this.preferences = preferences;
    this.random = random;
  }

  /**
   * The requirements of a request on an endpoint.
   *
   * @param origin where the stream began that has to go on; empty for a new request
   * @param sendByNanos time by which the request has to be sent
   */
  record Requirements(
      Pool pool,
      Optional<String> model,
      Optional<AdapterSlots.Name> adapter,
      long minVersion,
      Optional<Origin> origin,
      long sendByNanos,
      PacedChoice.Prompt prompt) {}

  /** Why no endpoint was chosen. */
  enum Shortage {
    /** No endpoint of the pool accepts work now. */
    NONE_OPEN,
    /** Every endpoint that accepts work is at its limit. */
    ALL_FULL,
    /** The request limits of all endpoints that accept work admit no send in time. */
    ALL_LIMITED;

    /** Returns the shortage of a request that a request limit has held back at an endpoint. */
    Shortage whenHeldBack() {
      return this == NONE_OPEN ? ALL_LIMITED : this;
    }
  }

  /** The chosen endpoint and the residency of the request's adapter there, or a shortage. */
  record Choice(Optional<Endpoint> endpoint, Residency residency, Shortage shortage) {

    static Choice none(Shortage shortage) {
      return new Choice(Optional.empty(), Residency.HELD, shortage);
    }
  }

  Choice choose(
      Requirements requirements, RouteTable table, Set<Endpoint> excluded, long nowNanos) {
    List<Endpoint> open = openEndpoints(requirements, table, excluded, nowNanos);
    boolean limited = open.removeIf(one -> !sendsInTime(requirements, one, nowNanos));
    if (open.isEmpty()) {
      return Choice.none(limited ? Shortage.ALL_LIMITED : Shortage.NONE_OPEN);
    }
    boolean engine = requirements.pool().engine().isPresent();
    boolean paced = PacedChoice.appliesTo(open);
    PacedChoice choice = new PacedChoice(requirements, open, zone, preferences);
    double fastest =
        open.stream()
            .mapToDouble(engine ? Endpoint::partIntervalMillis : Endpoint::latencyMillis)
            .filter(millis -> millis > 0)
            .min()
            .orElse(0);
    long adapter = requirements.adapter().map(Placement::hash).orElse(0L);
    Endpoint best = null;
    Residency bestResidency = Residency.HELD;
    double bestCost = Double.MAX_VALUE;
    for (Endpoint endpoint : open) {
      if (isFull(requirements, endpoint, engine && paced, nowNanos)) {
        continue;
      }
      Residency residency =
          requirements
              .adapter()
              .map(name -> endpoint.residency(name, requirements.minVersion()))
              .orElse(Residency.HELD);
      boolean loadable = endpoint.sidecar().map(SidecarConnection::isConnected).orElse(false);
      if (residency != Residency.HELD && !loadable) {
        continue;
      }
      double cost =
          engine && paced
              ? choice.cost(endpoint, residency, fastest, nowNanos)
              : cost(requirements, adapter, endpoint, residency, open, fastest, nowNanos);
      cost *= 1 + PlacementPolicy.JITTER * random.nextDouble();
      if (cost < bestCost) {
        best = endpoint;
        bestResidency = residency;
        bestCost = cost;
      }
    }
    return best == null
        ? Choice.none(Shortage.ALL_FULL)
        : new Choice(Optional.of(best), bestResidency, Shortage.NONE_OPEN);
  }

  /** Requests the newest version at another endpoint while the one before may still serve. */
  void preloadNewestVersion(
      Endpoint serving, Requirements requirements, RouteTable table, long nowNanos) {
    if (requirements.adapter().isEmpty()) {
      return;
    }
    AdapterSlots.Name name = requirements.adapter().get();
    long newest = table.newestVersion(name);
    if (newest == 0 || serving.residentVersion(name).orElse(newest) >= newest) {
      return;
    }
    Requirements ahead =
        new Requirements(
            requirements.pool(),
            requirements.model(),
            requirements.adapter(),
            newest,
            Optional.empty(),
            requirements.sendByNanos(),
            requirements.prompt());
    Choice choice = choose(ahead, table, Set.of(serving), nowNanos);
    choice
        .endpoint()
        .filter(endpoint -> choice.residency() == Residency.ABSENT)
        .flatMap(Endpoint::sidecar)
        .ifPresent(link -> link.requestAdapter(name, newest, reply -> {}));
  }

  /** Requests an adapter at the first of its homes that lacks it. */
  void preloadAtNextHome(Requirements requirements, RouteTable table, long nowNanos) {
    List<Endpoint> open = openEndpoints(requirements, table, Set.of(), nowNanos);
    AdapterSlots.Name name = requirements.adapter().orElseThrow();
    PacedChoice choice = new PacedChoice(requirements, open, zone, preferences);
    open.stream()
        .filter(one -> one.residency(name, requirements.minVersion()) == Residency.ABSENT)
        .filter(one -> one.canLoad(nowNanos) && !one.isCold(nowNanos))
        .min(Comparator.comparingInt(choice::homePosition))
        .flatMap(Endpoint::sidecar)
        .ifPresent(link -> link.requestAdapter(name, requirements.minVersion(), reply -> {}));
  }

  /** Returns how fast the engines of a pool read, as this gateway has seen it. */
  ReadingSpeed speed(String pool) {
    return speeds.computeIfAbsent(pool, name -> new ReadingSpeed());
  }

  private List<Endpoint> openEndpoints(
      Requirements requirements, RouteTable table, Set<Endpoint> excluded, long nowNanos) {
    List<Endpoint> open = new ArrayList<>();
    for (Endpoint endpoint : directory.pool(requirements.pool().name())) {
      boolean holdsModel =
          requirements.model().isEmpty()
              || requirements.pool().engine().isEmpty()
              || endpoint.holdsModel(requirements.model().get(), nowNanos);
      if (holdsModel
          && requirements.origin().map(endpoint::isAt).orElse(true)
          && !excluded.contains(endpoint)
          && table.zoneIn(endpoint.zone())
          && endpoint.acceptsRequests(nowNanos)) {
        open.add(endpoint);
      }
    }
    return open;
  }

  private static boolean sendsInTime(Requirements requirements, Endpoint endpoint, long nowNanos) {
    long wait = endpoint.sendWaitNanos(nowNanos);
    return wait == 0 || nowNanos + wait - requirements.sendByNanos() <= 0;
  }

  private static boolean isFull(
      Requirements requirements, Endpoint endpoint, boolean paced, long nowNanos) {
    int slots = endpoint.slots();
    int limit = slots + Math.max(2, slots / WAITING_PER_SLOTS_DIVISOR);
    int running = endpoint.running(nowNanos);
    int waiting = endpoint.waiting(nowNanos);
    if (running + waiting >= limit) {
      return true;
    }
    if (paced) {
      return PacedChoice.isQueueTooLong(requirements.prompt(), endpoint, nowNanos);
    }
    PlacementCost.Load load =
        new PlacementCost.Load(slots, running, waiting, 1, Residency.HELD, 0, true);
    return requirements.pool().engine().isPresent()
        && PlacementCost.engineQueue(load, PlacementPolicy.PROMPT_MILLIS) > MAX_QUEUE_MILLIS;
  }

  private double cost(
      Requirements requirements,
      long adapter,
      Endpoint endpoint,
      Residency residency,
      List<Endpoint> open,
      double fastestMillis,
      long nowNanos) {
    boolean engine = requirements.pool().engine().isPresent();
    int home =
        residency != Residency.HELD && requirements.adapter().isPresent()
            ? homePosition(adapter, endpoint, open)
            : 0;
    PlacementCost.Load load =
        new PlacementCost.Load(
            endpoint.slots(),
            endpoint.running(nowNanos),
            endpoint.waiting(nowNanos),
            slowdown(endpoint, engine, open, fastestMillis, nowNanos),
            residency,
            home,
            endpoint.zone().equals(zone));
    PlacementPolicy.Candidate candidate =
        new PlacementPolicy.Candidate(
            load,
            endpoint.canLoad(nowNanos),
            endpoint.isCold(nowNanos),
            endpoint.failureRate(),
            endpoint.sendWaitNanos(nowNanos) / NANOS_PER_MILLI);
    return engine
        ? PlacementPolicy.ENGINE.cost(candidate, PlacementPolicy.PROMPT_MILLIS)
        : PlacementPolicy.SERVICE.cost(candidate, Math.max(1, fastestMillis));
  }

  /** Returns the slowdown by the stated paces or, where none is stated, by what was measured. */
  private static double slowdown(
      Endpoint endpoint, boolean engine, List<Endpoint> open, double fastestMillis, long nowNanos) {
    if (engine) {
      return endpoint.streamSlowdown(fastestMillis);
    }
    if (!PacedChoice.appliesTo(open)) {
      return endpoint.slowdown(fastestMillis);
    }
    double fastest = Double.MAX_VALUE;
    for (Endpoint one : open) {
      fastest = Math.min(fastest, one.reading().pace().expected(nowNanos));
    }
    return endpoint.reading().pace().expected(nowNanos) / fastest;
  }

  static long hash(AdapterSlots.Name name) {
    return AdapterHomes.hash(name.model() + "/" + name.adapter());
  }

  /** Returns the number of endpoints that precede this one as the home of an adapter. */
  private static int homePosition(long adapter, Endpoint endpoint, List<Endpoint> open) {
    long own = AdapterHomes.weight(adapter, endpoint.hash());
    int before = 0;
    for (Endpoint other : open) {
      before += AdapterHomes.weight(adapter, other.hash()) > own ? 1 : 0;
    }
    return before;
  }
}
