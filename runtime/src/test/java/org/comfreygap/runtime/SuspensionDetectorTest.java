package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a lease that is trusted after the machine was suspended, while the monotonic clock
 * stood still.
 */
class SuspensionDetectorTest {

  private static final long MILLI = 1_000_000L;

  @Test
  void trustsConfirmationWhileClocksAgree() {
    SuspensionDetector watch = new SuspensionDetector();
    watch.observe(new ClockReading(0, 1_000));

    assertThat(watch.isTrusted(0, new ClockReading(4_000 * MILLI, 5_000))).isTrue();
  }

  @Test
  void distrustsConfirmationFromBeforeSuspension() {
    SuspensionDetector watch = new SuspensionDetector();
    watch.observe(new ClockReading(0, 1_000));

    assertThat(watch.isTrusted(0, new ClockReading(10 * MILLI, 6_010))).isFalse();
    assertThat(watch.isTrusted(0, new ClockReading(20 * MILLI, 6_020))).isFalse();
    assertThat(watch.isTrusted(30 * MILLI, new ClockReading(40 * MILLI, 6_040))).isTrue();
  }

  @Test
  void requiresOneNewConfirmationAfterTheWallClockWasSetBack() {
    SuspensionDetector watch = new SuspensionDetector();
    watch.observe(new ClockReading(0, 10_000));

    assertThat(watch.isTrusted(0, new ClockReading(10 * MILLI, 8_010))).isFalse();
    assertThat(watch.isTrusted(15 * MILLI, new ClockReading(20 * MILLI, 8_020))).isTrue();
  }
}
