package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.comfreygap.decisions.ScalePolicy.Bounds;
import org.comfreygap.decisions.ScalePolicy.Decision;
import org.comfreygap.decisions.ScalePolicy.Knowledge;
import org.comfreygap.decisions.ScalePolicy.Order;
import org.comfreygap.decisions.ScalePolicy.Reason;
import org.comfreygap.decisions.ScalePolicy.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Load patterns: an evening's rise over ten minutes, a wave of half the load with a period of 13 s,
 * a burst, a short dip and a long fall, on endpoints of 50 slots of which 20 are to be used. Guards
 * against numbers that flap, lag behind a rise, or follow knowledge that is stale or partial.
 */
class ScalePolicyTest {

  private static final int SLOTS = 50;
  private static final Bounds BOUNDS = new Bounds(2, 30, Duration.ofSeconds(20));
  private static final Knowledge FULL = new Knowledge(true, 10, 10, true);

  private ScalePolicy policy = new ScalePolicy(Settings.DEFAULT);
  private Bounds bounds = BOUNDS;
  private Knowledge knowledge = FULL;
  private Optional<Order> last = Optional.empty();
  private int endpoints = 10;
  private int refused;
  private int second;
  private double highestUse;
  private final List<Decision> changes = new ArrayList<>();
  private final List<Integer> changeSeconds = new ArrayList<>();
  private Set<Reason> reasons = EnumSet.noneOf(Reason.class);

  @Test
  void raisesAheadOfAnEveningRise() {
    run(600, at -> 100 + at * 300 / 600);

    assertThat(highestUse).as("used share of the slots").isLessThan(0.5);
    assertThat(last.orElseThrow().number()).isBetween(20, 25);
    assertThat(changes).allMatch(change -> change.reason() == Reason.DEMAND);
    assertThat(changesInAnyMinute()).isLessThanOrEqualTo(4);
  }

  @ParameterizedTest
  @CsvSource({"120", "200", "333"})
  void doesNotFlapInAWave(int mean) {
    Random noise = new Random(mean);
    IntUnaryOperator wave =
        at ->
            (int)
                (mean
                    * (1 + 0.5 * Math.sin(2 * Math.PI * at / 13.0))
                    * (0.95 + 0.1 * noise.nextDouble()));
    run(180, wave);
    changes.clear();
    highestUse = 0;
    run(1_200, wave);

    assertThat(changes).isEmpty();
    assertThat(highestUse).as("used share of the slots").isLessThan(0.45);
  }

  @Test
  void raisesAtOnceInABurst() {
    run(120, at -> 150);
    changes.clear();
    run(3, at -> 450);

    assertThat(changes.get(0).number()).isGreaterThanOrEqualTo(23);
    assertThat(changes).hasSizeLessThanOrEqualTo(2);
  }

  @Test
  void ignoresAnExcessOfOneReport() {
    run(120, at -> 150);
    run(1, at -> 450);
    run(5, at -> 150);

    assertThat(changes).isEmpty();
  }

  @Test
  void keepsTheNumberInAShortDipAndLowersItStepByStepInALongFall() {
    run(120, at -> 180);
    run(40, at -> 40);
    run(70, at -> 180);
    assertThat(changes).isEmpty();

    run(600, at -> 40);
    assertThat(changes).isNotEmpty().allMatch(change -> change.reason() == Reason.LESS_DEMAND);
    assertThat(changes.get(0).number()).isEqualTo(9);
    assertThat(last.orElseThrow().number()).isEqualTo(3);
    assertThat(changesInAnyMinute()).isLessThanOrEqualTo(3);
  }

  @Test
  void keepsTheNumberOfAZoneThatIsEmptiedAndComesBack() {
    run(120, at -> 180);
    knowledge = new Knowledge(true, 10, 10, false);
    run(300, at -> 0);
    assertThat(reasons).containsOnly(Reason.ZONE_OUT);
    knowledge = FULL;
    run(50, at -> at * 3);
    run(300, at -> 180);

    assertThat(changes).isEmpty();
  }

  @Test
  void ordersNothingWhileMostGatewaysAreSilent() {
    knowledge = new Knowledge(true, 10, 4, true);
    run(300, at -> at < 150 ? 5 : 900);

    assertThat(changes).isEmpty();
    assertThat(reasons).containsOnly(Reason.FEW_REPORTS);
  }

  /**
   * The reports of a part of the gateways show that there is too little, never that it is enough.
   */
  @Test
  void raisesButDoesNotLowerWhileAFewGatewaysAreSilent() {
    knowledge = new Knowledge(true, 10, 8, true);
    run(300, at -> 5);
    assertThat(changes).isEmpty();
    run(3, at -> 300);
    assertThat(changes).isNotEmpty().allMatch(change -> change.reason() == Reason.DEMAND);
  }

  @Test
  void keepsTheOrderOfAnEarlierLeader() {
    run(120, at -> 300);
    int ordered = last.orElseThrow().number();
    changes.clear();
    policy = new ScalePolicy(Settings.DEFAULT);
    knowledge = new Knowledge(false, 1, 1, true);
    run(5, at -> 10);
    assertThat(reasons).containsOnly(Reason.SETTLING);
    knowledge = FULL;
    run(300, at -> 300);

    assertThat(changes).isEmpty();
    assertThat(last.orElseThrow().number()).isEqualTo(ordered);
  }

