package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against kept connections to an endpoint that writes bytes of no request. */
class ConnectionReuseTest {

  private static final long TIME = ConnectionReuse.SUSPENSION.toNanos();

  private final ConnectionReuse reuse = new ConnectionReuse();

  @Test
  void allowsReuseWithoutFaults() {
    assertThat(reuse.allowed(Long.MIN_VALUE)).isTrue();
    assertThat(reuse.endElapsed(Long.MAX_VALUE)).isFalse();
  }

  @Test
  void suspendsReuseUntilTheTimeAfterTheLastFaultHasPassed() {
    assertThat(reuse.faultSeen(5)).isTrue();
    assertThat(reuse.faultSeen(10)).isFalse();

    assertThat(reuse.allowed(10 + TIME - 1)).isFalse();
    assertThat(reuse.endElapsed(10 + TIME - 1)).isFalse();
    assertThat(reuse.allowed(10 + TIME)).isTrue();
  }

  @Test
  void reportsEachEndOnceAndBeginsAnew() {
    reuse.faultSeen(0);

    assertThat(reuse.endElapsed(TIME)).isTrue();
    assertThat(reuse.endElapsed(TIME)).isFalse();
    assertThat(reuse.faultSeen(TIME)).isTrue();
    assertThat(reuse.allowed(TIME)).isFalse();
  }
}
