package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

/** Checks which requests a gateway suspects of a crash, and which it does not. */
class EndpointSuspectsTest {

  private static final long SECOND = 1_000_000_000L;

  /** Guards against dropping requests that ended before the crash was detected. */
  @Example
  void keepsRequestsThatEndedAtSilentEndpoint() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.abandoned(SuspectRequest.of("abandoned"), false, 0);
    suspects.connectionClosed(SuspectRequest.of("closed"), false, SECOND);

    assertThat(fingerprints(suspects.removeAll(10 * SECOND)))
        .containsExactly("abandoned", "closed");
    assertThat(fingerprints(suspects.removeAll(10 * SECOND))).isEmpty();
  }

  /** Guards against suspecting requests that ended at a healthy endpoint. */
  @Example
  void forgetsRequestsThatEndpointSurvived() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.connectionClosed(SuspectRequest.of("survived"), false, 0);
    suspects.connectionClosed(SuspectRequest.of("last"), false, SECOND);
    // Sent before the second request ended and received after it.
    suspects.responseReceived(SECOND + SECOND / 10);

    assertThat(fingerprints(suspects.removeAll(2 * SECOND))).containsExactly("last");
  }

  /**
   * Guards against missing a request that an endpoint runs, and crashes on, after its caller
   * abandoned it.
   */
  @Example
  void keepsAbandonedRequestsThatMayStillStart() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.abandoned(SuspectRequest.of("survived"), false, 0);
    suspects.abandoned(SuspectRequest.of("queued"), false, SECOND);
    suspects.responseReceived(2 * SECOND);

    assertThat(fingerprints(suspects.removeAll(2 * SECOND))).containsExactly("queued");
  }

  /** Guards against more runs of a request that may have crashed an endpoint. */
  @Example
  void knowsRequestUntilEndpointSurvivedIt() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.connectionClosed(SuspectRequest.of("silent"), false, 0);
    suspects.connectionClosed(SuspectRequest.of("begun"), true, 0);

    assertThat(suspects.contains("silent", SECOND)).isTrue();
    assertThat(suspects.contains("begun", SECOND)).isFalse();
    assertThat(suspects.contains("silent", 15 * SECOND)).isFalse();
    suspects.responseReceived(SECOND);
    assertThat(suspects.contains("silent", SECOND)).isFalse();
  }

  /** Guards against outdated suspects and unbounded memory. */
  @Example
  void isBoundedInTimeAndNumber() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.abandoned(SuspectRequest.of("old"), false, 0);
    suspects.abandoned(SuspectRequest.of("new"), false, 16 * SECOND);
    assertThat(fingerprints(suspects.removeAll(17 * SECOND))).containsExactly("new");

    for (int i = 0; i < 2 * EndpointSuspects.CAPACITY; i++) {
      suspects.connectionClosed(SuspectRequest.of("f" + i), false, 20 * SECOND);
    }
    assertThat(fingerprints(suspects.removeAll(21 * SECOND)))
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

  private static List<String> fingerprints(EndpointSuspects.Ended ended) {
    return ended.suspects().stream().map(SuspectRequest::fingerprint).toList();
  }
}
