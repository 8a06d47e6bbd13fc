package org.comfreygap.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.comfreygap.bench.CallResult.Verdict;
import org.junit.jupiter.api.Test;

/** Guards against a truncated, mixed-up or failed response that counts as complete. */
class ResponseCheckTest {

  private static final PlannedRequest PLANNED =
      new PlannedRequest("n1", 0, 0, "a@v1", 2, "normal", true, "", false, false);
  private static final String FIRST = chunk("shop/a@v1 n1 r 1/2;");
  private static final String SECOND = chunk("shop/a@v1 n1 r 2/2;");
  private static final String DONE = "data: [DONE]";

  @Test
  void streamIsCompleteOnlyWithAllTokensAndTheEndMark() {
    assertThat(verdict(FIRST, SECOND, DONE)).isEqualTo(Verdict.COMPLETE);
    assertThat(verdict(FIRST, SECOND)).isEqualTo(Verdict.CUT);
    assertThat(verdict(FIRST, DONE)).isEqualTo(Verdict.CUT);
    assertThat(verdict(SECOND, DONE)).isEqualTo(Verdict.CUT);
    assertThat(verdict(FIRST, FIRST, SECOND, DONE)).isEqualTo(Verdict.CUT);
    assertThat(verdict()).isEqualTo(Verdict.CUT);
  }

  @Test
  void tokensOfAnotherRequestOrAdapterAreMixed() {
    assertThat(verdict(FIRST, chunk("shop/a@v1 n2 r 2/2;"), DONE)).isEqualTo(Verdict.MIXED);
    assertThat(verdict(chunk("shop/b@v1 n1 r 1/2;"), SECOND, DONE)).isEqualTo(Verdict.MIXED);
  }

  @Test
  void reportedFailureIsNotACutResponse() {
    assertThat(verdict(FIRST, "data: {\"error\":{\"code\":\"endpoint_failed\"}}"))
        .isEqualTo(Verdict.BROKEN);
  }

  private static Verdict verdict(String... lines) {
    ResponseCheck check = new ResponseCheck(PLANNED, "shop");
    List.of(lines).forEach(check::acceptLine);
    return check.streamVerdict();
  }

  private static String chunk(String content) {
    return "data: {\"choices\":[{\"delta\":{\"content\":\"" + content + "\"}}]}";
  }
}
