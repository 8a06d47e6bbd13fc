package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.concurrent.TimeUnit;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

/** Guards against a choice by a pace that is over, false or was never stated. */
class EndpointPaceTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long TENTH = SECOND / 10;
  private static final Offset<Double> CLOSE = within(0.05);

  private final EndpointPace pace = new EndpointPace();

  /** Load pattern: a seventh of the time 2.5 times slower, in spells of 600 ms. */
  @Test
  void spellCountsWhileItIsNewAndFadesToTheUsualPace() {
    long now = statedInSpells(160);
    assertThat(pace.usual()).isCloseTo(1.6, CLOSE);

    pace.stated(400, now);

    assertThat(pace.expected(now)).isCloseTo(4, CLOSE);
    assertThat(pace.expected(now, SECOND)).isBetween(2.4, 3.2);
    assertThat(pace.expected(now + 3 * SECOND)).isCloseTo(1.6, CLOSE);
  }

  @Test
  void fasterEndpointsAreHomeOfMoreAdapters() {
    EndpointPace fast = new EndpointPace();
    EndpointPace slow = new EndpointPace();
    fast.stated(60, 0);
    slow.stated(160, 0);

    assertThat(fast.homeDraws()).isGreaterThan(pace.homeDraws());
    assertThat(slow.homeDraws()).isLessThan(pace.homeDraws());
  }

  /** Guards against gateways that saw little and disagree on the homes of adapters. */
  @Test
  void usualPaceOfABetterObserverHoldsInsteadOfOwnStatements() {
    pace.stated(400, 0);
    pace.usualStated(160);
    pace.stated(400, SECOND);

    assertThat(pace.usual()).isCloseTo(1.6, CLOSE);
    assertThat(pace.homeDraws()).isEqualTo(1);
    assertThat(pace.expected(SECOND)).isCloseTo(4, CLOSE);
  }

  /** Load pattern: one statement in five is false. */
  @Test
  void usualPaceIsNotMovedBySomeFalseStatements() {
    long now = 0;
    for (int i = 0; i < 60; i++) {
      now += 2 * TENTH;
      pace.stated(i % 5 == 0 ? 1 : 100, now);
    }

    assertThat(pace.usual()).isCloseTo(1, CLOSE);
    assertThat(pace.homeDraws()).isEqualTo(new EndpointPace().homeDraws());
  }

  /** Load pattern: an endpoint always states that it is fast, and its streams are slow. */
  @Test
  void measuredPaceBoundsOneThatIsAlwaysFalse() {
    pace.stated(1, SECOND);
    pace.measured(4);

    assertThat(pace.usual()).isGreaterThanOrEqualTo(2);
    assertThat(pace.expected(SECOND)).isGreaterThanOrEqualTo(2);
  }

  @Test
  void boundsWhatIsStated() {
    pace.stated(Integer.MAX_VALUE, SECOND);

    assertThat(pace.expected(SECOND)).isEqualTo(EndpointPace.MAX_FACTOR);
  }

  @Test
  void withoutAStatementThePaceIsTheUsualTime() {
    assertThat(pace.isKnown()).isFalse();
    assertThat(pace.expected(SECOND)).isEqualTo(1);
  }

  /** Load pattern: spells at 2.5 times the usual time, the last one a moment ago. */
  @Test
  void plansForASpellThatMayBegin() {
    long now = statedInSpells(60);

    assertThat(pace.expected(now)).isCloseTo(0.6, CLOSE);
    assertThat(pace.cautious(now)).isCloseTo(1.05, CLOSE);
  }

  /** Guards against a status that was long on its way and replaces a newer head of a response. */
  @Test
  void ignoresAStatementOlderThanTheLast() {
    pace.stated(250, SECOND);
    pace.stated(100, SECOND - TENTH);

    assertThat(pace.lastPercent()).isEqualTo(250);
    assertThat(pace.ageNanos(SECOND + TENTH)).isEqualTo(TENTH);
  }

  private long statedInSpells(int usual) {
    long now = 0;
    for (int i = 0; i < 84; i++) {
      now += TENTH;
      pace.stated(i % 42 < 6 ? usual * 5 / 2 : usual, now);
    }
    return now;
  }
}
