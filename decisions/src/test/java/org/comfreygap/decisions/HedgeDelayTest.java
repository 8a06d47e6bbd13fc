package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.comfreygap.settings.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a delay that lags behind the endpoints or grows without bound. */
class HedgeDelayTest {

  private static final long MILLI = 1_000_000L;
  private static final long GENERATION = HedgeDelay.GENERATION.toNanos();

  private final HedgeDelay delay = new HedgeDelay();

  @ParameterizedTest
  @ValueSource(doubles = {0.5, 0.9, 0.95, 0.99})
  void isAtMostATenthAboveTheSample(double quantile) {
    for (int i = 1; i <= 1_000; i++) {
      record(i * MILLI, 0);
    }

    double exact = quantile * 1_000 * MILLI;
    assertThat((double) at(quantile, 0)).isBetween(exact, exact * 1.1 + 1);
  }

  @Test
  void forgetsAfterTwoGenerations() {
    for (int i = 0; i < HedgeDelay.MIN_SAMPLES; i++) {
      record(900 * MILLI, 0);
    }
    for (int i = 0; i < HedgeDelay.MIN_SAMPLES; i++) {
      record(10 * MILLI, GENERATION);
    }
    assertThat(at(0.9, GENERATION)).isGreaterThan(900 * MILLI);

    assertThat(at(0.9, 2 * GENERATION)).isLessThan(12 * MILLI);
    assertThat(delay.quantileNanos("app", RequestKind.SAFE, 0.9, 4 * GENERATION)).isEmpty();
  }

  @Test
  void keepsKindsAndPoolsApartAndBounded() {
    for (int i = 0; i < 2 * HedgeDelay.MAX_SERIES; i++) {
      delay.record("pool-" + i, RequestKind.STREAM, MILLI, 0);
    }
    assertThat(delay.size()).isEqualTo(HedgeDelay.MAX_SERIES);

    delay.record("app", RequestKind.SAFE, MILLI, 3 * GENERATION);
    assertThat(delay.size()).isEqualTo(1);
  }

  @Test
  void takesAnyTime() {
    for (long nanos : new long[] {-1, 0, 1, Long.MAX_VALUE}) {
      for (int i = 0; i < HedgeDelay.MIN_SAMPLES; i++) {
        record(nanos, 0);
      }
    }

    assertThat(at(0.1, 0)).isLessThan(MILLI);
    assertThat(at(0.99, 0)).isGreaterThan(60_000 * MILLI);
  }

  private void record(long nanos, long nowNanos) {
    delay.record("app", RequestKind.SAFE, nanos, nowNanos);
  }

  private long at(double quantile, long nowNanos) {
    return delay.quantileNanos("app", RequestKind.SAFE, quantile, nowNanos).orElseThrow();
  }
}
