package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.comfreygap.decisions.AdapterSlots.Action;
import org.comfreygap.decisions.AdapterSlots.Command;
import org.comfreygap.decisions.AdapterSlots.Name;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against commands that load more adapters than the engine has slots for, which crashes it.
 */
class AdapterSlotsTest {

  private static final long MILLI = 1_000_000L;

  @Test
  void loadsRequestedAdaptersWhileSlotsAreFree() {
    AdapterSlots slots = new AdapterSlots(2);

    assertThat(slots.request(name(1), 0, 0)).isFalse();

    assertThat(slots.next(0)).contains(new Command(Action.LOAD, name(1)));
  }

  @Test
  void retiresLeastRecentlyUsedAdapterBeforeUnloadingIt() {
    AdapterSlots slots = full(2);
    slots.inUse(Set.of(name(1)), 900 * MILLI);
    slots.request(name(9), 0, 1_000 * MILLI);

    assertThat(slots.next(1_000 * MILLI)).isEmpty();
    assertThat(slots.offered()).containsOnlyKeys(name(1));
    assertThat(slots.next(1_031 * MILLI)).contains(new Command(Action.UNLOAD, name(2)));
  }

  @Test
  void keepsRecentlyUsedAdapters() {
    AdapterSlots slots = full(2);
    slots.inUse(Set.of(name(1), name(2)), 0);
    slots.inUse(Set.of(), 950 * MILLI);
    slots.request(name(9), 0, 1_000 * MILLI);

    assertThat(slots.next(1_000 * MILLI)).isEmpty();
    assertThat(slots.offered()).hasSize(2);
  }

  /** Load pattern: a new version of a popular adapter. Guards against blocking its engine. */
  @Test
  void keepsOutdatedVersionWhileItIsUsedAndUnloadsItLater() {
    AdapterSlots slots = full(2);
    slots.announced(Map.of(name(2), 5L));
    slots.inUse(Set.of(name(2)), 500 * MILLI);
    slots.inUse(Set.of(), 1_000 * MILLI);

    assertThat(slots.next(2_000 * MILLI)).isEmpty();
    assertThat(slots.offered()).containsEntry(name(2), 1L);
    assertThat(slots.serves(name(2), 5)).isFalse();
    assertThat(slots.next(9_500 * MILLI)).isEmpty();
    assertThat(slots.offered()).doesNotContainKey(name(2));
    assertThat(slots.next(9_600 * MILLI)).contains(new Command(Action.UNLOAD, name(2)));
  }

  @Test
  void replacesOutdatedVersionThatIsRequested() {
    AdapterSlots slots = full(2);
    slots.announced(Map.of(name(2), 5L));

    slots.request(name(2), 5, 0);

    assertThat(slots.next(0)).contains(new Command(Action.LOAD, name(2)));
  }

  /**
   * Load pattern: more adapters than slots, with streams of seconds. Guards against unloading an
   * adapter in use: the engine accepted no other command for 3.8 s, and every request for another
   * adapter timed out.
   */
  @Test
  void neverUnloadsAdaptersInUse() {
    AdapterSlots slots = full(2);
    slots.inUse(Set.of(name(1), name(2)), 0);
    slots.request(name(9), 0, 2_000 * MILLI);

    assertThat(slots.next(2_000 * MILLI)).isEmpty();
    assertThat(slots.next(2_500 * MILLI)).isEmpty();
    assertThat(slots.offered()).hasSize(2);

    slots.inUse(Set.of(name(2)), 2_600 * MILLI);
    assertThat(slots.next(2_700 * MILLI)).isEmpty();
    assertThat(slots.next(2_740 * MILLI)).contains(new Command(Action.UNLOAD, name(1)));
  }

