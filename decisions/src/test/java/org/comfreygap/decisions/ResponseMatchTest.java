package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against the response to an earlier request that counts as the one to the next. */
class ResponseMatchTest {

  @ParameterizedTest
  @CsvSource({
    // stated id, refusal, responses before, ids stated before, expected
    "mine, true, 0, false, EXPECTED",
    "mine, true, 9, true, EXPECTED",
    "mine, false, 9, false, EXPECTED",
    "other, true, 0, false, STRAY",
    "other, false, 9, true, STRAY",
    // Nothing else can have been written on a new connection.
    ", true, 0, false, EXPECTED",
    ", false, 0, false, EXPECTED",
    // The endpoint states ids.
    ", true, 1, true, STRAY",
    ", false, 1, true, STRAY",
    // The endpoint states none.
    ", true, 1, false, UNPROVED",
    ", false, 1, false, EXPECTED"
  })
  void matchesByIdAndByWhatTheConnectionCarried(
      String stated, boolean refusal, int responses, boolean statedIds, ResponseMatch expected) {
    ResponseMatch.History history = new ResponseMatch.History(responses, statedIds);

    assertThat(ResponseMatch.of(Optional.ofNullable(stated), "mine", refusal, history))
        .isEqualTo(expected);
  }
}
