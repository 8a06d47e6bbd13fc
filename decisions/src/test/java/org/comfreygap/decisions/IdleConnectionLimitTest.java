package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: endpoints drop idle connections without notice, sooner than they state. Guards
 * against requests that must not be repeated and are lost on such a connection.
 */
class IdleConnectionLimitTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** A round trip between availability zones. */
  private static final long RESET = TimeUnit.MILLISECONDS.toNanos(3);

  @Test
  void allowsAnyIdleTimeUntilLoss() {
    assertThat(new IdleConnectionLimit().usable(10 * SECOND, 0)).isTrue();
  }

  @Test
  void halvesIdleLimitAfterLoss() {
    IdleConnectionLimit trust = new IdleConnectionLimit();
    trust.connectionLost(2 * SECOND, RESET, 0);

    assertThat(trust.usable(SECOND, SECOND)).isFalse();
    assertThat(trust.usable(SECOND - 1, SECOND)).isTrue();
  }

  /**
   * Load pattern: endpoints run requests and lose the answers, 10,904 new connections for 15,152.
   */
  @Test
  void ignoresResetAfterRun() {
    IdleConnectionLimit trust = new IdleConnectionLimit();
    trust.connectionLost(2 * SECOND, TimeUnit.MILLISECONDS.toNanos(25), 0);

    assertThat(trust.usable(10 * SECOND, SECOND)).isTrue();
  }

  @Test
  void allowsLongerIdleTimesAfterRetention() {
    IdleConnectionLimit trust = new IdleConnectionLimit();
    trust.connectionLost(2 * SECOND, RESET, 0);

    assertThat(trust.usable(5 * SECOND, IdleConnectionLimit.RETENTION.toNanos() + 1)).isTrue();
  }

  @Test
  void alwaysAllowsRecentlyUsedConnections() {
    IdleConnectionLimit trust = new IdleConnectionLimit();
    for (int i = 0; i < 50; i++) {
      trust.connectionLost(1_000, RESET, i);
    }

    assertThat(trust.usable(IdleConnectionLimit.MIN_IDLE.toNanos() - 1, 60)).isTrue();
  }
}
