package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Tests how long streams are expected to last, under the load patterns that are named. */
class StreamDurationsTest {

  private static final Duration ASSUMED = Duration.ofSeconds(6);
  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final long STOP_NANOS = 9 * SECOND;
  private static final int STREAMS_A_SECOND = 200;

  private final StreamDurations durations = new StreamDurations(ASSUMED);

  @Test
  void expectsTheAssumptionOfRoutesWithoutStreams() {
    assertThat(durations.expectedNanos("chat", 0)).isEqualTo(ASSUMED.toNanos());
  }

  /** Guards against streams that are admitted late in a stop since those before were short. */
  @Test
  void expectsNoLessThanTheAssumption() {
    for (int i = 0; i < 1_000; i++) {
      durations.served("chat", SECOND, 0);
    }

    assertThat(durations.expectedNanos("chat", 0)).isEqualTo(ASSUMED.toNanos());
  }

  @Test
  void expectsMoreAfterOneLongStream() {
    durations.served("chat", 8 * SECOND, 0);

    assertThat(durations.expectedNanos("chat", 0)).isEqualTo(88 * SECOND / 10);
  }

  @Test
  void forgetsStreamsAfterTwoGenerations() {
    long generation = StreamDurations.GENERATION.toNanos();
    durations.served("chat", SECOND, 0);
    durations.served("chat", 8 * SECOND, generation - 1);

    assertThat(durations.expectedNanos("chat", 2 * generation - 1)).isEqualTo(88 * SECOND / 10);
    assertThat(durations.expectedNanos("chat", 2 * generation)).isEqualTo(ASSUMED.toNanos());
  }

  @Test
  void keepsABoundedNumberOfRoutes() {
    for (int i = 0; i < 2 * StreamDurations.MAX_ROUTES; i++) {
      durations.served("route-" + i, 8 * SECOND, 0);
    }
    assertThat(durations.size()).isEqualTo(StreamDurations.MAX_ROUTES);

    durations.served("late", 8 * SECOND, 2 * StreamDurations.GENERATION.toNanos());

    assertThat(durations.size()).isEqualTo(1);
  }

  /** Load: streams of 4 to 8 s, as large batches make them at slow engines, and a stop of 9 s. */
  @Test
  void admitsNoStreamOfSlowEnginesThatTheStopCuts() {
    DoubleUnaryOperator slow = random -> 4 + 4 * random;
    Stop assumed = stop(slow, false);
    Stop learned = stop(slow, true);

    assertThat(assumed.cut()).isPositive();
    assertThat(learned.cut()).isZero();
    assertThat(learned.served()).isPositive();
  }

  /** Load: one stream in fifty takes five times as long as the others, of 1 to 2 s. */
  @Test
  void admitsNoneOfFewLongStreamsThatTheStopCuts() {
    Stop learned =
        stop(random -> random < 0.02 ? 5 + 250 * random : 1 + (random - 0.02) / 0.98, true);

    assertThat(learned.cut()).isZero();
  }

  /** Streams that arrived during a stop. */
  private record Stop(int served, int refused, int cut) {}

  private Stop stop(DoubleUnaryOperator seconds, boolean learns) {
    Random random = new Random(1);
    StreamDurations known = new StreamDurations(ASSUMED);
    long now = 0;
    while (learns && now < 30 * SECOND) {
      known.served("chat", (long) (seconds.applyAsDouble(random.nextDouble()) * SECOND), now);
      now += SECOND / STREAMS_A_SECOND;
    }
    long end = now + STOP_NANOS;
    int served = 0;
    int refused = 0;
    int cut = 0;
    while (now < end) {
      long nanos = (long) (seconds.applyAsDouble(random.nextDouble()) * SECOND);
      if (end - now < known.expectedNanos("chat", now)) {
        refused++;
      } else if (now + nanos > end) {
        cut++;
      } else {
        served++;
      }
      now += SECOND / STREAMS_A_SECOND;
    }
    return new Stop(served, refused, cut);
  }
}
