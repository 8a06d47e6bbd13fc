package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against endpoints that count as idle because nothing is heard of them. */
class EndpointSilenceTest {

  private static final long CHECK = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long OVERDUE = EndpointSilence.OVERDUE.toNanos();
  private static final long TRIAL = EndpointSilence.TRIAL_PERIOD.toNanos();

  private final EndpointSilence silence = new EndpointSilence();

  @Test
  void beginsWhenReportsAreOverdueAndEndsWithTheNextOne() {
    silence.reportReceived(0);
    assertThat(silence.check(OVERDUE)).isEqualTo(EndpointSilence.Change.NONE);
    assertThat(silence.check(OVERDUE + 1)).isEqualTo(EndpointSilence.Change.NONE);
    assertThat(silence.holdsBack(OVERDUE + 1)).isFalse();
    assertThat(silence.check(OVERDUE + CHECK)).isEqualTo(EndpointSilence.Change.BEGAN);
    assertThat(silence.holdsBack(OVERDUE + CHECK)).isTrue();

    silence.reportReceived(OVERDUE + 2 * CHECK);
    assertThat(silence.check(OVERDUE + 3 * CHECK)).isEqualTo(EndpointSilence.Change.ENDED);
    assertThat(silence.holdsBack(OVERDUE + 3 * CHECK)).isFalse();
  }

  @Test
  void endsWithAResponse() {
    long now = silent();
    silence.responseReceived(now);
    assertThat(silence.check(now + CHECK)).isEqualTo(EndpointSilence.Change.ENDED);
  }

  @Test
  void doesNotBeginAfterOneCheckOfAProcessThatStoodStill() {
    silence.reportReceived(0);
    silence.check(4 * OVERDUE);
    silence.reportReceived(4 * OVERDUE + 1);
    assertThat(silence.check(4 * OVERDUE + CHECK)).isEqualTo(EndpointSilence.Change.NONE);
  }

  @Test
  void doesNotBeginAtAnEndpointThatDoesNotReport() {
    silence.responseReceived(0);
    for (int i = 0; i < 50; i++) {
      assertThat(silence.check(i * CHECK)).isEqualTo(EndpointSilence.Change.NONE);
    }
  }

  @Test
  void doesNotBeginWhenTheReporterEnded() {
    silence.reportReceived(0);
    silence.connectionEnded();
    silence.check(2 * OVERDUE);
    assertThat(silence.check(3 * OVERDUE)).isEqualTo(EndpointSilence.Change.NONE);
  }

  /** Guards against a gateway that starts while an endpoint is suspended and takes it for idle. */
  @Test
  void beginsWhenAReporterAcceptsAConnectionAndReportsNothing() {
    silence.reporterAccepted(0);
    silence.check(OVERDUE + 1);
    // The reporter's kernel accepts the next connection too.
    silence.reporterAccepted(OVERDUE + 2);
    assertThat(silence.check(OVERDUE + CHECK)).isEqualTo(EndpointSilence.Change.BEGAN);
  }

  @Test
  void lastsWhenTheConnectionEndsMeanwhile() {
    long now = silent();
    silence.connectionEnded();
    assertThat(silence.check(now + CHECK)).isEqualTo(EndpointSilence.Change.NONE);
    assertThat(silence.holdsBack(now + CHECK)).isTrue();

    silence.reporterEnded();
    assertThat(silence.check(now + 2 * CHECK)).isEqualTo(EndpointSilence.Change.ENDED);
  }

  @Test
  void admitsOneTrialInEachPeriod() {
    long now = silent();
    assertThat(silence.holdsBack(now + TRIAL - 1)).isTrue();
    assertThat(silence.holdsBack(now + TRIAL)).isFalse();
    silence.dispatched(now + TRIAL);
    assertThat(silence.holdsBack(now + 2 * TRIAL - 1)).isTrue();
    assertThat(silence.holdsBack(now + 2 * TRIAL)).isFalse();
  }

  private long silent() {
    silence.reportReceived(0);
    silence.check(OVERDUE + 1);
    assertThat(silence.check(OVERDUE + CHECK)).isEqualTo(EndpointSilence.Change.BEGAN);
    return OVERDUE + CHECK;
  }
}
