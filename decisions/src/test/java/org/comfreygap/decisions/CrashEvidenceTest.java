package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** What a gateway takes for a suspect of a crash, and what it does not. */
class CrashEvidenceTest {

  private static final long SECOND = 1_000_000_000L;

  /** Guards against requests that are forgotten because they ended before the crash was known. */
  @Example
  void keepsWhatEndedAtAnEndpointThatStaysSilent() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.givenUp("given-up", 0);
    suspects.brokeOff("broke-off", SECOND);

    assertThat(suspects.taken(10 * SECOND)).containsExactly("given-up", "broke-off");
    assertThat(suspects.taken(10 * SECOND)).isEmpty();
  }

  /** Guards against innocent requests that ended at an endpoint that is well. */
  @Example
  void forgetsWhatTheEndpointSurvived() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.brokeOff("survived", 0);
    suspects.brokeOff("last", SECOND);
    // Sent before the end of the second request, and on its way since.
    suspects.heard(SECOND + SECOND / 10);

    assertThat(suspects.taken(2 * SECOND)).containsExactly("last");
  }

  /** Guards against a request that an endpoint runs, and ends by, after its caller has left. */
  @Example
  void keepsWhatTheEndpointMayStillBegin() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.givenUp("survived", 0);
    suspects.givenUp("queued", SECOND);
    suspects.heard(2 * SECOND);

    assertThat(suspects.taken(2 * SECOND)).containsExactly("queued");
  }

  /** Guards against suspects of long ago and a memory that grows. */
  @Example
  void isBoundedInTimeAndNumber() {
    EndpointSuspects suspects = new EndpointSuspects();
    suspects.givenUp("old", 0);
    suspects.givenUp("new", 16 * SECOND);
    assertThat(suspects.taken(17 * SECOND)).containsExactly("new");

    for (int i = 0; i < 2 * EndpointSuspects.CAPACITY; i++) {
      suspects.brokeOff("f" + i, 20 * SECOND);
    }
    assertThat(suspects.taken(21 * SECOND))
        .hasSize(EndpointSuspects.CAPACITY)
        .endsWith("f" + (2 * EndpointSuspects.CAPACITY - 1));
  }

  /** Guards against popular requests without a body that are banned after two crashes. */
  @Example
  void remembersWhatWasServedLately() {
    ServedLately served = new ServedLately(2);
    served.served("a", 0);
    assertThat(served.contains("a", 59 * SECOND)).isTrue();
    assertThat(served.contains("a", 60 * SECOND)).isFalse();

    served.served("b", SECOND);
    served.served("a", 2 * SECOND);
    served.served("c", 3 * SECOND);
    assertThat(served.contains("b", 3 * SECOND)).isFalse();
    assertThat(served.contains("a", 3 * SECOND)).isTrue();
  }
}
