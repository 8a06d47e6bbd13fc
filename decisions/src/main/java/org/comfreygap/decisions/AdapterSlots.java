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
 * Decides which adapters one endpoint loads and which it unloads.
 *
 * <p>An adapter to unload is first retired: it is no longer reported as resident, so that gateways
 * send no more requests for it, and it is unloaded after {@link #RETIRE_NOTICE}. The least recently
 * used adapter is retired first. An adapter used by open requests is neither unloaded nor replaced:
 * the engine would wait seconds for these requests and accept no other command meanwhile.
 *
 * <pre>{@code
 * slots.request(name, 0, now);
 * Optional<Command> command = slots.next(now);
 * }</pre>
 *
 * <p>The store is shared by all endpoints, and beyond a certain number of concurrent loads each
 * takes longer. The number of concurrent loads is therefore halved after a slow load and raised
 * gradually otherwise, so that the adapter that most requests wait for is loaded first and in time.
 *
 * <p>Invariant: resident and loading adapters together never exceed the slots, and loading ones
 * never exceed {@link #MAX_LOADING}, counting every command that may still be executed. Thread
 * safety: not thread-safe.
 *
 * @since 0.2
 */
public final class AdapterSlots {

  /** Most adapters that one endpoint loads at once, a limit of the engines. */
  public static final int MAX_LOADING = 4;

  /**
   * A load that takes longer than this shares the store with more loads than the store can serve:
   * at full speed a load takes 250 ms by the capacity sheets.
   */
  public static final Duration SLOW_LOAD = Duration.ofMillis(400);

  /**
   * Factor for the number of concurrent loads after a slow load, as usual in congestion control.
   */
  static final double WINDOW_DECREASE = 0.5;

  /**
   * Added to the number of concurrent loads after each load that was not slow; four of them allow
   * one more.
   */
  static final double WINDOW_INCREASE = 0.25;

  /**
   * A request that gets no slot within this time is abandoned: the adapter can still be loaded
   * elsewhere in time. While the store is slow it keeps waiting, since elsewhere it would add a
   * load.
   */
  public static final Duration MAX_SLOT_WAIT = Duration.ofMillis(400);

  /** Time between the last report to gateways and an unload, above a network round trip. */
  public static final Duration RETIRE_NOTICE = Duration.ofMillis(30);

  /**
   * An adapter used within this time is not retired: after its load, the request that waits for it
   * is sent and its gateway reports the use within a few network round trips.
   */
  public static final Duration MIN_IDLE_TIME = Duration.ofMillis(100);

  /** A demand is dropped after this time; the gateway has abandoned it or requests it again. */
  public static final Duration DEMAND_LIFETIME = Duration.ofSeconds(3);

  /**
   * An outdated version is unloaded after being unused for this long: it may serve until the newest
   * version is required, which is loaded sooner if a request needs it.
   */
  public static final Duration OUTDATED_IDLE = Duration.ofSeconds(8);

  /** Time for which an unacknowledged command may still be executed. */
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

  /** Creates the state of an endpoint that has not been observed yet. */
  public AdapterSlots(int slots) {
    this.slots = slots;
  }

  /** An adapter of a base model. */
  public record Name(String model, String adapter) {}

  /** Kind of a command. */
  public enum Action {
    LOAD,
    UNLOAD
  }

  /** A command to the endpoint. */
  public record Command(Action action, Name name) {}

  private record Demand(long leastVersion, long sinceNanos, int requests) {}

  /** Sets the number of slots. */
  public void slots(int count) {
    slots = count;
  }

  /**
   * Sets the newest announced version of each adapter; unused resident adapters with an older
   * version are unloaded.
   */
  public void announced(Map<Name, Long> versions) {
    announced.clear();
    announced.putAll(versions);
  }

  /** Replaces the resident and loading adapters by those of the endpoint's newest report. */
  public void observed(
      Map<Name, Long> residentVersions, Map<Name, Long> loadingVersions, long nowNanos) {
    for (Name name : residentVersions.keySet()) {
      if (!resident.containsKey(name)) {
        usedNanos.putIfAbsent(name, nowNanos);
      }
    }
    resident.clear();
    resident.putAll(residentVersions);
    loading.clear();
    loading.putAll(loadingVersions);
    updateWindow(nowNanos);
    unacknowledgedUntil
        .entrySet()
        .removeIf(
            entry -> resident.containsKey(entry.getKey()) || entry.getValue() - nowNanos <= 0);
    retiredNanos.keySet().retainAll(resident.keySet());
    usedNanos.keySet().removeIf(name -> !resident.containsKey(name) && !demands.containsKey(name));
    demands
        .entrySet()
        .removeIf(demand -> nowNanos - demand.getValue().sinceNanos() > DEMAND_LIFETIME.toNanos());
  }

  /** Clears the state of the endpoint, which has restarted. */
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
    // An adapter that is no longer in use was last used now.
    inUse.forEach(name -> usedNanos.put(name, nowNanos));
    names.forEach(name -> usedNanos.put(name, nowNanos));
    retiredNanos.keySet().removeAll(names);
    inUse = Set.copyOf(names);
  }

  /** Retires no adapter until {@code nanos}, while it is unknown which are in use. */
  public void suspendEvictionUntil(long nanos) {
    evictionSuspendedUntilNanos = nanos;
    evictionSuspended = true;
  }

  /** Returns how many loads beyond those already requested have a slot. */
  public int loadable(long nowNanos) {
    long open = demands.keySet().stream().filter(this::mayLoad).count();
    int room = slots - usedSlots() + retiredNanos.size() + evictable(nowNanos).size();
    return (int) Math.max(0, room - open);
  }

  /** Returns true while no further concurrent load is allowed. */
  public boolean congested() {
    return loading.size() >= (int) window;
  }

  /** Returns true while the adapter is loading. */
  public boolean isLoading(Name name) {
    return loading.containsKey(name);
  }

  /** Requests an adapter; returns true when it is already resident. */
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

  /** Withdraws a demand without remaining requests; a load already commanded continues. */
  public void withdraw(Name name) {
    demands.remove(name);
  }

  /** Returns true when an adapter is resident in at least the given version and not retired. */
  public boolean serves(Name name, long leastVersion) {
    Long version = resident.get(name);
    return version != null && version >= leastVersion && !retiredNanos.containsKey(name);
  }

  /** Returns the adapters that gateways may send requests for, with their versions. */
  public Map<Name, Long> offered() {
    Map<Name, Long> offered = new HashMap<>(resident);
    offered.keySet().removeAll(retiredNanos.keySet());
    return offered;
  }

  /** Returns true when demands are open, or adapters are loading or retired. */
  public boolean busy() {
    return !demands.isEmpty() || !loading.isEmpty() || !retiredNanos.isEmpty();
  }

  /**
   * Records that a command was accepted: it counts until a report shows its effect. Earlier
   * unacknowledged commands can no longer be executed, since they expect a sequence that has
   * passed.
   */
  public void accepted(Command command, long nowNanos) {
    unacknowledgedUntil.clear();
    if (command.action() == Action.LOAD) {
      loading.put(command.name(), announced.getOrDefault(command.name(), 0L));
      commandedNanos.put(command.name(), nowNanos);
    } else {
      resident.remove(command.name());
      retiredNanos.remove(command.name());
    }
  }

  /** Records that a command got no response: it may still be executed. */
  public void unacknowledged(Command command, long nowNanos) {
    if (command.action() == Action.LOAD) {
      unacknowledgedUntil.put(command.name(), nowNanos + LATE_COMMAND_TIME.toNanos());
    }
  }

  /** Returns the next command, or empty when none is due. */
  public Optional<Command> next(long nowNanos) {
    demands.keySet().removeIf(name -> serves(name, demands.get(name).leastVersion()));
    Optional<Command> unload = dueUnload(nowNanos);
    if (unload.isPresent()) {
      return unload;
    }
    Optional<Name> mostDemanded = mostDemanded();
    retireOutdated(nowNanos);
    if (mostDemanded.isEmpty() || congested()) {
      return Optional.empty();
    }
    Name name = mostDemanded.get();
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

  /** Returns the adapters that may be retired now. */
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

  /** Returns the adapter that most requests wait for; the first of several. */
  private Optional<Name> mostDemanded() {
    Name mostDemanded = null;
    int requests = 0;
    for (Map.Entry<Name, Demand> demand : demands.entrySet()) {
      if (demand.getValue().requests() > requests && mayLoad(demand.getKey())) {
        mostDemanded = demand.getKey();
        requests = demand.getValue().requests();
      }
    }
    return Optional.ofNullable(mostDemanded);
  }

  private void updateWindow(long nowNanos) {
    for (Name name : List.copyOf(commandedNanos.keySet())) {
      if (loading.containsKey(name)) {
        continue;
      }
      long commanded = commandedNanos.remove(name);
      if (!resident.containsKey(name)) {
        continue;
      }
      // Loads that began before the last decrease do not reflect it.
      boolean slow = nowNanos - commanded > SLOW_LOAD.toNanos();
      if (!slow) {
        window = Math.min(MAX_LOADING, window + WINDOW_INCREASE);
      } else if (!windowLowered || commanded - windowLoweredNanos >= 0) {
        window = Math.max(1, window * WINDOW_DECREASE);
        windowLoweredNanos = nowNanos;
        windowLowered = true;
      }
    }
  }

  /** Returns true when the adapter may be loaded as soon as a slot is free. */
  private boolean mayLoad(Name name) {
    return !loading.containsKey(name) && !(resident.containsKey(name) && inUse.contains(name));
  }

  private long lastUse(Name name) {
    return usedNanos.getOrDefault(name, 0L);
  }
}
