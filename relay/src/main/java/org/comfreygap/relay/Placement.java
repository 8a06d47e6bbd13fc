package org.comfreygap.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.PlacementCost;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.comfreygap.decisions.PlacementPolicy;
import org.comfreygap.settings.Documents.Pool;

/**
 * Chooses the endpoint for a request from what this gateway knows of the endpoints of a pool.
 *
 * <p>Thread safety: used on the event loop only.
 */
final class Placement {

  /** Requests that an endpoint may have waiting before this gateway holds more back. */
  static final int WAITING_PER_SLOTS_DIVISOR = 4;

  /**
   * Longest estimated wait for the first output at an engine; callers leave after about two
   * seconds. Beyond it requests wait here, the most urgent first, and are refused in time.
   */
  static final double MAX_QUEUE_MILLIS = 1_100;

  private final EndpointDirectory directory;
  private final String zone;
  private final RandomGenerator random;

  Placement(EndpointDirectory directory, String zone, RandomGenerator random) {
    this.directory = directory;
    this.zone = zone;
    this.random = random;
  }

  /** What a request needs of an endpoint. */
  record Requirements(
      Pool pool, Optional<String> model, Optional<AdapterSlots.Name> adapter, long minVersion) {}

  /** Why there is no endpoint. */
  enum Shortage {
    /** No endpoint of the pool takes work now. */
    NONE_OPEN,
    /** Every endpoint that takes work has as much as it may. */
    ALL_FULL
  }

  /** An endpoint with what has to happen before the request is sent there, or a shortage. */
  record Choice(Optional<Endpoint> endpoint, Residency residency, Shortage shortage) {

    static Choice none(Shortage shortage) {
      return new Choice(Optional.empty(), Residency.HELD, shortage);
    }
  }

  Choice choose(Requirements need, RouteTable table, Set<Endpoint> excluded, long nowNanos) {
    List<Endpoint> open = openEndpoints(need, table, excluded, nowNanos);
    if (open.isEmpty()) {
      return Choice.none(Shortage.NONE_OPEN);
    }
    boolean engine = need.pool().engine().isPresent();
    double fastest =
        open.stream()
            .mapToDouble(engine ? Endpoint::partIntervalMillis : Endpoint::latencyMillis)
            .filter(millis -> millis > 0)
            .min()
            .orElse(0);
    long adapter = need.adapter().map(Placement::hash).orElse(0L);
    Endpoint best = null;
    Residency bestResidency = Residency.HELD;
    double bestCost = Double.MAX_VALUE;
    for (Endpoint endpoint : open) {
      if (isFull(need, endpoint, nowNanos)) {
        continue;
      }
      Residency residency =
          need.adapter()
              .map(name -> endpoint.residency(name, need.minVersion()))
              .orElse(Residency.HELD);
      boolean loadable = endpoint.sidecar().map(SidecarConnection::isConnected).orElse(false);
      if (residency != Residency.HELD && !loadable) {
        continue;
      }
      double cost = cost(need, adapter, endpoint, residency, open, fastest, nowNanos);
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

  /** Has the newest version loaded elsewhere while the one before may still serve. */
  void preloadNewestVersion(Endpoint serving, Requirements need, RouteTable table, long nowNanos) {
    if (need.adapter().isEmpty()) {
      return;
    }
    AdapterSlots.Name name = need.adapter().get();
    long newest = table.newestVersion(name);
    if (newest == 0 || serving.residentVersion(name).orElse(newest) >= newest) {
      return;
    }
    Requirements ahead = new Requirements(need.pool(), need.model(), need.adapter(), newest);
    Choice choice = choose(ahead, table, Set.of(serving), nowNanos);
    choice
        .endpoint()
        .filter(endpoint -> choice.residency() == Residency.ABSENT)
        .flatMap(Endpoint::sidecar)
        .ifPresent(link -> link.requestAdapter(name, newest, reply -> {}));
  }

  private List<Endpoint> openEndpoints(
      Requirements need, RouteTable table, Set<Endpoint> excluded, long nowNanos) {
    List<Endpoint> open = new ArrayList<>();
    for (Endpoint endpoint : directory.pool(need.pool().name())) {
      boolean holdsModel =
          need.model().isEmpty()
              || need.pool().engine().isEmpty()
              || endpoint.holdsModel(need.model().get(), nowNanos);
      if (holdsModel
          && !excluded.contains(endpoint)
          && table.zoneIn(endpoint.zone())
          && endpoint.acceptsRequests(nowNanos)) {
        open.add(endpoint);
      }
    }
    return open;
  }

  private static boolean isFull(Requirements need, Endpoint endpoint, long nowNanos) {
    int slots = endpoint.slots();
    int most = slots + Math.max(2, slots / WAITING_PER_SLOTS_DIVISOR);
    int running = endpoint.running(nowNanos);
    int waiting = endpoint.waiting(nowNanos);
    if (running + waiting >= most) {
      return true;
    }
    PlacementCost.Load load =
        new PlacementCost.Load(slots, running, waiting, 1, Residency.HELD, 0, true);
    return need.pool().engine().isPresent()
        && PlacementCost.engineQueue(load, PlacementPolicy.PROMPT_MILLIS) > MAX_QUEUE_MILLIS;
  }

  private double cost(
      Requirements need,
      long adapter,
      Endpoint endpoint,
      Residency residency,
      List<Endpoint> open,
      double fastestMillis,
      long nowNanos) {
    boolean engine = need.pool().engine().isPresent();
    int home =
        residency != Residency.HELD && need.adapter().isPresent()
            ? homePosition(adapter, endpoint, open)
            : 0;
    PlacementCost.Load load =
        new PlacementCost.Load(
            endpoint.slots(),
            endpoint.running(nowNanos),
            endpoint.waiting(nowNanos),
            engine ? endpoint.streamSlowdown(fastestMillis) : endpoint.slowdown(fastestMillis),
            residency,
            home,
            endpoint.zone().equals(zone));
    PlacementPolicy.Candidate candidate =
        new PlacementPolicy.Candidate(
            load, endpoint.canLoad(nowNanos), endpoint.isCold(nowNanos), endpoint.failureRate());
    double cost =
        engine
            ? PlacementPolicy.ENGINE.cost(candidate, PlacementPolicy.PROMPT_MILLIS)
            : PlacementPolicy.SERVICE.cost(candidate, Math.max(1, fastestMillis));
    return cost * (1 + PlacementPolicy.JITTER * random.nextDouble());
  }

  private static long hash(AdapterSlots.Name name) {
    return AdapterHomes.hash(name.model() + "/" + name.adapter());
  }

  /** Returns how many endpoints come before this one as the home of an adapter. */
  private static int homePosition(long adapter, Endpoint endpoint, List<Endpoint> open) {
    long own = AdapterHomes.weight(adapter, endpoint.hash());
    int before = 0;
    for (Endpoint other : open) {
      before += AdapterHomes.weight(adapter, other.hash()) > own ? 1 : 0;
    }
    return before;
  }
}