  @Test
  void ordersOnceForRefusedRequestsUntilTheNewEndpointsServe() {
    run(60, at -> 180);
    refused = 10;
    run(15, at -> 180);

    assertThat(changes).containsExactly(new Decision(12, Reason.REFUSED));
    assertThat(reasons).contains(Reason.STARTING);
    run(30, at -> 180);
    assertThat(changes).hasSizeGreaterThan(1);
  }

  @Test
  void doesNotRaiseForRefusalsAtEndpointsThatAreHardlyUsed() {
    refused = 10;
    run(300, at -> 60);

    assertThat(changes).isEmpty();
  }

  @Test
  void staysInsideTheBounds() {
    run(60, at -> 5_000);
    assertThat(last.orElseThrow().number()).isEqualTo(30);
    assertThat(reasons).contains(Reason.AT_MOST);
    run(1_500, at -> 0);
    assertThat(last.orElseThrow().number()).isEqualTo(2);
    assertThat(reasons).contains(Reason.AT_LEAST);
    bounds = new Bounds(4, 8, Duration.ofSeconds(20));
    run(3, at -> 0);
    assertThat(changes.get(changes.size() - 1)).isEqualTo(new Decision(4, Reason.BOUNDS));
  }

  @Test
  void boundsTheChangesOfAMinute() {
    policy = new ScalePolicy(new Settings(0.4, 1, 1));
    run(120, at -> 100 + 6 * at);

    assertThat(changesInAnyMinute()).isEqualTo(1);
    assertThat(reasons).contains(Reason.CHANGES_BOUND);
  }

  @Test
  void neverLowersWhenEndpointsHaveNoPrice() {
    policy = new ScalePolicy(new Settings(0.4, 0, 4));
    run(1_200, at -> 5);

    assertThat(changes).isEmpty();
  }

  /**
   * Without an order the number that the platform keeps is not known; it starts the missing ones.
   */
  @Test
  void takesTheMostEndpointsSeenForTheNumberBeforeTheFirstOrder() {
    run(30, at -> 180);
    endpoints = 4;
    run(100, at -> 60);

    assertThat(changes).extracting(Decision::number).containsExactly(9, 8);
  }

  /**
   * Load pattern: loads, refusals, zones, bounds and reports change at random, and leaders follow
   * each other. Guards against orders outside the bounds, too often, or without knowledge.
   */
  @Property(tries = 300, seed = "20261206")
  void keepsBoundsUnderAnyLoad(@ForAll long seed) {
    Random random = new Random(seed);
    int load = 100;
    for (int step = 0; step < 60; step++) {
      load = random.nextInt(4) == 0 ? random.nextInt(1_000) : load;
      refused = random.nextInt(5) == 0 ? random.nextInt(50) : 0;
      knowledge =
          new Knowledge(random.nextInt(20) > 0, 10, 10 - random.nextInt(8), random.nextInt(10) > 0);
      if (random.nextInt(10) == 0) {
        int min = random.nextInt(10);
        bounds = new Bounds(min, min + 1 + random.nextInt(20), Duration.ofSeconds(20));
      }
      if (random.nextInt(20) == 0) {
        policy = new ScalePolicy(Settings.DEFAULT);
        changeSeconds.clear();
      }
      int before = changes.size();
      int steady = load;
      run(1 + random.nextInt(20), at -> steady);
      List<Decision> ordered = changes.subList(before, changes.size());
      assertThat(ordered).allMatch(d -> d.number() >= bounds.min() && d.number() <= bounds.max());
      boolean blind = !knowledge.settled() || !knowledge.zoneIn() || knowledge.freshGateways() < 5;
      if (blind) {
        assertThat(ordered).isEmpty();
      }
      if (knowledge.freshGateways() < 9) {
        assertThat(ordered).noneMatch(d -> d.reason() == Reason.LESS_DEMAND);
      }
    }
    assertThat(changesInAnyMinute()).isLessThanOrEqualTo(4);
  }

  /** Runs the policy once a second; ordered endpoints serve after the time to start. */
  private void run(int seconds, IntUnaryOperator inProgress) {
    reasons = EnumSet.noneOf(Reason.class);
    for (int i = 0; i < seconds; i++) {
      second++;
      long now = TimeUnit.SECONDS.toNanos(second);
      if (last.isPresent()
          && (last.get().number() < endpoints
              || now - last.get().nanos() >= bounds.boot().toNanos())) {
        endpoints = last.get().number();
      }
      int work = inProgress.applyAsInt(i);
      highestUse = Math.max(highestUse, work / (double) (endpoints * SLOTS));
      Decision decision =
          policy.decide(
              new PoolLoads.Load(work, 0, refused, endpoints, endpoints * SLOTS),
              knowledge,
              last,
              bounds,
              now);
      reasons.add(decision.reason());
      if (decision.isChange()) {
        last = Optional.of(new Order(decision.number(), now));
        changes.add(decision);
        changeSeconds.add(second);
      }
    }
  }

  private long changesInAnyMinute() {
    return changeSeconds.stream()
        .mapToLong(
            begin -> changeSeconds.stream().filter(at -> at >= begin && at < begin + 60).count())
        .max()
        .orElse(0);
  }
}
