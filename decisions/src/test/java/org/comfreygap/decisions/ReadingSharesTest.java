package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a popular adapter that stays at one engine, and against loads without need. */
class ReadingSharesTest {

  private static final long READ = 76_000;
  private static final double CAPACITY = 700_000;
  private static final long ADAPTER = 1;

  private final ReadingShares shares = new ReadingShares();

  /** Load pattern: one adapter with a fifth of all streams, 39 a second, at one home. */
  @Test
  void popularAdapterGetsOneFurtherHomeASecond() {
    assertThat(crowdedTimes(39, 3)).isBetween(2, 3);
  }

  /** Load pattern: the same adapter once ten engines hold it. */
  @Test
  void popularAdapterWithEnoughHomesGetsNoMore() {
    assertThat(crowdedTimes(4, 5)).isZero();
  }

  private int crowdedTimes(int perSecond, int seconds) {
    int crowded = 0;
    for (int i = 0; i < perSecond * seconds; i++) {
      long now = TimeUnit.SECONDS.toNanos(i) / perSecond;
      crowded += shares.granted(ADAPTER, READ, CAPACITY, now) ? 1 : 0;
      shares.granted(i + 2, READ, CAPACITY, now);
    }
    return crowded;
  }
}
