package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the fleet's time under clocks that are off. */
class FleetClockTest {

  private static final long TRUE_MILLIS = 1_796_000_000_000L;

  /** Load: 30 processes, ten of them seconds off at any time, jumping and back, for ten minutes. */
  @Test
  void clocksOfAThirdHaveNoEffectWhenTheyJump() {
    Random random = new Random(50);
    FleetClock clock = new FleetClock();
    long[] wrong = new long[30];
    for (int half = 0; half < 1_200; half++) {
      long millis = half * 500L;
      for (int i = 0; i < 30; i++) {
        if (i < 10) {
          wrong[i] = random.nextInt(5) == 0 ? random.nextInt(20_000) - 10_000 : wrong[i];
        }
        long delay = random.nextInt(20);
        clock.stated(
            "g" + i,
            TRUE_MILLIS + millis - delay + wrong[i],
            TimeUnit.MILLISECONDS.toNanos(millis));
      }
      assertThat(clock.millis(15, TimeUnit.MILLISECONDS.toNanos(millis)).orElseThrow())
          .isBetween(TRUE_MILLIS + millis - 25, TRUE_MILLIS + millis);
    }
  }

  @Test
  void timeIsNotKnownFromTooFewStatements() {
    FleetClock clock = new FleetClock();
    assertThat(clock.millis(0, 0)).isEmpty();
    clock.stated("a", TRUE_MILLIS, 0);
    assertThat(clock.millis(2, 0)).isEmpty();
    clock.stated("b", TRUE_MILLIS, 0);
    assertThat(clock.millis(2, 0)).hasValue(TRUE_MILLIS);
    assertThat(clock.millis(2, FleetClock.LIFETIME.toNanos() + 1)).isEmpty();
  }

  @Test
  void processKeepsTheTimeByItsMonotonicClock() {
    FleetTime time = new FleetTime();
    assertThat(time.millis(0)).isEmpty();
    time.stated(TRUE_MILLIS, 0, 2_000_000);
    assertThat(time.millis(1_001_000_000)).hasValue(TRUE_MILLIS + 1_000);

    // An answer that took a second says less than the one that took 2 ms.
    time.stated(TRUE_MILLIS + 1_900, 1_001_000_000, 2_001_000_000);
    assertThat(time.millis(2_001_000_000)).hasValue(TRUE_MILLIS + 2_000);
  }
}
