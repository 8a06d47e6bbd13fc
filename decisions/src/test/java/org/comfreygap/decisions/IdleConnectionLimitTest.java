package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: endpoints drop idle connections without notice, sooner than they state. Guards
 * against losing requests that must not be repeated on such a connection.
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
    IdleConnectionLimit limit = new IdleConnectionLimit();
    limit.connectionLost(2 * SECOND, RESET, 0);

    assertThat(limit.usable(SECOND, SECOND)).isFalse();
    assertThat(limit.usable(SECOND - 1, SECOND)).isTrue();
  }

  /**
   * Load pattern: endpoints run requests and lose the responses. Guards against a low limit, which
   * opened 10,904 new connections for 15,152 requests.
   */
  @Test
  void ignoresResetAfterRun() {
    IdleConnectionLimit limit = new IdleConnectionLimit();
    limit.connectionLost(2 * SECOND, TimeUnit.MILLISECONDS.toNanos(25), 0);

    assertThat(limit.usable(10 * SECOND, SECOND)).isTrue();
  }

  @Test
  void allowsLongerIdleTimesAfterRetention() {
    IdleConnectionLimit limit = new IdleConnectionLimit();
    limit.connectionLost(2 * SECOND, RESET, 0);

    assertThat(limit.usable(5 * SECOND, IdleConnectionLimit.RETENTION.toNanos() + 1)).isTrue();
  }

  @Test
  void alwaysAllowsRecentlyUsedConnections() {
    IdleConnectionLimit limit = new IdleConnectionLimit();
    for (int i = 0; i < 50; i++) {
      limit.connectionLost(1_000, RESET, i);
    }

    assertThat(limit.usable(IdleConnectionLimit.MIN_IDLE.toNanos() - 1, 60)).isTrue();
  }
}
