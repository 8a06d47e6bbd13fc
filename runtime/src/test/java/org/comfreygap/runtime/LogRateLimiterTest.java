package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards the bound on lines under load, and that the lines left out are counted. */
class LogRateLimiterTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  @Test
  void permitsAllLinesAtLowRate() {
    LogRateLimiter rate = new LogRateLimiter();
    for (int i = 0; i < 100; i++) {
      assertThat(rate.tryAcquire(i * SECOND / 10)).hasValue(0);
    }
  }

  @Test
  void limitsLinesAtHighRateAndCountsThoseLeftOut() {
    LogRateLimiter rate = new LogRateLimiter();
    int passed = 0;
    long stated = 0;
    int offered = 1_000;
    for (int i = 0; i < offered; i++) {
      OptionalLong line = rate.tryAcquire(i * SECOND / 1_000);
      passed += line.isPresent() ? 1 : 0;
      stated += line.orElse(0);
    }

    assertThat(passed)
        .isBetween(LogRateLimiter.LINES_PER_SECOND, 2 * LogRateLimiter.LINES_PER_SECOND);
    long last = rate.tryAcquire(10 * SECOND).orElseThrow();
    assertThat(stated + last).isEqualTo(offered - passed);
  }

  @Test
  void refillsNothingWhileTheClockStandsStill() {
    LogRateLimiter rate = new LogRateLimiter();
    for (int i = 0; i < LogRateLimiter.LINES_PER_SECOND; i++) {
      assertThat(rate.tryAcquire(SECOND)).isPresent();
    }

    assertThat(rate.tryAcquire(SECOND)).isEmpty();
  }
}
