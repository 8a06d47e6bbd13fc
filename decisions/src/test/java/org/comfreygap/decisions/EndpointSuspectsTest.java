package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Checks which requests a gateway suspects of a crash, and which it does not. */
class EndpointSuspectsTest {

  private static final long SECOND = 1_000_000_000L;

  /** Guards against dropping requests that ended before the crash was detected. */
  @Example
  void keepsRequestsThatEndedAtSilentEndpoint() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.abandoned("abandoned", 0);
    suspects.connectionClosed("closed", SECOND);

    assertThat(suspects.removeAll(10 * SECOND)).containsExactly("abandoned", "closed");
    assertThat(suspects.removeAll(10 * SECOND)).isEmpty();
  }

  /** Guards against suspecting requests that ended at a healthy endpoint. */
  @Example
  void forgetsRequestsThatEndpointSurvived() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.connectionClosed("survived", 0);
    suspects.connectionClosed("last", SECOND);
    // Sent before the second request ended and received after it.
    suspects.responseReceived(SECOND + SECOND / 10);

    assertThat(suspects.removeAll(2 * SECOND)).containsExactly("last");
  }

  /**
   * Guards against missing a request that an endpoint runs, and crashes on, after its caller
   * abandoned it.
   */
  @Example
  void keepsAbandonedRequestsThatMayStillStart() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.abandoned("survived", 0);
    suspects.abandoned("queued", SECOND);
    suspects.responseReceived(2 * SECOND);

    assertThat(suspects.removeAll(2 * SECOND)).containsExactly("queued");
  }

  /** Guards against outdated suspects and unbounded memory. */
  @Example
  void isBoundedInTimeAndNumber() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.abandoned("old", 0);
    suspects.abandoned("new", 16 * SECOND);
    assertThat(suspects.removeAll(17 * SECOND)).containsExactly("new");

    for (int i = 0; i < 2 * EndpointSuspects.CAPACITY; i++) {
      suspects.connectionClosed("f" + i, 20 * SECOND);
    }
    assertThat(suspects.removeAll(21 * SECOND))
        .hasSize(EndpointSuspects.CAPACITY)
        .endsWith("f" + (2 * EndpointSuspects.CAPACITY - 1));
  }

  /** Guards against popular requests without a body that are banned after two crashes. */
  @Example
  void remembersRecentSuccesses() {
    RecentSuccesses successes = new RecentSuccesses(2);
    successes.recordSuccess("a", 0);
    assertThat(successes.contains("a", 59 * SECOND)).isTrue();
    assertThat(successes.contains("a", 60 * SECOND)).isFalse();

    successes.recordSuccess("b", SECOND);
    successes.recordSuccess("a", 2 * SECOND);
    successes.recordSuccess("c", 3 * SECOND);
    assertThat(successes.contains("b", 3 * SECOND)).isFalse();
    assertThat(successes.contains("a", 3 * SECOND)).isTrue();
  }
}
