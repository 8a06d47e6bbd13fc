package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: an engine that restarted after a crash is empty and cold, and attracts requests.
 * Guards against more of them than a cold engine can handle.
 */
class ColdGateTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  @Test
  void boundsTheRequestsOfEachSecondWhileTheEndpointIsCold() {
    ColdGate gate = new ColdGate();
    gate.coldReported(3_000, 0);
    int passed = 0;
    for (int i = 0; i < 200; i++) {
      passed += gate.tryPass(11, i * SECOND / 200) ? 1 : 0;
    }

    assertThat(passed).isBetween(11, 14);
  }

  /** Guards against a report without a cold time, which hid the cold time in the list. */
  @Test
  void usesLongestReportedColdTime() {
    ColdGate gate = new ColdGate();
    gate.coldReported(2_000, 0);
    gate.coldReported(0, SECOND);
    gate.coldReported(500, SECOND);

    assertThat(gate.remainingMillis(SECOND)).isBetween(1_000L, 1_001L);
    assertThat(gate.remainingMillis(3 * SECOND)).isZero();
  }

  @Test
  void passesEverythingOnceEndpointIsWarmOrRestarted() {
    ColdGate gate = new ColdGate();
    gate.coldReported(1_000, 0);
    for (int i = 0; i < 10; i++) {
      gate.tryPass(1, 0);
    }
    assertThat(gate.tryPass(1, 0)).isFalse();
    assertThat(gate.tryPass(1, 2 * SECOND)).isTrue();

    gate.coldReported(1_000, 3 * SECOND);
    gate.restarted();
    assertThat(gate.tryPass(1, 3 * SECOND)).isTrue();
  }
}
