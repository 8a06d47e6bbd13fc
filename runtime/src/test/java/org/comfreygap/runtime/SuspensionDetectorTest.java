package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against trusting a lease after the machine was suspended, since the monotonic clock stops
 * during a suspension.
 */
class SuspensionDetectorTest {

  private static final long MILLI = 1_000_000L;

  @Test
  void trustsConfirmationWhileClocksAgree() {
    SuspensionDetector detector = new SuspensionDetector();
    detector.observe(new ClockReading(0, 1_000));

    assertThat(detector.isTrusted(0, new ClockReading(4_000 * MILLI, 5_000))).isTrue();
  }

  @Test
  void distrustsConfirmationFromBeforeSuspension() {
    SuspensionDetector detector = new SuspensionDetector();
    detector.observe(new ClockReading(0, 1_000));

    assertThat(detector.isTrusted(0, new ClockReading(10 * MILLI, 6_010))).isFalse();
    assertThat(detector.isTrusted(0, new ClockReading(20 * MILLI, 6_020))).isFalse();
    assertThat(detector.isTrusted(30 * MILLI, new ClockReading(40 * MILLI, 6_040))).isTrue();
  }

  @Test
  void requiresOneNewConfirmationAfterTheWallClockWasSetBack() {
    SuspensionDetector detector = new SuspensionDetector();
    detector.observe(new ClockReading(0, 10_000));

    assertThat(detector.isTrusted(0, new ClockReading(10 * MILLI, 8_010))).isFalse();
    assertThat(detector.isTrusted(15 * MILLI, new ClockReading(20 * MILLI, 8_020))).isTrue();
  }
}
