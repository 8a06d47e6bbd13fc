package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.RequestKind;
import org.junit.jupiter.api.Test;

/** Guards against a request of two attempts that is told as not run, or runs too often. */
class AttemptHistoryTest {

  private final AttemptHistory history = new AttemptHistory();

  @Test
  void countsTheLoserAsARun() {
    history.begin();
    history.responseBegan();
    history.secondEnded(Outcome.UNKNOWN);

    assertThat(history.mayHaveRun()).isTrue();
    assertThat(history.runsLeft(route(2))).isFalse();
    assertThat(history.runsLeft(route(3))).isTrue();
  }

  @Test
  void saysThatItMayHaveRunWhenOnlyTheSecondDid() {
    history.begin();
    history.secondEnded(Outcome.UNKNOWN);
    history.ended(Outcome.NOT_RUN);

    assertThat(history.mayHaveRun()).isTrue();
  }

  @Test
  void staysNotRunWhenBothRefused() {
    history.begin();
    history.secondEnded(Outcome.NOT_RUN);
    history.ended(Outcome.NOT_RUN);

    assertThat(history.mayHaveRun()).isFalse();
    assertThat(history.runsLeft(route(1))).isTrue();
  }

  private static Route route(int maxAttempts) {
    return new Route(
        "r",
        "h",
        "/",
        RequestKind.SAFE,
        1_000,
        300,
        0,
        0,
        List.of(),
        maxAttempts,
        true,
        false,
        false);
  }
}
