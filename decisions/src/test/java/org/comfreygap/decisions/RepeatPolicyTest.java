package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a request that must not be repeated and runs twice. */
class RepeatPolicyTest {

  private static final long SECOND = 1_000_000_000L;

  @ParameterizedTest
  @CsvSource({
    // outcome, idempotent, refusals, runs, maxRuns, begun, continuable, allowed
    "NOT_RUN, false, 1, 0, 1, false, false, true",
    "NOT_RUN, false, 5, 0, 1, false, false, false",
    "UNKNOWN, false, 0, 1, 3, false, false, false",
    "RAN, false, 0, 1, 3, false, false, false",
    "UNKNOWN, true, 0, 1, 2, false, false, true",
    "UNKNOWN, true, 0, 2, 2, false, false, false",
    "UNKNOWN, true, 0, 1, 2, true, false, false",
    "UNKNOWN, true, 0, 1, 2, true, true, true",
    "RAN, true, 0, 1, 2, false, false, true"
  })
  void decidesByHistory(
      Outcome outcome,
      boolean idempotent,
      int refusals,
      int runs,
      int maxRuns,
      boolean begun,
      boolean continuable,
      boolean allowed) {
    RepeatPolicy.History history =
        new RepeatPolicy.History(outcome, idempotent, refusals, runs, maxRuns, begun, continuable);

    assertThat(RepeatPolicy.allows(history, SECOND, 0)).isEqualTo(allowed);
    assertThat(RepeatPolicy.allows(history, SECOND, SECOND)).isFalse();
  }
}
