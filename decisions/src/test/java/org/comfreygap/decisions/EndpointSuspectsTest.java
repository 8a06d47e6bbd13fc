package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** What a gateway takes for a suspect of a crash, and what it does not. */
class EndpointSuspectsTest {

  private static final long SECOND = 1_000_000_000L;

  /** Guards against requests that are forgotten because they ended before the crash was known. */
  @Example
  void keepsRequestsThatEndedAtSilentEndpoint() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.abandoned("given-up", 0);
    suspects.connectionClosed("broke-off", SECOND);

    assertThat(suspects.removeAll(10 * SECOND)).containsExactly("given-up", "broke-off");
    assertThat(suspects.removeAll(10 * SECOND)).isEmpty();
  }

  /** Guards against innocent requests that ended at an endpoint that is well. */
  @Example
  void forgetsRequestsThatEndpointSurvived() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.connectionClosed("survived", 0);
    suspects.connectionClosed("last", SECOND);
    // Sent before the end of the second request, and on its way since.
    suspects.responseReceived(SECOND + SECOND / 10);

    assertThat(suspects.removeAll(2 * SECOND)).containsExactly("last");
  }

  /** Guards against a request that an endpoint runs, and ends by, after its caller has left. */
  @Example
  void keepsAbandonedRequestsThatMayStillStart() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.abandoned("survived", 0);
    suspects.abandoned("queued", SECOND);
    suspects.responseReceived(2 * SECOND);

    assertThat(suspects.removeAll(2 * SECOND)).containsExactly("queued");
  }

  /** Guards against suspects of long ago and a memory that grows. */
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
    RecentSuccesses served = new RecentSuccesses(2);
    served.recordSuccess("a", 0);
    assertThat(served.contains("a", 59 * SECOND)).isTrue();
    assertThat(served.contains("a", 60 * SECOND)).isFalse();

    served.recordSuccess("b", SECOND);
    served.recordSuccess("a", 2 * SECOND);
    served.recordSuccess("c", 3 * SECOND);
    assertThat(served.contains("b", 3 * SECOND)).isFalse();
    assertThat(served.contains("a", 3 * SECOND)).isTrue();
  }
}
