package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.StatusPacing.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Load pattern: an engine whose load and adapters change with each report, and a growing number of
 * gateways. Guards against messages that grow with the number of gateways, and against late reports
 * of urgent changes.
 */
class StatusPacingTest {

  private static final int SLOTS = 24;
  private static final int REPORT_MILLIS = 35;
  private static final int SECONDS = 30;

  @ParameterizedTest
  @ValueSource(ints = {8, 35, 60})
  void messagesOfBusySidecarStayBounded(int gateways) {
    StatusPacing pacing = new StatusPacing();
    Random random = new Random(3);
    int messages = 0;
    for (long millis = 0; millis < SECONDS * 1_000; millis += REPORT_MILLIS) {
      State state = new State("up", random.nextInt(SLOTS), random.nextInt(9), SLOTS, true);
      if (pacing.due(state, gateways, nanos(millis))) {
        pacing.recordSent(state, nanos(millis));
        messages += gateways;
      }
    }

    // Sent with each report there are 229 a second with 8 gateways, and 1,000 with 35.
    assertThat(messages / SECONDS).isLessThanOrEqualTo(170);
  }

  @Test
  void urgentChangesAreDueImmediately() {
    StatusPacing pacing = new StatusPacing();
    pacing.recordSent(new State("up", 1, 0, SLOTS, false), 0);

    assertThat(pacing.due(new State("leaving", 1, 0, SLOTS, false), 60, nanos(1))).isTrue();
  }

  @Test
  void smallLoadChangesAreNotDue() {
    StatusPacing pacing = new StatusPacing();
    pacing.recordSent(new State("up", 4, 4, SLOTS, false), 0);

    assertThat(pacing.due(new State("up", 5, 5, SLOTS, false), 8, nanos(200))).isFalse();
    assertThat(pacing.due(new State("up", 6, 4, SLOTS, false), 8, nanos(200))).isTrue();
    assertThat(pacing.due(new State("up", 4, 8, SLOTS, false), 8, nanos(200))).isTrue();
  }

  @Test
  void unchangedStateIsRepeatedBeforeGatewaysDropIt() {
    StatusPacing pacing = new StatusPacing();
    State unchanged = new State("up", 0, 0, SLOTS, false);
    pacing.recordSent(unchanged, 0);

    assertThat(pacing.due(unchanged, 8, nanos(500))).isFalse();
    assertThat(pacing.due(unchanged, 8, nanos(700))).isTrue();
    assertThat(StatusPacing.spacing(1_000)).isLessThan(Duration.ofMillis(500));
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
