package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.comfreygap.decisions.HedgeRace.Move;
import org.junit.jupiter.api.Test;

/** Guards against a request of two attempts that gets both responses, or none. */
class HedgeRaceTest {

  private final HedgeRace race = new HedgeRace();

  @Test
  void goesOnWithTheSecondWhoseOutputComesFirst() {
    beginAndWrite();

    assertThat(race.secondUseful()).isEqualTo(Move.DROP_FIRST);
    assertThat(race.runsBoth()).isFalse();
  }

  @Test
  void letsOneOfTwoGoOnWhenBothAnswerAtOnce() {
    beginAndWrite();

    assertThat(race.firstUseful()).isEqualTo(Move.DROP_SECOND);
    assertThat(race.secondUseful()).isEqualTo(Move.NONE);
  }

  @Test
  void ignoresTheLoserThatIsLate() {
    beginAndWrite();
    race.secondUseful();

    assertThat(race.firstUseful()).isEqualTo(Move.NONE);
  }

  @Test
  void ignoresTheLoserThatFailsAfterTheWin() {
    beginAndWrite();
    race.firstUseful();

    race.secondFailed();
    assertThat(race.runsBoth()).isFalse();
    assertThat(race.begin()).isFalse();
  }

  /** The request is then judged as one with a single attempt: no third one is begun here. */
  @Test
  void leavesTheWinnerThatFailsMidwayToRetries() {
    beginAndWrite();
    race.secondUseful();

    assertThat(race.firstFailed()).isEqualTo(Move.NONE);
    assertThat(race.begin()).isFalse();
  }

  @Test
  void goesOnWithTheSecondWhenTheFirstFails() {
    beginAndWrite();

    assertThat(race.firstFailed()).isEqualTo(Move.GO_ON_WITH_SECOND);
    assertThat(race.secondUseful()).isEqualTo(Move.NONE);
  }

  @Test
  void goesOnWithTheFirstWhenTheSecondFails() {
    beginAndWrite();
    race.secondFailed();

    assertThat(race.firstUseful()).isEqualTo(Move.NONE);
  }

  @Test
  void judgesFailureOfBothAsThatOfOne() {
    beginAndWrite();
    race.secondFailed();

    assertThat(race.firstFailed()).isEqualTo(Move.NONE);
    assertThat(race.begin()).isFalse();
  }

  @Test
  void doesNotWriteOnceTheFirstHasAnsweredOrFailed() {
    assertThat(race.begin()).isTrue();
    assertThat(race.firstUseful()).isEqualTo(Move.DROP_SECOND);
    assertThat(race.write()).isFalse();

    HedgeRace other = new HedgeRace();
    other.begin();
    assertThat(other.firstFailed()).isEqualTo(Move.DROP_SECOND);
    assertThat(other.write()).isFalse();
  }

  @Test
  void endsTheSecondWithTheRequest() {
    beginAndWrite();

    assertThat(race.requestEnded()).isEqualTo(Move.DROP_SECOND);
    assertThat(race.secondUseful()).isEqualTo(Move.NONE);
  }

  private void beginAndWrite() {
    assertThat(race.begin()).isTrue();
    assertThat(race.write()).isTrue();
  }
}
