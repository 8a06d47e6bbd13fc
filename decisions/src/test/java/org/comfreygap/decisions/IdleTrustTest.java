package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: endpoints drop idle connections without notice, sooner than they state. Guards
 * against requests that must not be repeated and are lost on such a connection.
 */
class IdleTrustTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  @Test
  void trustsAnyIdleTimeUntilALoss() {
    assertThat(new IdleTrust().usable(10 * SECOND, 0)).isTrue();
  }

  @Test
  void usesOnlyMuchShorterIdleTimesAfterALoss() {
    IdleTrust trust = new IdleTrust();
    trust.lost(2 * SECOND, 0);

    assertThat(trust.usable(SECOND, SECOND)).isFalse();
    assertThat(trust.usable(SECOND - 1, SECOND)).isTrue();
  }

  @Test
  void triesLongerIdleTimesAgainLater() {
    IdleTrust trust = new IdleTrust();
    trust.lost(2 * SECOND, 0);

    assertThat(trust.usable(5 * SECOND, IdleTrust.MEMORY.toNanos() + 1)).isTrue();
  }

  @Test
  void neverDistrustsConnectionsUsedAMomentAgo() {
    IdleTrust trust = new IdleTrust();
    for (int i = 0; i < 50; i++) {
      trust.lost(1_000, i);
    }

    assertThat(trust.usable(IdleTrust.LEAST.toNanos() - 1, 60)).isTrue();
  }
}
