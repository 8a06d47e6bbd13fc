package org.comfreygap.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.AdapterSlots.Name;
import org.comfreygap.decisions.PlacementCost;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.comfreygap.decisions.PlacementPolicy;

/**
 * Simulates a load of streaming requests for adapters on a model of engines, without processes or
 * network, in steps of one millisecond.
 *
 * <p>Not modelled: plain requests, customers' limits, memory for prompts, and failures of gateways.
 * With {@link Policy#PRESENT} the decisions are made by the product's own classes.
 *
 * <pre>{@code
 * LoadModel.Result result =
 *     new LoadModel(Setup.LIANHUA, LoadPattern.BURST, Policy.PRESENT, 7).play();
 * }</pre>
 *
 * <p>Invariant: the same arguments give the same result. Thread safety: not thread-safe.
 *
 * @since 0.3
 */
public final class LoadModel {

  /** Simulated time. */
  static final long SIMULATED_MILLIS = 45_000;

  /** Interval of the engines' reports to each gateway. */
  static final long STATUS_INTERVAL_MILLIS = 50;

  private static final long RETRY_MILLIS = 20;
  private static final int ADAPTERS = 3_000;
  private static final double SKEW = 1.2;

  private final Deployment deployment;
  private final LoadPattern pattern;
  private final Policy policy;
  private final Random random;
  private final Zipf popularity;
  private final List<Site> sites = new ArrayList<>();
  private final List<ModelRequest> requests = new ArrayList<>();
  private final List<WaitingRequest> waiting = new ArrayList<>();
  private long blockedMillis;

  /** Creates a model whose engines hold no adapters. */
  public LoadModel(Deployment deployment, LoadPattern pattern, Policy policy, long seed) {
    this.deployment = deployment;
    this.pattern = pattern;
    this.policy = policy;
    this.random = new Random(seed);
    this.popularity = new Zipf(ADAPTERS, SKEW);
    for (int i = 0; i < deployment.engines; i++) {
      sites.add(new Site(i));
    }
  }

  /** The size of a deployment, with the request rate of its heavy days. */
  public enum Deployment {
    LIANHUA(13, 8, 87, ModelEngine.EngineSpec.LIANHUA),
    GLASNIK(6, 9, 35, ModelEngine.EngineSpec.GLASNIK);

    private final int engines;
    private final int gateways;
    private final double requestsPerSecond;
    private final ModelEngine.EngineSpec spec;

    Deployment(int engines, int gateways, double requestsPerSecond, ModelEngine.EngineSpec spec) {
      this.engines = engines;
      this.gateways = gateways;
      this.requestsPerSecond = requestsPerSecond;
      this.spec = spec;
    }
  }

  /** Policy of request placement and adapter eviction. */
  public enum Policy {
    /** The product's decisions. */
    PRESENT,
    /** The endpoint with the fewest requests, and eviction of the least recently sent adapter. */
    NAIVE
  }

  /**
   * Result of a simulation.
   *
   * @param onTimeShare share of the requests whose first token came within their target
   * @param servedShare share of the requests that started and did not fail
   * @param adaptersRequested number of distinct adapters requested
   * @param blockedMillis time in which engines accepted no command because an unload was pending,
   *     summed over engines
   */
  public record Result(
      int requests,
      double onTimeShare,
      double servedShare,
      int loadsFromStore,
      int loadsFromCopies,
      int adaptersRequested,
      long blockedMillis) {}

  /** Runs the simulation. */
  public Result run() {
    for (long now = 0; now < SIMULATED_MILLIS; now++) {
      addArrival(now);
      for (Site site : sites) {
        site.advance(now);
      }
      placeWaiting(now);
    }
    return result();
  }

  private void addArrival(long now) {
    double rate = deployment.requestsPerSecond * pattern.rateFactor(now) / 1_000;
    // At most one arrival per millisecond: negligible error up to a few hundred per second.
    if (random.nextDouble() >= rate) {
      return;
    }
    boolean rare = random.nextDouble() < pattern.rareShare(now);
    int rank = rare ? random.nextInt(ADAPTERS) : popularity.draw(random);
    Name adapter =
        new Name("base", "a" + Math.floorMod(rank - pattern.popularityShift(now), ADAPTERS));
    ModelRequest request =
        new ModelRequest(
            ModelRequest.Kind.forDraw(random.nextDouble()),
            adapter,
            random.nextInt(deployment.gateways),
            now);
    requests.add(request);
    waiting.add(new WaitingRequest(request));
  }

