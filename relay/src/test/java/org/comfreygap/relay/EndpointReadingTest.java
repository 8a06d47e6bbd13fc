package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against prompts that count twice or for ever, and against leave that no one can give. */
class EndpointReadingTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final EndpointReading reading = new EndpointReading();

  @Test
  void sidecarsStatementReplacesOwnSendsAndFadesWithinASpan() {
    reading.sent(76_000, SECOND);
    reading.readingStated(100_000, SECOND);
    reading.sent(50_000, SECOND);

    assertThat(reading.readingMicros(SECOND)).isEqualTo(150_000);
    assertThat(reading.readingMicros(SECOND + EndpointReading.SPAN.toNanos() / 2))
        .isEqualTo(75_000);
    assertThat(reading.readingMicros(SECOND + EndpointReading.SPAN.toNanos())).isZero();
  }

  /** Guards against questions to sidecars of earlier releases and to those that are lost. */
  @Test
  void onlyASidecarThatStatedAPaceGrantsPrompts() {
    reading.paceStated(100, SECOND);
    assertThat(reading.isGranted()).isFalse();

    reading.paceStated(250, 20, SECOND);
    assertThat(reading.isGranted()).isTrue();
    assertThat(reading.pace().lastPercent()).isEqualTo(100);

    reading.sidecarLost();
    assertThat(reading.isGranted()).isFalse();
    assertThat(reading.pace().isKnown()).isTrue();
  }
}
