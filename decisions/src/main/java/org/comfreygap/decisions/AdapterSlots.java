package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which adapters one endpoint loads and which make way.
 *
 * <p>An adapter that makes way is first retired: it is no longer shown as resident, so that
 * gateways send it nothing more, and unloaded after {@link #RETIRE_NOTICE}. The least recently used
 * one goes first. One that open requests use does not make way and is not replaced: the engine
 * would wait for these runs, for seconds, and take no other order meanwhile.
 *
 * <pre>{@code
 * places.want(name, 0, now);
 * Optional<Order> order = places.next(now);
 * }</pre>
 *
 * <p>The store is shared by all endpoints, and beyond a number of loads each takes longer. The
 * loads at once are therefore halved after one that took long and raised step by step otherwise, so
 * that what most requests wait for comes first and in time.
 *
 * <p>Invariant: resident and coming adapters together never exceed the places, and those coming
 * never exceed {@link #MAX_LOADING}, counting every order that may still be carried out. Thread
 * safety: not thread-safe.
 *
 * @since 0.2
 */
public final class AdapterSlots {

  /** Adapters that may be on their way to one endpoint at once, a bound of the engines. */
  public static final int MAX_LOADING = 4;

  /**
   * A load that takes longer than this shares the store with more loads than it carries: at full
   * speed one takes 250 ms by the capacity sheets.
   */
  public static final Duration SLOW_LOAD = Duration.ofMillis(400);

  /** Factor of the loads at once after a slow load, the usual one of congestion control. */
  static final double WINDOW_DECREASE = 0.5;

  /** Added to the loads at once after a load that was not slow; four of them allow one more. */
  static final double WINDOW_INCREASE = 0.25;

  /**
   * A wish that found no place within this time is given up: the adapter can still be loaded
   * elsewhere in time. While the store is slow it waits on, since elsewhere it would add a load.
   */
  public static final Duration MAX_SLOT_WAIT = Duration.ofMillis(400);

  /** Time between the last word to gateways and an unload, above a network round trip. */
  public static final Duration RETIRE_NOTICE = Duration.ofMillis(30);

  /**
   * An adapter used within this time is not retired: after its load, the request that waits for it
   * is sent, and its gateway tells of the use, within a few network round trips.
   */
  public static final Duration MIN_IDLE_TIME = Duration.ofMillis(100);

  /** A wish is dropped after this time; the gateway has given up or asks again. */
  public static final Duration DEMAND_LIFETIME = Duration.ofSeconds(3);

  /**
   * An outdated version is unloaded once it was unused for this long: until the newest one is due
   * it may still serve, and it is loaded sooner where a request asks for it.
   */
  public static final Duration OUTDATED_IDLE = Duration.ofSeconds(8);

  /** Time for which an order without an answer may still be carried out. */
  public static final Duration LATE_COMMAND_TIME = Duration.ofSeconds(14);

  private final Map<Name, Long> resident = new HashMap<>();
  private final Map<Name, Long> loading = new HashMap<>();
  private final Map<Name, Long> unacknowledgedUntil = new HashMap<>();
  private final Map<Name, Long> usedNanos = new HashMap<>();
  private final Map<Name, Long> retiredNanos = new HashMap<>();
  private final Map<Name, Demand> demands = new LinkedHashMap<>();
  private final Map<Name, Long> announced = new HashMap<>();
  private final Map<Name, Long> commandedNanos = new HashMap<>();
  private Set<Name> inUse = Set.of();
  private long evictionSuspendedUntilNanos;
  private boolean evictionSuspended;
  private double window = MAX_LOADING;
  private long windowLoweredNanos;
  private boolean windowLowered;
  private int slots;

  /** Creates an endpoint of which nothing is known. */
  public AdapterSlots(int places) {
    this.slots = places;
  }

  /** An adapter of a base model. */
  public record Name(String model, String adapter) {}

  /** What an order does. */
  public enum Action {
    LOAD,
    UNLOAD
  }

  /** An order to the endpoint. */
  public record Command(Action action, Name name) {}

  private record Demand(long leastVersion, long sinceNanos, int requests) {}

  /** Sets the number of places. */
  public void slots(int count) {
    slots = count;
  }

  /** Sets the newest announced version of each adapter; unused residents below it make way. */
  public void announced(Map<Name, Long> versions) {
    announced.clear();
    announced.putAll(versions);
  }

  /** Replaces what the endpoint holds by its newest report. */
  public void observed(
      Map<Name, Long> residentVersions, Map<Name, Long> comingVersions, long nowNanos) {
    for (Name name : residentVersions.keySet()) {
      if (!resident.containsKey(name)) {
        usedNanos.putIfAbsent(name, nowNanos);
      }
    }
    resident.clear();
    resident.putAll(residentVersions);
    loading.clear();
    loading.putAll(comingVersions);
    updateWindow(nowNanos);
    unacknowledgedUntil
        .entrySet()
        .removeIf(
            doubt -> resident.containsKey(doubt.getKey()) || doubt.getValue() - nowNanos <= 0);
    retiredNanos.keySet().retainAll(resident.keySet());
    usedNanos.keySet().removeIf(name -> !resident.containsKey(name) && !demands.containsKey(name));
    demands
        .entrySet()
        .removeIf(wish -> nowNanos - wish.getValue().sinceNanos() > DEMAND_LIFETIME.toNanos());
  }

  /** Forgets everything: the endpoint has started anew. */
  public void restarted() {
    resident.clear();
    loading.clear();
    commandedNanos.clear();
    unacknowledgedUntil.clear();
    retiredNanos.clear();
    usedNanos.clear();
  }

  /** Sets the adapters that open requests use. */
  public void inUse(Set<Name> names, long nowNanos) {
    // Those that were in use until now were used until now.
    inUse.forEach(name -> usedNanos.put(name, nowNanos));
    names.forEach(name -> usedNanos.put(name, nowNanos));
    retiredNanos.keySet().removeAll(names);
    inUse = Set.copyOf(names);
  }

  /** Lets no adapter make way until {@code nanos}, while it is not known which are in use. */
  public void suspendEvictionUntil(long nanos) {
    evictionSuspendedUntilNanos = nanos;
    evictionSuspended = true;
  }

  /** Returns for how many more loads than are asked for there are places. */
  public int loadable(long nowNanos) {
    long open = demands.keySet().stream().filter(this::mayLoad).count();
    int room = slots - usedSlots() + retiredNanos.size() + evictable(nowNanos).size();
    return (int) Math.max(0, room - open);
  }

  /** Returns true while as many loads are under way as may be. */
  public boolean congested() {
    return loading.size() >= (int) window;
  }

  /** Returns true while a load of the adapter is under way. */
  public boolean isLoading(Name name) {
    return loading.containsKey(name);
  }

  /** Asks for an adapter; returns true when it is resident already. */
  public boolean request(Name name, long leastVersion, long nowNanos) {
    usedNanos.put(name, nowNanos);
    retiredNanos.remove(name);
    if (serves(name, leastVersion)) {
      demands.remove(name);
      return true;
    }
    demands.merge(
        name,
        new Demand(leastVersion, nowNanos, 1),
        (before, after) ->
            new Demand(
                Math.max(before.leastVersion(), after.leastVersion()),
                after.sinceNanos(),
                before.requests() + 1));
    return false;
  }

  /** Takes back a wish of which no request is left; a load that was ordered goes on. */
  public void withdraw(Name name) {
    demands.remove(name);
  }

  /** Returns true when an adapter is resident in at least the given version and not retired. */
  public boolean serves(Name name, long leastVersion) {
    Long version = resident.get(name);
    return version != null && version >= leastVersion && !retiredNanos.containsKey(name);
  }

  /** Returns what gateways may send requests for, with versions. */
  public Map<Name, Long> offered() {
    Map<Name, Long> offered = new HashMap<>(resident);
    offered.keySet().removeAll(retiredNanos.keySet());
    return offered;
  }

  /** Returns true when wishes are open or loads are under way. */
  public boolean busy() {
    return !demands.isEmpty() || !loading.isEmpty() || !retiredNanos.isEmpty();
  }

  /**
   * Records that an order was accepted: it counts until a report shows its effect. Earlier orders
   * without an answer are settled by it, since they expect a sequence that has passed.
   */
  public void accepted(Command order, long nowNanos) {
    unacknowledgedUntil.clear();
    if (order.action() == Action.LOAD) {
      loading.put(order.name(), announced.getOrDefault(order.name(), 0L));
      commandedNanos.put(order.name(), nowNanos);
    } else {
      resident.remove(order.name());
      retiredNanos.remove(order.name());
    }
  }

  /** Records that an order got no answer: it may still be carried out. */
  public void unacknowledged(Command order, long nowNanos) {
    if (order.action() == Action.LOAD) {
      unacknowledgedUntil.put(order.name(), nowNanos + LATE_COMMAND_TIME.toNanos());
    }
  }

  /** Returns the next order, or empty when nothing is to be done now. */
  public Optional<Command> next(long nowNanos) {
    demands.keySet().removeIf(name -> serves(name, demands.get(name).leastVersion()));
    Optional<Command> unload = dueUnload(nowNanos);
    if (unload.isPresent()) {
      return unload;
    }
    Optional<Name> wanted = mostDemanded();
    retireOutdated(nowNanos);
    if (wanted.isEmpty() || congested()) {
      return Optional.empty();
    }
    Name name = wanted.get();
    if (resident.containsKey(name) || usedSlots() < slots) {
      return Optional.of(new Command(Action.LOAD, name));
    }
    long missing = demands.keySet().stream().filter(this::mayLoad).count();
    retire(missing - retiredNanos.size(), nowNanos);
    return Optional.empty();
  }

  private int usedSlots() {
    Set<Name> all = new HashSet<>(resident.keySet());
    all.addAll(loading.keySet());
    all.addAll(unacknowledgedUntil.keySet());
    return all.size();
  }

  private Optional<Command> dueUnload(long nowNanos) {
    return retiredNanos.entrySet().stream()
        .filter(retired -> nowNanos - retired.getValue() >= RETIRE_NOTICE.toNanos())
        .filter(retired -> !inUse.contains(retired.getKey()))
        .map(retired -> new Command(Action.UNLOAD, retired.getKey()))
        .findFirst();
  }

  private void retireOutdated(long nowNanos) {
    resident.forEach(
        (name, version) -> {
          boolean outdated = announced.getOrDefault(name, 0L) > version;
          boolean unused = nowNanos - lastUse(name) >= OUTDATED_IDLE.toNanos();
          if (outdated && unused && !demands.containsKey(name) && !inUse.contains(name)) {
            retiredNanos.putIfAbsent(name, nowNanos);
          }
        });
  }

  private void retire(long count, long nowNanos) {
    evictable(nowNanos).stream()
        .sorted(Comparator.comparingLong(this::lastUse).thenComparing(Name::adapter))
        .limit(Math.max(0, count))
        .forEach(name -> retiredNanos.put(name, nowNanos));
  }

  /** Returns the adapters that may make way now. */
  private List<Name> evictable(long nowNanos) {
    if (evictionSuspended && nowNanos - evictionSuspendedUntilNanos < 0) {
      return List.of();
    }
    return resident.keySet().stream()
        .filter(name -> !inUse.contains(name) && !retiredNanos.containsKey(name))
        .filter(name -> !demands.containsKey(name))
        .filter(name -> nowNanos - lastUse(name) >= MIN_IDLE_TIME.toNanos())
        .toList();
  }

  /** Returns what most requests wait for; the first of several. */
  private Optional<Name> mostDemanded() {
    Name most = null;
    int requests = 0;
    for (Map.Entry<Name, Demand> wish : demands.entrySet()) {
      if (wish.getValue().requests() > requests && mayLoad(wish.getKey())) {
        most = wish.getKey();
        requests = wish.getValue().requests();
      }
    }
    return Optional.ofNullable(most);
  }

  private void updateWindow(long nowNanos) {
    for (Name name : List.copyOf(commandedNanos.keySet())) {
      if (loading.containsKey(name)) {
        continue;
      }
      long ordered = commandedNanos.remove(name);
      if (!resident.containsKey(name)) {
        continue;
      }
      // Loads that began before the last decrease say nothing about its effect.
      boolean slow = nowNanos - ordered > SLOW_LOAD.toNanos();
      if (!slow) {
        window = Math.min(MAX_LOADING, window + WINDOW_INCREASE);
      } else if (!windowLowered || ordered - windowLoweredNanos >= 0) {
        window = Math.max(1, window * WINDOW_DECREASE);
        windowLoweredNanos = nowNanos;
        windowLowered = true;
      }
    }
  }

  /** Returns true when a load for a wish may be ordered, as soon as there is a place. */
  private boolean mayLoad(Name name) {
    return !loading.containsKey(name) && !(resident.containsKey(name) && inUse.contains(name));
  }

  private long lastUse(Name name) {
    return usedNanos.getOrDefault(name, 0L);
  }
}