  private void placeWaiting(long now) {
    Iterator<WaitingRequest> each = waiting.iterator();
    while (each.hasNext()) {
      if (each.next().advancePlacement(now)) {
        each.remove();
      }
    }
  }

  private Result result() {
    int onTime = 0;
    int served = 0;
    Set<Name> requested = new HashSet<>();
    for (ModelRequest request : requests) {
      onTime += request.onTime() ? 1 : 0;
      served += request.started() ? 1 : 0;
      requested.add(request.adapter());
    }
    int store = sites.stream().mapToInt(site -> site.engine.loadsFromStore()).sum();
    int copies = sites.stream().mapToInt(site -> site.engine.loadsFromCopies()).sum();
    double count = Math.max(1, requests.size());
    return new Result(
        requests.size(),
        onTime / count,
        served / count,
        store,
        copies,
        requested.size(),
        blockedMillis);
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** A request that waits for placement on an engine. */
  private final class WaitingRequest {

    private final ModelRequest request;
    private final Set<Site> excluded = new HashSet<>();
    private Optional<Site> loading = Optional.empty();
    private long loadingSinceMillis;
    private long nextAttemptMillis;

    WaitingRequest(ModelRequest request) {
      this.request = request;
      this.nextAttemptMillis = request.arrivedMillis();
    }

    /** Attempts to place the request; returns true once it was sent or abandoned. */
    boolean advancePlacement(long now) {
      Duration target = Duration.ofMillis(request.kind().targetMillis());
      long longest = PlacementPolicy.maxPlacementTime(target).toMillis();
      if (now - request.arrivedMillis() >= longest) {
        request.refuse();
        loading.ifPresent(site -> site.withdrawIfUnneeded(request.adapter()));
        return true;
      }
      if (loading.isPresent()) {
        return awaitLoad(loading.get(), now);
      }
      return now >= nextAttemptMillis && chooseSite(now);
    }

    private boolean awaitLoad(Site site, long now) {
      if (site.serves(request.adapter())) {
        return send(site);
      }
      boolean late =
          !site.engine.loading().contains(request.adapter())
              && !site.adapterSlots.congested()
              && now - loadingSinceMillis >= AdapterSlots.MAX_SLOT_WAIT.toMillis();
      if (late || pattern.isDown(site.index, now)) {
        excluded.add(site);
        loading = Optional.empty();
      }
      return false;
    }

    private boolean chooseSite(long now) {
      nextAttemptMillis = now + RETRY_MILLIS;
      Optional<Site> best = Optional.empty();
      double bestCost = Double.MAX_VALUE;
      for (Site site : sites) {
        if (excluded.contains(site) || pattern.isDown(site.index, now)) {
          continue;
        }
        double cost = site.cost(request, now);
        if (cost < bestCost) {
          best = Optional.of(site);
          bestCost = cost;
        }
      }
      if (best.isEmpty()) {
        return false;
      }
      Site chosen = best.get();
      if (chosen.gatewayViews[request.gateway()].resident.contains(request.adapter())) {
        return send(chosen);
      }
      chosen.adapterSlots.request(request.adapter(), 0, nanos(now));
      loading = best;
      loadingSinceMillis = now;
      return false;
    }

    private boolean send(Site site) {
      if (site.engine.accept(request)) {
        site.gatewayViews[request.gateway()].sent++;
        site.adapterSlots.inUse(site.knownInUse(), nanos(site.nowMillis));
        return true;
      }
      excluded.add(site);
      loading = Optional.empty();
      return false;
    }
  }

  /** An engine with its sidecar, as the gateways see it. */
  private final class Site {

    private final int index;
    private final long hash;
    private final ModelEngine engine = new ModelEngine(deployment.spec);
    private final AdapterSlots adapterSlots = new AdapterSlots(deployment.spec.adapterSlots());
    private final GatewayView[] gatewayViews = new GatewayView[deployment.gateways];
    private long nowMillis;

    Site(int index) {
      this.index = index;
      this.hash = AdapterHomes.hash("engine-" + index);
      for (int i = 0; i < gatewayViews.length; i++) {
        gatewayViews[i] = new GatewayView();
      }
    }

    boolean serves(Name adapter) {
      return engine.resident().contains(adapter) && adapterSlots.serves(adapter, 0);
    }

    void advance(long now) {
      nowMillis = now;
      if (pattern.restartsAt(index, now) || pattern.isDown(index, now)) {
        engine.restart();
        adapterSlots.restarted();
      }
      if (pattern.isDown(index, now)) {
        return;
      }
      engine.advance(now, sites.stream().mapToInt(site -> site.engine.loading().size()).sum());
      Map<Name, Long> resident = new HashMap<>();
      engine.resident().forEach(name -> resident.put(name, 1L));
      Map<Name, Long> loading = new HashMap<>();
      engine.loading().forEach(name -> loading.put(name, 1L));
      adapterSlots.observed(resident, loading, nanos(now));
      adapterSlots.inUse(knownInUse(), nanos(now));
      blockedMillis += engine.blocked() ? 1 : 0;
      if (!engine.blocked()) {
        adapterSlots
            .next(nanos(now))
            .filter(engine::execute)
            .ifPresent(command -> adapterSlots.accepted(command, nanos(now)));
      }
      for (int i = 0; i < gatewayViews.length; i++) {
        if ((now + i * STATUS_INTERVAL_MILLIS / gatewayViews.length) % STATUS_INTERVAL_MILLIS
            == 0) {
          gatewayViews[i].update(this);
        }
      }
    }

    /** Withdraws the request for an adapter that no waiting request needs. */
    void withdrawIfUnneeded(Name adapter) {
      boolean others =
          waiting.stream()
              .anyMatch(
                  other ->
                      other.loading.filter(this::equals).isPresent()
                          && other.request.adapter().equals(adapter)
                          && !other.request.refused());
      if (!others) {
        adapterSlots.withdraw(adapter);
      }
    }

    /** Returns the adapters in use that the sidecar knows of; none with the naive policy. */
    Set<Name> knownInUse() {
      return policy == Policy.PRESENT ? engine.inUse() : Set.of();
    }

    double cost(ModelRequest request, long now) {
      GatewayView known = gatewayViews[request.gateway()];
      int waits = known.waiting + known.sent;
      if (policy == Policy.NAIVE) {
        return (known.running + waits) * (1 + PlacementPolicy.JITTER * random.nextDouble());
      }
      PlacementCost.Load load =
          new PlacementCost.Load(
              deployment.spec.maxBatch(),
              known.running,
              waits,
              1,
              known.residency(request.adapter()),
              homePosition(request.adapter(), now),
              (index + request.gateway()) % 3 == 0);
      PlacementPolicy.Candidate candidate =
          new PlacementPolicy.Candidate(load, known.loadable > 0, false, 0, 0);
      return PlacementPolicy.ENGINE.cost(candidate, PlacementPolicy.PROMPT_MILLIS)
          * (1 + PlacementPolicy.JITTER * random.nextDouble());
    }

    private int homePosition(Name adapter, long now) {
      long name = AdapterHomes.hash(adapter.model() + "/" + adapter.adapter());
      long own = AdapterHomes.weight(name, hash);
      int before = 0;
      for (Site other : sites) {
        boolean up = !pattern.isDown(other.index, now);
        before += up && AdapterHomes.weight(name, other.hash) > own ? 1 : 0;
      }
      return before;
    }
  }

  /** An engine's state as last reported to one gateway. */
  private static final class GatewayView {

    private Set<Name> resident = Set.of();
    private Set<Name> loading = Set.of();
    private int running;
    private int waiting;
    private int loadable = 1;
    private int sent;

    void update(Site site) {
      resident = new HashSet<>(site.adapterSlots.offered().keySet());
      loading = new HashSet<>(site.engine.loading());
      running = site.engine.running();
      waiting = site.engine.waiting();
      loadable = site.adapterSlots.loadable(nanos(site.nowMillis));
      sent = 0;
    }

    Residency residency(Name adapter) {
      if (resident.contains(adapter)) {
        return Residency.HELD;
      }
      return loading.contains(adapter) ? Residency.COMING : Residency.ABSENT;
    }
  }
}
