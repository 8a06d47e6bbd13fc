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

  /** A round trip between availability zones. */
  private static final long RESET = TimeUnit.MILLISECONDS.toNanos(3);

  @Test
  void trustsAnyIdleTimeUntilALoss() {
    assertThat(new IdleTrust().usable(10 * SECOND, 0)).isTrue();
  }

  @Test
  void usesOnlyMuchShorterIdleTimesAfterALoss() {
    IdleTrust trust = new IdleTrust();
    trust.broke(2 * SECOND, RESET, 0);

    assertThat(trust.usable(SECOND, SECOND)).isFalse();
    assertThat(trust.usable(SECOND - 1, SECOND)).isTrue();
  }

  /**
   * Load pattern: endpoints run requests and lose the answers, 10,904 new connections for 15,152.
   */
  @Test
  void resetAfterTheRunSaysNothingOfIdleConnections() {
    IdleTrust trust = new IdleTrust();
    trust.broke(2 * SECOND, TimeUnit.MILLISECONDS.toNanos(25), 0);

    assertThat(trust.usable(10 * SECOND, SECOND)).isTrue();
  }

  @Test
  void triesLongerIdleTimesAgainLater() {
    IdleTrust trust = new IdleTrust();
    trust.broke(2 * SECOND, RESET, 0);

    assertThat(trust.usable(5 * SECOND, IdleTrust.MEMORY.toNanos() + 1)).isTrue();
  }

  @Test
  void neverDistrustsConnectionsUsedAMomentAgo() {
    IdleTrust trust = new IdleTrust();
    for (int i = 0; i < 50; i++) {
      trust.broke(1_000, RESET, i);
    }

    assertThat(trust.usable(IdleTrust.LEAST.toNanos() - 1, 60)).isTrue();
  }
}
