package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks the limit on log lines under load, and that the lines left out are counted. */
class LogRateLimiterTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  @Test
  void permitsAllLinesAtLowRate() {
    LogRateLimiter limiter = new LogRateLimiter();
    for (int i = 0; i < 100; i++) {
      assertThat(limiter.tryAcquire(i * SECOND / 10)).hasValue(0);
    }
  }

  @Test
  void limitsLinesAtHighRateAndCountsThoseLeftOut() {
    LogRateLimiter limiter = new LogRateLimiter();
    int permitted = 0;
    long leftOut = 0;
    int offered = 1_000;
    for (int i = 0; i < offered; i++) {
      OptionalLong line = limiter.tryAcquire(i * SECOND / 1_000);
      permitted += line.isPresent() ? 1 : 0;
      leftOut += line.orElse(0);
    }

    assertThat(permitted)
        .isBetween(LogRateLimiter.LINES_PER_SECOND, 2 * LogRateLimiter.LINES_PER_SECOND);
    long last = limiter.tryAcquire(10 * SECOND).orElseThrow();
    assertThat(leftOut + last).isEqualTo(offered - permitted);
  }

  @Test
  void refillsNothingWhileTheClockStandsStill() {
    LogRateLimiter limiter = new LogRateLimiter();
    for (int i = 0; i < LogRateLimiter.LINES_PER_SECOND; i++) {
      assertThat(limiter.tryAcquire(SECOND)).isPresent();
    }

    assertThat(limiter.tryAcquire(SECOND)).isEmpty();
  }
}
