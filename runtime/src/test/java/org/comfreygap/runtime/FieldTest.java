package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against bytes of a peer, quoted in a reason, that fill the timeline. */
class FieldTest {

  @Test
  void cutsLongValue() {
    String value = Field.of("reason", "x".repeat(40_000)).value();

    assertThat(value).hasSize(Field.MAX_VALUE_LENGTH).startsWith("xxx").endsWith("...");
  }

  @Test
  void keepsLongestValue() {
    String longest = "x".repeat(Field.MAX_VALUE_LENGTH);

    assertThat(Field.of("reason", longest).value()).isEqualTo(longest);
  }
}
