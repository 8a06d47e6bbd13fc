package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.StreamOrigins.Origin;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a base that is relied on after it may have changed. */
class KnownBaseTest {

  private static final Origin BASE = new Origin("app", "v1");

  @ParameterizedTest
  @CsvSource({
    // seconds by the monotonic clock, by the time of day, expected
    "1, 1, true",
    "149, 149, true",
    "151, 151, false",
    // Suspended for ten minutes.
    "1, 600, false",
    // The time of day was set back.
    "100, -3000, true",
    "151, -3000, false"
  })
  void isReliedOnForItsLifetimeByEitherClock(long monotonic, long wall, boolean expected) {
    KnownBase base = new KnownBase(BASE, 5, 1_000_000);

    assertThat(base.covers(BASE, 5 + TimeUnit.SECONDS.toNanos(monotonic), 1_000_000 + wall * 1_000))
        .isEqualTo(expected);
    assertThat(base.covers(new Origin("app", "v2"), 6, 1_000_001)).isFalse();
  }
}
