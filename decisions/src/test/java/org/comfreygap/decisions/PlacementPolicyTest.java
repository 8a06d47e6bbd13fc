package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.comfreygap.decisions.PlacementCost.Load;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.comfreygap.decisions.PlacementPolicy.Candidate;
import org.junit.jupiter.api.Test;

/** Checks the choice between endpoints under the load patterns that it is designed for. */
class PlacementPolicyTest {

  private static final double PROMPT_MILLIS = 45;

  /** Load pattern: one engine is several times slower than the others, but responds. */
  @Test
  void avoidsAnEngineWhoseStreamsAreSlow() {
    assertThat(cost(engine(5, 0, 6, Residency.HELD, 0, true), true))
        .isGreaterThan(cost(engine(20, 2, 1, Residency.ABSENT, 0, true), true));
  }

  /** Load pattern: batches of different sizes, which make streams a little slower. */
  @Test
  void toleratesSlowdownOfLargerBatch() {
    assertThat(cost(engine(20, 0, 1.4, Residency.HELD, 0, true), true))
        .isLessThan(cost(engine(10, 1, 1, Residency.HELD, 0, true), true));
  }

  /** Load pattern: more adapters in use than slots. */
  @Test
  void loadsElsewhereWhenNoSlotIsFree() {
    assertThat(cost(engine(10, 0, 1, Residency.ABSENT, 0, true), false))
        .isGreaterThan(cost(engine(10, 0, 1, Residency.ABSENT, 1, true), true));
  }

  @Test
  void prefersTheOwnZoneWhileLoadsAreEqual() {
    assertThat(cost(engine(10, 0, 1, Residency.HELD, 0, true), true))
        .isLessThan(cost(engine(10, 0, 1, Residency.HELD, 0, false), true));
    assertThat(cost(engine(10, 2, 1, Residency.HELD, 0, true), true))
        .isGreaterThan(cost(engine(10, 0, 1, Residency.HELD, 0, false), true));
  }

  private static double cost(Load load, boolean canLoad) {
    return PlacementPolicy.ENGINE.cost(new Candidate(load, canLoad, false, 0, 0), PROMPT_MILLIS);
  }

  private static Load engine(
      int running,
      int waiting,
      double slowdown,
      Residency residency,
      int homePosition,
      boolean sameZone) {
    return new Load(64, running, waiting, slowdown, residency, homePosition, sameZone);
  }
}
