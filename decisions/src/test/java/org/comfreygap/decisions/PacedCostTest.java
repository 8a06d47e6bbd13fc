package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import org.comfreygap.decisions.PacedCost.Preferences;
import org.comfreygap.decisions.PacedCost.Prompt;
import org.comfreygap.decisions.PacedCost.State;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.junit.jupiter.api.Test;

/** Checks the choice among engines that state their pace, under the patterns that it is for. */
class PacedCostTest {

  private static final Prompt PROMPT = new Prompt(76_000, 31_000, 300_000);
  private static final double[] PACES = {0.6, 1, 1.6};

  @Test
  void prefersFastEngineUntilItsPausesHurt() {
    assertThat(cost(state(10, 0.6, 0, Residency.HELD, 0)))
        .isLessThan(cost(state(5, 1.6, 0, Residency.HELD, 0)));
    assertThat(cost(state(10, 0.6, 500_000, Residency.HELD, 0)))
        .isGreaterThan(cost(state(5, 1.6, 0, Residency.HELD, 0)));
  }

  /** Load pattern: an engine is in a spell in which one prompt alone pauses all its streams. */
  @Test
  void loadsAnAdapterRatherThanPauseManyStreams() {
    assertThat(cost(state(15, 4, 0, Residency.HELD, 0)))
        .isGreaterThan(cost(state(10, 0.6, 0, Residency.ABSENT, 1)));
  }

  /** Load pattern: adapters that are asked for now and then. */
  @Test
  void loadsAtTheHomeWhileItHasRoom() {
    assertThat(cost(state(15, 1, 76_000, Residency.ABSENT, 0)))
        .isLessThan(cost(state(2, 0.6, 0, Residency.ABSENT, 1)));
  }

  /** Load pattern: the home of an adapter has been given far more than it can read. */
  @Test
  void loadsElsewhereOnceTheHomeWouldTakeLongerThanTheLoad() {
    State home = state(12, 0.6, 1_000_000, Residency.HELD, 0);
    State next = state(5, 0.6, 0, Residency.ABSENT, 1);

    assertThat(cost(next)).isLessThan(cost(home));
  }

  @Test
  void prefersTheOwnZoneByThePreferenceAlone() {
    State own = state(5, 1, 0, Residency.HELD, 0);
    State other = new State(48, 5, 1, 1, 1, 0, Residency.HELD, 0, false);

    assertThat(cost(other) - cost(own)).isEqualTo(PlacementCost.OTHER_ZONE_MILLIS);
    assertThat(PacedCost.engine(other, PROMPT, new Preferences(0, 50)) - cost(own)).isEqualTo(50);
  }

  /**
   * Load pattern: own speeds 0.6, 1 and 1.6, a seventh 2.5 times slower; 30 gateways with the same
   * status choose at once. No engine is given more than its streams bear, and all are placed.
   */
  @Test
  void manyGatewaysAtOnceDoNotCrowdTheEngineThatLookedFastest() {
    int engines = 36;
    double[] paces = new double[engines];
    ReadingGate[] gates = new ReadingGate[engines];
    for (int i = 0; i < engines; i++) {
      paces[i] = PACES[i % 3] * (i % 7 == 0 ? 2.5 : 1);
      gates[i] = new ReadingGate();
    }
    Random random = new Random(3);
    double[] given = new double[engines];
    int placed = 0;
    for (int gateway = 0; gateway < 30; gateway++) {
      double[] reading = new double[engines];
      boolean granted = false;
      for (int attempt = 0; attempt < 3 && !granted; attempt++) {
        int best = cheapest(paces, reading, random);
        granted =
            gates[best]
                .request(
                    new ReadingGate.Prompt(76_000, 31_000, 300_000, 0, false),
                    paces[best],
                    paces[best],
                    8,
                    0)
                .granted();
        reading[best] = gates[best].readingMicros(300_000_000L, 0) + (granted ? 0 : 76_000);
        given[best] += granted ? 76_000 : 0;
      }
      placed += granted ? 1 : 0;
    }
    for (int i = 0; i < engines; i++) {
      assertThat(given[i] * paces[i]).as(Arrays.toString(given)).isLessThanOrEqualTo(300_000);
    }
    assertThat(placed).isEqualTo(30);
  }

  private static int cheapest(double[] paces, double[] reading, Random random) {
    int best = 0;
    double bestCost = Double.MAX_VALUE;
    for (int i = 0; i < paces.length; i++) {
      State state = state(8, paces[i], reading[i], Residency.HELD, 0);
      double cost = cost(state) * (1 + PlacementPolicy.JITTER * random.nextDouble());
      if (cost < bestCost) {
        best = i;
        bestCost = cost;
      }
    }
    return best;
  }

  private static double cost(State state) {
    return PacedCost.engine(state, PROMPT, Preferences.DEFAULT);
  }

  private static State state(
      int running, double pace, double reading, Residency residency, int home) {
    return new State(48, running, pace, pace, pace, reading, residency, home, true);
  }
}
