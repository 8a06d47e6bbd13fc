package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.EndpointLimit.Statement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Load pattern: an endpoint in need names a request limit, changes it and withdraws it, while
 * responses of several connections are read out of order. Guards against a limit that ends or rises
 * by an old response, and against one that stays after it was withdrawn.
 */
class EndpointLimitTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final EndpointLimit limit = new EndpointLimit();

  @ParameterizedTest
  @ValueSource(
      strings = {"nan", "NaN", "-1", "-0", "", " ", "1, 2", "1e300", "1e1", "inf", "0x1", "١"})
  void ignoresMalformedStatement(String value) {
    apply(StatedLimit.of(1.5), 0, 10);

    assertThat(StatedLimit.parse(List.of(value))).isEqualTo(StatedLimit.INVALID);
    assertThat(apply(StatedLimit.parse(List.of(value)), 20, 30)).isFalse();
    assertThat(limit.perSecond()).hasValue(1.5);
  }

  @Test
  void ignoresStatementWithTwoValues() {
    assertThat(StatedLimit.parse(List.of("1", "1"))).isEqualTo(StatedLimit.INVALID);
  }

  @Test
  void readsDecimalNumbersAndAbsence() {
    assertThat(StatedLimit.parse(List.of(" 1.75 "))).isEqualTo(StatedLimit.of(1.75));
    assertThat(StatedLimit.parse(List.of("20"))).isEqualTo(StatedLimit.of(20));
    assertThat(StatedLimit.parse(List.of("0")).isLimit()).isTrue();
    assertThat(StatedLimit.parse(List.of())).isEqualTo(StatedLimit.NONE);
    assertThatThrownBy(() -> StatedLimit.of(Double.NaN)).hasMessageContaining("given NaN");
  }

  @Test
  void followsCertainlyNewerStatements() {
    assertThat(apply(StatedLimit.of(1.5), 0, 10)).isTrue();
    assertThat(apply(StatedLimit.of(1.5), 5, 20)).isFalse();
    assertThat(apply(StatedLimit.of(4), 20, 30)).isTrue();
    assertThat(limit.perSecond()).hasValue(4);
    assertThat(apply(StatedLimit.NONE, 40, 50)).isTrue();
    assertThat(limit.isLimited()).isFalse();
  }

  /** The response without a limit was on its way when the endpoint began to state one. */
  @Test
  void keepsTheLimitWhenAnEarlierResponseIsReadLater() {
    apply(StatedLimit.of(1.5), 0, 10);

    assertThat(apply(StatedLimit.NONE, 5, 3_000)).isFalse();
    assertThat(limit.perSecond()).hasValue(1.5);
  }

  @Test
  void appliesTheLowerLimitWhenTheOrderIsNotCertain() {
    apply(StatedLimit.of(3), 0, 10);

    assertThat(apply(StatedLimit.of(1), 5, 20)).isTrue();
    assertThat(apply(StatedLimit.of(3), 15, 30)).isFalse();
    assertThat(limit.perSecond()).hasValue(1);
    assertThat(apply(StatedLimit.of(3), 20, 40)).isTrue();
  }

  @Test
  void ignoresStatementThatIsCertainlyOlder() {
    apply(StatedLimit.of(3), 100, 110);

    assertThat(apply(StatedLimit.of(1), 20, 30)).isFalse();
    assertThat(limit.perSecond()).hasValue(3);
  }

  @Test
  void belongsToOneStartOfTheEndpoint() {
    apply(StatedLimit.of(1), 0, 10);

    limit.restarted();

    assertThat(limit.isLimited()).isFalse();
  }

  /** A report that took some milliseconds must not seem newer than it is. */
  @Test
  void doesNotTrustTheTimesOfReportsExactly() {
    apply(StatedLimit.of(1), 0, 1_000);
    Statement reported =
        Statement.reported(StatedLimit.NONE, Duration.ofMillis(50), Duration.ZERO, 1_060 * MILLI);

    assertThat(limit.apply(reported)).isFalse();
    assertThat(limit.isLimited()).isTrue();
  }

  /**
   * Two gateways that report the same statement to each other must not make it newer each time, or
   * the limit never ends.
   */
  @Test
  void endsAfterManyReportsOfTheSameStatement() {
    EndpointLimit other = new EndpointLimit();
    apply(StatedLimit.of(1), 0, 10);
    EndpointLimit from = limit;
    EndpointLimit to = other;
    long now = 10 * MILLI;
    for (int i = 0; i < 1_000; i++) {
      Statement newest = from.newest().orElseThrow();
      Duration sentAgo = Duration.ofNanos(now - newest.sentNanos());
      Duration readAgo = Duration.ofNanos(now - newest.readNanos());
      now += 2 * MILLI;
      to.apply(Statement.reported(newest.limit(), sentAgo, readAgo, now));
      EndpointLimit next = from;
      from = to;
      to = next;
    }

    assertThat(limit.newest().orElseThrow().readNanos()).isEqualTo(10 * MILLI);
    assertThat(other.newest().orElseThrow().readNanos()).isLessThanOrEqualTo(20 * MILLI);
    assertThat(apply(StatedLimit.NONE, 200, 210)).isTrue();
  }

  private boolean apply(StatedLimit stated, long sentMillis, long readMillis) {
    return limit.apply(new Statement(stated, sentMillis * MILLI, readMillis * MILLI));
  }
}