  /**
   * Guards against unloading an adapter for which a request was sent just before it was retired.
   */
  @Test
  void keepsRetiredAdapterThatComesIntoUse() {
    AdapterSlots slots = full(1);
    slots.request(name(9), 0, 1_000 * MILLI);
    slots.next(1_000 * MILLI);
    assertThat(slots.offered()).isEmpty();

    slots.inUse(Set.of(name(1)), 1_010 * MILLI);

    assertThat(slots.next(1_040 * MILLI)).isEmpty();
    assertThat(slots.offered()).containsOnlyKeys(name(1));
  }

  /** Load pattern: a new version of an adapter whose streams continue. */
  @Test
  void replacesOutdatedVersionOnlyOnceItsRequestsHaveEnded() {
    AdapterSlots slots = full(2);
    slots.announced(Map.of(name(2), 5L));
    slots.inUse(Set.of(name(2)), 0);
    slots.request(name(2), 5, 10 * MILLI);

    assertThat(slots.next(10 * MILLI)).isEmpty();
    slots.inUse(Set.of(), 20 * MILLI);
    assertThat(slots.next(20 * MILLI)).contains(new Command(Action.LOAD, name(2)));
  }

  /** Guards against load requests to endpoints whose slots are all in use. */
  @Test
  void reportsHowManyLoadsCouldStart() {
    AdapterSlots slots = full(3);
    assertThat(slots.loadable(500 * MILLI)).isEqualTo(3);

    slots.inUse(Set.of(name(1), name(2)), 600 * MILLI);
    assertThat(slots.loadable(800 * MILLI)).isEqualTo(1);

    slots.request(name(9), 0, 800 * MILLI);
    assertThat(slots.loadable(800 * MILLI)).isZero();
  }

  /**
   * Load pattern: all engines start empty. Guards against more concurrent loads than the store
   * serves at full speed, which made all of them slow: 1,053 loads for 341 adapters, and a third of
   * the requests refused.
   */
  @Test
  void reducesConcurrentLoadsWhileStoreIsSlow() {
    AdapterSlots slots = new AdapterSlots(60);
    long now = 0;
    for (int i = 0; i < 12; i++) {
      now = load(slots, i * 10, now, 800 * MILLI);
    }
    assertThat(concurrentLoads(slots, 500, now)).isEqualTo(1);

    for (int i = 0; i < 20; i++) {
      now = load(slots, 1_000 + i * 10, now, 250 * MILLI);
    }
    assertThat(concurrentLoads(slots, 2_000, now)).isEqualTo(AdapterSlots.MAX_LOADING);
  }

  @Test
  void loadsMostDemandedAdapterFirst() {
    AdapterSlots slots = new AdapterSlots(5);
    slots.request(name(1), 0, 0);
    slots.request(name(2), 0, 0);
    slots.request(name(2), 0, 0);

    assertThat(slots.next(0)).contains(new Command(Action.LOAD, name(2)));
    slots.withdraw(name(2));
    assertThat(slots.next(0)).contains(new Command(Action.LOAD, name(1)));
  }

  /**
   * Guards against unloads right after a restart, before gateways have reported which adapters they
   * use.
   */
  @Test
  void evictsNothingWhileUseIsUnknown() {
    AdapterSlots slots = full(1);
    slots.suspendEvictionUntil(1_500 * MILLI);
    slots.request(name(9), 0, 1_000 * MILLI);

    assertThat(slots.next(1_000 * MILLI)).isEmpty();
    assertThat(slots.offered()).hasSize(1);
    slots.next(1_500 * MILLI);
    assertThat(slots.offered()).isEmpty();
  }

  @Test
  void countsUnacknowledgedCommandAsUsedSlot() {
    AdapterSlots slots = new AdapterSlots(1);
    slots.request(name(1), 0, 0);
    slots.unacknowledged(slots.next(0).orElseThrow(), 0);
    slots.request(name(2), 0, 0);

    assertThat(slots.next(0).filter(o -> o.name().equals(name(2)))).isEmpty();
  }

