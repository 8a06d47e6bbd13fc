package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: one customer sends six times its limit. Guards against callers that were refused
 * together and return together.
 */
class RetryAfterScheduleTest {

  private static final Duration EARLIEST = Duration.ofMillis(50);

  @Test
  void spreadsRetriesAtRateOfLimit() {
    RetryAfterSchedule schedule = new RetryAfterSchedule();
    int[] retriesPerSecond = new int[31];
    for (int i = 0; i < 60; i++) {
      long now = TimeUnit.MILLISECONDS.toNanos(i * 16L);
      Duration wait = schedule.next(1_000, 10_000, EARLIEST, now);
      retriesPerSecond[(int) ((now + wait.toNanos()) / 1_000_000_000L)]++;
    }

    for (int second = 0; second < 6; second++) {
      assertThat(retriesPerSecond[second]).isBetween(9, 10);
    }
  }

  @Test
  void returnsEarliestTimeWhenFewAreRefused() {
    RetryAfterSchedule schedule = new RetryAfterSchedule();

    assertThat(schedule.next(1_000, 10_000, EARLIEST, 0)).isEqualTo(EARLIEST);
    assertThat(schedule.next(1_000, 10_000, EARLIEST, TimeUnit.SECONDS.toNanos(5)))
        .isEqualTo(EARLIEST);
  }

  @Test
  void neverExceedsMaxRetryAfter() {
    RetryAfterSchedule schedule = new RetryAfterSchedule();
    for (int i = 0; i < 1_000; i++) {
      assertThat(schedule.next(1_000, 1, EARLIEST, 0))
          .isLessThanOrEqualTo(RetryAfterSchedule.MAX_RETRY_AFTER);
    }
  }
}
