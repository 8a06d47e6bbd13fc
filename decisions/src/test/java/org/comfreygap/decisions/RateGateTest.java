package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against more requests than a cold endpoint can handle. */
class RateGateTest {

  private static final long MILLI = 1_000_000L;

  /** Load pattern: every gateway repeatedly sends requests to a cold endpoint. */
  @Test
  void passesNoMoreThanBurstAndRateUnderFlood() {
    RateGate gate = new RateGate(11, 3, 0);
    int passed = 0;
    for (long now = 0; now <= 2_000 * MILLI; now += MILLI) {
      passed += gate.tryPass(now) ? 1 : 0;
    }

    assertThat(passed).isBetween(24, 25);
  }

  @Test
  void reportsWhenNextRequestMayPass() {
    RateGate gate = new RateGate(10, 1, 0);
    gate.tryPass(0);

    long retry = gate.retryAfterMillis(0);

    assertThat(retry).isEqualTo(100);
    assertThat(gate.tryPass(retry * MILLI)).isTrue();
  }
}
