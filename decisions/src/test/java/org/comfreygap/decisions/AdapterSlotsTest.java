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

/** Guards against an engine that is ordered to load more than it has places for, and crashes. */
class AdapterSlotsTest {

  private static final long MILLI = 1_000_000L;

  @Test
  void loadsRequestedAdaptersWhileSlotsAreFree() {
    AdapterSlots places = new AdapterSlots(2);

    assertThat(places.request(name(1), 0, 0)).isFalse();

    assertThat(places.next(0)).contains(new Command(Action.LOAD, name(1)));
  }

  @Test
  void retiresLeastRecentlyUsedAdapterBeforeUnloadingIt() {
    AdapterSlots places = full(2);
    places.inUse(Set.of(name(1)), 900 * MILLI);
    places.request(name(9), 0, 1_000 * MILLI);

    assertThat(places.next(1_000 * MILLI)).isEmpty();
    assertThat(places.offered()).containsOnlyKeys(name(1));
    assertThat(places.next(1_031 * MILLI)).contains(new Command(Action.UNLOAD, name(2)));
  }

  @Test
  void keepsRecentlyUsedAdapters() {
    AdapterSlots places = full(2);
    places.inUse(Set.of(name(1), name(2)), 0);
    places.inUse(Set.of(), 950 * MILLI);
    places.request(name(9), 0, 1_000 * MILLI);

    assertThat(places.next(1_000 * MILLI)).isEmpty();
    assertThat(places.offered()).hasSize(2);
  }

  /** Load pattern: a new version of a popular adapter. Guards against blocking its engine. */
  @Test
  void keepsOutdatedVersionWhileItIsUsedAndUnloadsItLater() {
    AdapterSlots places = full(2);
    places.announced(Map.of(name(2), 5L));
    places.inUse(Set.of(name(2)), 500 * MILLI);
    places.inUse(Set.of(), 1_000 * MILLI);

    assertThat(places.next(2_000 * MILLI)).isEmpty();
    assertThat(places.offered()).containsEntry(name(2), 1L);
    assertThat(places.serves(name(2), 5)).isFalse();
    assertThat(places.next(9_500 * MILLI)).isEmpty();
    assertThat(places.offered()).doesNotContainKey(name(2));
    assertThat(places.next(9_600 * MILLI)).contains(new Command(Action.UNLOAD, name(2)));
  }

  @Test
  void replacesOutdatedVersionThatIsRequested() {
    AdapterSlots places = full(2);
    places.announced(Map.of(name(2), 5L));

    places.request(name(2), 5, 0);

    assertThat(places.next(0)).contains(new Command(Action.LOAD, name(2)));
  }

  /**
   * Load pattern: more adapters than places, streams of seconds. Guards against unloading one in
   * use: the engine took no other order for 3.8 s, and every request for another adapter timed out.
   */
  @Test
  void neverUnloadsAdaptersInUse() {
    AdapterSlots places = full(2);
    places.inUse(Set.of(name(1), name(2)), 0);
    places.request(name(9), 0, 2_000 * MILLI);

    assertThat(places.next(2_000 * MILLI)).isEmpty();
    assertThat(places.next(2_500 * MILLI)).isEmpty();
    assertThat(places.offered()).hasSize(2);

    places.inUse(Set.of(name(2)), 2_600 * MILLI);
    assertThat(places.next(2_700 * MILLI)).isEmpty();
    assertThat(places.next(2_740 * MILLI)).contains(new Command(Action.UNLOAD, name(1)));
  }

  /** Guards against unloading an adapter for which a request was sent just before the notice. */
  @Test
  void keepsRetiredAdapterThatComesIntoUse() {
    AdapterSlots places = full(1);
    places.request(name(9), 0, 1_000 * MILLI);
    places.next(1_000 * MILLI);
    assertThat(places.offered()).isEmpty();

    places.inUse(Set.of(name(1)), 1_010 * MILLI);

    assertThat(places.next(1_040 * MILLI)).isEmpty();
    assertThat(places.offered()).containsOnlyKeys(name(1));
  }

  /** Load pattern: a new version of an adapter whose streams go on. */
  @Test
  void replacesOutdatedVersionOnlyOnceItsRequestsHaveEnded() {
    AdapterSlots places = full(2);
    places.announced(Map.of(name(2), 5L));
    places.inUse(Set.of(name(2)), 0);
    places.request(name(2), 5, 10 * MILLI);

    assertThat(places.next(10 * MILLI)).isEmpty();
    places.inUse(Set.of(), 20 * MILLI);
    assertThat(places.next(20 * MILLI)).contains(new Command(Action.LOAD, name(2)));
  }

  /** Guards against gateways that send loads where every place is in use. */
  @Test
  void reportsHowManyLoadsCouldStart() {
    AdapterSlots places = full(3);
    assertThat(places.loadable(500 * MILLI)).isEqualTo(3);

    places.inUse(Set.of(name(1), name(2)), 600 * MILLI);
    assertThat(places.loadable(800 * MILLI)).isEqualTo(1);

    places.request(name(9), 0, 800 * MILLI);
    assertThat(places.loadable(800 * MILLI)).isZero();
  }

  /**
   * Load pattern: all engines start empty. Guards against loads that all become slow, since the
   * store carries fewer at once: 1,053 loads for 341 adapters, and a third of the requests refused.
   */
  @Test
  void reducesConcurrentLoadsWhileStoreIsSlow() {
    AdapterSlots places = new AdapterSlots(60);
    long now = 0;
    for (int i = 0; i < 12; i++) {
      now = load(places, i * 10, now, 800 * MILLI);
    }
    assertThat(atOnce(places, 500, now)).isEqualTo(1);

    for (int i = 0; i < 20; i++) {
      now = load(places, 1_000 + i * 10, now, 250 * MILLI);
    }
    assertThat(atOnce(places, 2_000, now)).isEqualTo(AdapterSlots.MAX_LOADING);
  }