  /**
   * Load pattern: half of the commands get no response. Guards against a slot lost to each of them.
   */
  @Test
  void nextAcceptedCommandSettlesUnacknowledgedOnes() {
    AdapterSlots slots = new AdapterSlots(2);
    slots.request(name(1), 0, 0);
    slots.unacknowledged(slots.next(0).orElseThrow(), 0);

    slots.request(name(1), 0, MILLI);
    slots.accepted(slots.next(MILLI).orElseThrow(), MILLI);
    slots.request(name(2), 0, MILLI);

    assertThat(slots.next(MILLI)).contains(new Command(Action.LOAD, name(2)));
  }

  /** Load pattern: rare adapters are requested together, and the engine executes commands late. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void neverCommandsMoreLoadsThanSlots(long seed) {
    Random random = new Random(seed);
    AdapterSlots slots = new AdapterSlots(5);
    Map<Name, Long> resident = new HashMap<>();
    Map<Name, Long> loading = new HashMap<>();
    Deque<LateCommand> late = new ArrayDeque<>();
    long sequence = 0;
    for (int step = 0; step < 4_000; step++) {
      long now = step * 10 * MILLI;
      long reported = sequence;
      if (random.nextInt(3) == 0) {
        slots.request(name(random.nextInt(40)), 0, now);
      }
      if (random.nextInt(2) == 0 && !loading.isEmpty()) {
        Name done = loading.keySet().iterator().next();
        resident.put(done, loading.remove(done));
      }
      slots.observed(resident, loading, now);
      Optional<Command> command = slots.next(now);
      if (command.isPresent() && random.nextInt(10) == 0) {
        slots.unacknowledged(command.get(), now);
        late.add(new LateCommand(command.get(), reported));
      } else if (command.isPresent()) {
        slots.accepted(command.get(), now);
        execute(command.get(), resident, loading);
        sequence++;
      }
      // The engine checks the sequence when it executes a late command.
      if (!late.isEmpty() && random.nextInt(50) == 0) {
        LateCommand next = late.poll();
        if (next.expectedSequence() == sequence) {
          execute(next.command(), resident, loading);
          sequence++;
        }
      }
      assertThat(resident.size() + loading.size()).isLessThanOrEqualTo(5);
    }
  }

  /**
   * Completes the largest allowed number of concurrent loads, which take the given time; returns
   * the time after them.
   */
  private static long load(AdapterSlots slots, int first, long now, long duration) {
    Map<Name, Long> loading = startLoads(slots, first, now);
    slots.observed(loading, Map.of(), now + duration);
    slots.observed(Map.of(), Map.of(), now + duration);
    return now + duration;
  }

  private static int concurrentLoads(AdapterSlots slots, int first, long now) {
    return startLoads(slots, first, now).size();
  }

  private static Map<Name, Long> startLoads(AdapterSlots slots, int first, long now) {
    for (int i = 0; i < AdapterSlots.MAX_LOADING + 1; i++) {
      slots.request(name(first + i), 0, now);
    }
    Map<Name, Long> loading = new HashMap<>();
    Optional<Command> command = slots.next(now);
    while (command.isPresent()) {
      slots.accepted(command.get(), now);
      loading.put(command.get().name(), 1L);
      command = slots.next(now);
    }
    for (int i = 0; i < AdapterSlots.MAX_LOADING + 1; i++) {
      slots.withdraw(name(first + i));
    }
    return loading;
  }

  private record LateCommand(Command command, long expectedSequence) {}

  private static void execute(Command command, Map<Name, Long> resident, Map<Name, Long> loading) {
    if (command.action() == Action.UNLOAD) {
      resident.remove(command.name());
    } else if (!resident.containsKey(command.name())) {
      loading.put(command.name(), 1L);
    }
  }

  private static AdapterSlots full(int count) {
    AdapterSlots slots = new AdapterSlots(count);
    Map<Name, Long> resident = new HashMap<>();
    for (int i = 1; i <= count; i++) {
      resident.put(name(i), 1L);
    }
    slots.observed(resident, Map.of(), 0);
    return slots;
  }

  private static Name name(int number) {
    return new Name("base", "a" + number);
  }
}
