package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against prompts that go to engines at once while the streams there pause too long, and
 * against permits that are asked for without need.
 */
class PauseWatchTest {

  private static final String POOL = "chat";
  private static final long STEP_NANOS = Duration.ofMillis(100).toNanos();

  private final PauseWatch watch = new PauseWatch();
  private long now = Long.MAX_VALUE - Duration.ofSeconds(30).toNanos();

  /** Calm load: one stream in twenty pauses too long. */
  @Test
  void staysOffWhileFewStreamsPauseTooLong() {
    for (int i = 0; i < 500; i++) {
      assertThat(end(i % 20 == 0)).isFalse();
    }
    assertThat(watch.pausesTooLong(POOL, now)).isFalse();
  }

  /** Callers who compete: one stream in four pauses too long. */
  @Test
  void turnsOnOnceWhenCallersCompete() {
    int turns = 0;
    for (int i = 0; i < 100; i++) {
      turns += end(i % 4 == 0) ? 1 : 0;
    }
    assertThat(turns).isEqualTo(1);
    assertThat(watch.pausesTooLong(POOL, now)).isTrue();
    assertThat(watch.pausesTooLong("other", now)).isFalse();
    assertThat(watch.count(now)).isEqualTo(1);
  }

  @Test
  void fewStreamsDecideNothing() {
    for (int i = 0; i < PauseWatch.MIN_STREAMS - 1; i++) {
      end(true);
    }
    assertThat(watch.pausesTooLong(POOL, now)).isFalse();
    end(true);
    assertThat(watch.pausesTooLong(POOL, now)).isTrue();
  }

  /** Streams from before a pause in the traffic say nothing of the load after it. */
  @Test
  void oldStreamsDoNotCount() {
    for (int i = 0; i < PauseWatch.MIN_STREAMS - 1; i++) {
      end(true);
    }
    now += 3 * PauseWatch.SPAN.toNanos();
    end(true);
    assertThat(watch.pausesTooLong(POOL, now)).isFalse();
  }

  /** The load has gone: permits end after the hold, and not while pauses are long again. */
  @Test
  void endsAfterTheHold() {
    for (int i = 0; i < 40; i++) {
      end(true);
    }
    now += PauseWatch.HOLD.toNanos() - STEP_NANOS;
    assertThat(watch.pausesTooLong(POOL, now)).isTrue();
    now += STEP_NANOS;
    assertThat(watch.pausesTooLong(POOL, now)).isFalse();
  }

  @Test
  void forgetsPoolsThatAreGone() {
    for (int i = 0; i < 40; i++) {
      end(true);
    }
    watch.retain(Set.of("other"));
    assertThat(watch.pausesTooLong(POOL, now)).isFalse();
  }

  private boolean end(boolean pausedTooLong) {
    now += STEP_NANOS;
    watch.streamBegan(POOL, now);
    return pausedTooLong && watch.streamPaused(POOL, now);
  }
}