  @Test
  void loadsMostDemandedAdapterFirst() {
    AdapterSlots places = new AdapterSlots(5);
    places.request(name(1), 0, 0);
    places.request(name(2), 0, 0);
    places.request(name(2), 0, 0);

    assertThat(places.next(0)).contains(new Command(Action.LOAD, name(2)));
    places.withdraw(name(2));
    assertThat(places.next(0)).contains(new Command(Action.LOAD, name(1)));
  }

  /** Guards against unloads right after a restart, before gateways have told what they use. */
  @Test
  void evictsNothingWhileUseIsUnknown() {
    AdapterSlots places = full(1);
    places.suspendEvictionUntil(1_500 * MILLI);
    places.request(name(9), 0, 1_000 * MILLI);

    assertThat(places.next(1_000 * MILLI)).isEmpty();
    assertThat(places.offered()).hasSize(1);
    places.next(1_500 * MILLI);
    assertThat(places.offered()).isEmpty();
  }

  @Test
  void countsUnacknowledgedCommandAsUsedSlot() {
    AdapterSlots places = new AdapterSlots(1);
    places.request(name(1), 0, 0);
    places.unacknowledged(places.next(0).orElseThrow(), 0);
    places.request(name(2), 0, 0);

    assertThat(places.next(0).filter(o -> o.name().equals(name(2)))).isEmpty();
  }

  /** Load pattern: half of the orders get no answer. Guards against places lost to each of them. */
  @Test
  void nextAcceptedCommandSettlesUnacknowledgedOnes() {
    AdapterSlots places = new AdapterSlots(2);
    places.request(name(1), 0, 0);
    places.unacknowledged(places.next(0).orElseThrow(), 0);

    places.request(name(1), 0, MILLI);
    places.accepted(places.next(MILLI).orElseThrow(), MILLI);
    places.request(name(2), 0, MILLI);

    assertThat(places.next(MILLI)).contains(new Command(Action.LOAD, name(2)));
  }

  /** Load pattern: rare adapters are asked for at once, and the engine carries orders out late. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void neverCommandsMoreLoadsThanSlots(long seed) {
    Random random = new Random(seed);
    AdapterSlots places = new AdapterSlots(5);
    Map<Name, Long> resident = new HashMap<>();
    Map<Name, Long> coming = new HashMap<>();
    Deque<LateCommand> late = new ArrayDeque<>();
    long sequence = 0;
    for (int step = 0; step < 4_000; step++) {
      long now = step * 10 * MILLI;
      long reported = sequence;
      if (random.nextInt(3) == 0) {
        places.request(name(random.nextInt(40)), 0, now);
      }
      if (random.nextInt(2) == 0 && !coming.isEmpty()) {
        Name done = coming.keySet().iterator().next();
        resident.put(done, coming.remove(done));
      }
      places.observed(resident, coming, now);
      Optional<Command> order = places.next(now);
      if (order.isPresent() && random.nextInt(10) == 0) {
        places.unacknowledged(order.get(), now);
        late.add(new LateCommand(order.get(), reported));
      } else if (order.isPresent()) {
        places.accepted(order.get(), now);
        execute(order.get(), resident, coming);
        sequence++;
      }
      // The engine checks the sequence when it carries a late order out.
      if (!late.isEmpty() && random.nextInt(50) == 0) {
        LateCommand next = late.poll();
        if (next.expectedSequence() == sequence) {
          execute(next.command(), resident, coming);
          sequence++;
        }
      }
      assertThat(resident.size() + coming.size()).isLessThanOrEqualTo(5);
    }
  }

  /** Loads as many as may be at once, which takes the given time; returns the time after it. */
  private static long load(AdapterSlots places, int first, long now, long duration) {
    Map<Name, Long> coming = order(places, first, now);
    places.observed(coming, Map.of(), now + duration);
    places.observed(Map.of(), Map.of(), now + duration);
    return now + duration;
  }

  private static int atOnce(AdapterSlots places, int first, long now) {
    return order(places, first, now).size();
  }

  private static Map<Name, Long> order(AdapterSlots places, int first, long now) {
    for (int i = 0; i < AdapterSlots.MAX_LOADING + 1; i++) {
      places.request(name(first + i), 0, now);
    }
    Map<Name, Long> coming = new HashMap<>();
    Optional<Command> order = places.next(now);
    while (order.isPresent()) {
      places.accepted(order.get(), now);
      coming.put(order.get().name(), 1L);
      order = places.next(now);
    }
    for (int i = 0; i < AdapterSlots.MAX_LOADING + 1; i++) {
      places.withdraw(name(first + i));
    }
    return coming;
  }

  private record LateCommand(Command command, long expectedSequence) {}

  private static void execute(Command order, Map<Name, Long> resident, Map<Name, Long> coming) {
    if (order.action() == Action.UNLOAD) {
      resident.remove(order.name());
    } else if (!resident.containsKey(order.name())) {
      coming.put(order.name(), 1L);
    }
  }

  private static AdapterSlots full(int count) {
    AdapterSlots places = new AdapterSlots(count);
    Map<Name, Long> resident = new HashMap<>();
    for (int i = 1; i <= count; i++) {
      resident.put(name(i), 1L);
    }
    places.observed(resident, Map.of(), 0);
    return places;
  }

  private static Name name(int number) {
    return new Name("base", "a" + number);
  }
}
