package org.comfreygap.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.PoolDemand;
import org.comfreygap.runtime.ClockReading;
import org.comfreygap.runtime.HeartbeatContent;

/**
 * The load of the pools whose number of endpoints is ordered, as this gateway reports it.
 *
 * <p>Invariants: nothing is counted or sent for other pools; its size depends on pools and zones
 * only; requests that were refused are reported until a heartbeat with them is acknowledged. Thread
 * safety: {@link #refused} and {@link #collect} are called on the event loop, the methods for
 * heartbeats by one other thread at a time.
 */
final class PoolDemands implements HeartbeatContent {

  /** Period of {@link #collect}, short against heartbeats. */
  static final Duration PERIOD = Duration.ofMillis(250);

  /** Age from which a collected load is not sent, as the event loop hangs. */
  private static final Duration LIFETIME = Duration.ofMillis(1_500);

  private final EndpointDirectory directory;
  private final WaitQueue waitQueue;
  private final String ownZone;
  private final Supplier<RouteTable> tables;
  private final Map<String, Integer> refusedInTotal = new HashMap<>();
  private volatile Optional<Collected> newest = Optional.empty();
  private Map<String, Integer> refusedSent = Map.of();
  private Map<String, Integer> refusedKnown = Map.of();

  PoolDemands(
      EndpointDirectory directory,
      WaitQueue waitQueue,
      String ownZone,
      Supplier<RouteTable> tables) {
    this.directory = directory;
    this.waitQueue = waitQueue;
    this.ownZone = ownZone;
    this.tables = tables;
  }

  /**
   * The load at a time.
   *
   * @param refused requests refused since the start of this process, by pool
   */
  private record Collected(List<PoolLoad> loads, Map<String, Integer> refused, long nanos) {}

  /**
   * The load of a pool in a zone.
   *
   * @param takesQueue true in the zone to which what waits and was refused here is attributed
   */
  private record PoolLoad(
      String pool,
      String zone,
      int inProgress,
      int waiting,
      int endpoints,
      int slots,
      boolean takesQueue) {}

  /** Counts a request that was refused for lack of room. */
  void refused(String pool) {
    if (tables.get().scaledPools().contains(pool)) {
      refusedInTotal.merge(pool, 1, Integer::sum);
    }
  }

  /** Collects the load for the next heartbeat. */
  void collect(long nowNanos) {
    RouteTable table = tables.get();
    if (table.scaledPools().isEmpty() || !directory.isKnown()) {
      newest = Optional.empty();
      return;
    }
    refusedInTotal.keySet().retainAll(table.scaledPools());
    List<PoolLoad> loads = new ArrayList<>();
    table.scaledPools().forEach(pool -> collectPool(pool, table, nowNanos, loads));
    newest = Optional.of(new Collected(loads, Map.copyOf(refusedInTotal), nowNanos));
  }

  @Override
  public void fill(HeartbeatRequest request) {
    Optional<Collected> present =
        newest.filter(one -> System.nanoTime() - one.nanos() < LIFETIME.toNanos());
    refusedSent = present.map(Collected::refused).orElse(refusedKnown);
    if (present.isEmpty()) {
      request.unsetDemand();
      return;
    }
    List<PoolDemand> demand = new ArrayList<>();
    for (PoolLoad load : present.get().loads()) {
      demand.add(
          new PoolDemand(
              load.pool(),
              load.zone(),
              load.inProgress(),
              load.waiting(),
              load.takesQueue() ? refusedSinceKnown(load.pool()) : 0,
              load.endpoints(),
              load.slots()));
    }
    request.setDemand(demand);
  }

  @Override
  public void replied(
      HeartbeatRequest request, HeartbeatReply reply, ClockReading sentAt, long nowNanos) {
    refusedKnown = refusedSent;
  }

  private int refusedSinceKnown(String pool) {
    return Math.max(0, refusedSent.getOrDefault(pool, 0) - refusedKnown.getOrDefault(pool, 0));
  }

  private void collectPool(String pool, RouteTable table, long nowNanos, List<PoolLoad> loads) {
    Map<String, List<Endpoint>> byZone = new TreeMap<>();
    directory
        .pool(pool)
        .forEach(one -> byZone.computeIfAbsent(one.zone(), z -> new ArrayList<>()).add(one));
    Map<String, Integer> accepting = new TreeMap<>();
    byZone.forEach((zone, all) -> accepting.put(zone, accepting(all, nowNanos).size()));
    String queueZone = queueZone(accepting, table);
    byZone.forEach(
        (zone, all) -> {
          boolean takesQueue = zone.equals(queueZone);
          loads.add(
              new PoolLoad(
                  pool,
                  zone,
                  all.stream().mapToInt(Endpoint::inFlight).sum(),
                  takesQueue ? waitQueue.size(pool) : 0,
                  accepting.get(zone),
                  accepting(all, nowNanos).stream().mapToInt(Endpoint::slots).sum(),
                  takesQueue));
        });
  }

  /**
   * Returns the zone that is to have more endpoints for what waits here: this gateway's own one,
   * or, where the pool is not there or the zone is out of service, the one with most endpoints.
   */
  private String queueZone(Map<String, Integer> accepting, RouteTable table) {
    if (accepting.containsKey(ownZone) && table.zoneIn(ownZone)) {
      return ownZone;
    }
    return accepting.entrySet().stream()
        .filter(entry -> table.zoneIn(entry.getKey()))
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .orElse(ownZone);
  }

  private static List<Endpoint> accepting(List<Endpoint> endpoints, long nowNanos) {
    return endpoints.stream()
        .filter(one -> !one.isGone() && !one.isSuperseded() && !one.isLeaving(nowNanos))
        .toList();
  }
}
