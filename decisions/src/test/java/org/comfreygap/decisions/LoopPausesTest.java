package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against decisions on old input while newer input is unread. */
class LoopPausesTest {

  private static final long MILLIS = TimeUnit.MILLISECONDS.toNanos(1);

  private final LoopPauses pauses = new LoopPauses();

  @Test
  void holdsNothingUnreadWhileTicksAreInTime() {
    assertThat(pauses.mayHoldUnread(0)).isFalse();
    for (int i = 0; i < 20; i++) {
      assertThat(pauses.ticked(i * 100 * MILLIS)).isEmpty();
      assertThat(pauses.mayHoldUnread((i * 100 + 99) * MILLIS)).isFalse();
    }
  }

  @Test
  void noticesAPauseBeforeTheNextTick() {
    pauses.ticked(0);
    assertThat(pauses.mayHoldUnread(2_000 * MILLIS)).isTrue();
    assertThat(pauses.ticked(2_001 * MILLIS)).contains(Duration.ofMillis(1_901));
    assertThat(pauses.mayHoldUnread(2_500 * MILLIS)).isTrue();
  }

  @Test
  void endsAfterTheTimeToCatchUp() {
    pauses.ticked(0);
    for (int i = 20; i < 30; i++) {
      pauses.ticked(i * 100 * MILLIS);
    }
    assertThat(pauses.mayHoldUnread(2_950 * MILLIS)).isTrue();
    assertThat(pauses.mayHoldUnread(3_000 * MILLIS)).isFalse();
  }

  /** Guards against a process that gets 15 ms of each 315 and never stops for long. */
  @Test
  void noticesShortPausesThatFollowEachOther() {
    for (int i = 0; i < 10; i++) {
      pauses.ticked(i * 315 * MILLIS);
      assertThat(pauses.mayHoldUnread((i * 315 + 15) * MILLIS)).isEqualTo(i > 0);
    }
  }
}
