package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.LimiterChoice.Candidate;
import org.junit.jupiter.api.Test;

/**
 * Guards against two gateways that grant the sends to one endpoint at the same time, because one of
 * them has an outdated view of the membership or was suspended.
 */
class LimiterChoiceTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final Duration HANDOVER = Duration.ofSeconds(3);
  private static final long ENDPOINT = AdapterHomes.hash("i-1");
  private static final long STEP = 200 * MILLI;

  private final List<Candidate> all = gateways(6);
  private long now;

  @Test
  void prefersGatewaysOfTheEndpointsZone() {
    LimiterChoice choice = new LimiterChoice("g0", HANDOVER);
    advance(choice, all, List.of(), true, STEP);

    for (String zone : List.of("z0", "z1", "z2")) {
      assertThat(choice.limiter(ENDPOINT, zone)).map(Candidate::zone).hasValue(zone);
    }
    assertThat(choice.limiter(ENDPOINT, "elsewhere")).isPresent();
  }

  @Test
  void exactlyOneGatewayGrantsOnceViewsAgreeForTheHandoverTime() {
    List<LimiterChoice> choices =
        all.stream().map(one -> new LimiterChoice(one.processId(), HANDOVER)).toList();
    for (int i = 0; i < 14; i++) {
      assertThat(granting(choices)).isZero();
      choices.forEach(choice -> choice.update(all, List.of(), true, now));
      now += STEP;
    }
    advanceAll(choices, all, HANDOVER.toNanos());

    assertThat(granting(choices)).isEqualTo(1);
  }

  @Test
  void successorWaitsUntilThePredecessorsViewHasEnded() {
    Candidate limiter = limiter();
    Candidate next = limiterWithout(limiter);
    LimiterChoice successor = new LimiterChoice(next.processId(), HANDOVER);
    advance(successor, all, List.of(), true, 10_000 * MILLI);
    List<Candidate> rest = all.stream().filter(one -> one != limiter).toList();

    advance(successor, rest, List.of(limiter.processId()), true, HANDOVER.toNanos() - STEP);
    assertThat(successor.limiter(ENDPOINT, "z0")).hasValue(next);
    assertThat(successor.mayGrant(ENDPOINT, "z0", now)).isFalse();
    advance(successor, rest, List.of(limiter.processId()), true, 3 * STEP);

    assertThat(successor.mayGrant(ENDPOINT, "z0", now)).isTrue();
  }

  @Test
  void stopsWithoutConfirmationAndWaitsAfterIt() {
    LimiterChoice choice = ready();

    advance(choice, all, List.of(), false, STEP);
    assertThat(choice.mayGrant(ENDPOINT, "z0", now)).isFalse();
    advance(choice, all, List.of(), true, STEP);
    assertThat(choice.mayGrant(ENDPOINT, "z0", now)).isFalse();
    advance(choice, all, List.of(), true, HANDOVER.toNanos() + STEP);

    assertThat(choice.mayGrant(ENDPOINT, "z0", now)).isTrue();
  }

  @Test
  void doesNotGrantRightAfterASuspension() {
    LimiterChoice choice = ready();

    now += 20_000 * MILLI;
    assertThat(choice.mayGrant(ENDPOINT, "z0", now)).isFalse();
    choice.update(all, List.of(), true, now);

    assertThat(choice.mayGrant(ENDPOINT, "z0", now)).isFalse();
  }

  /** A new leader of control knows only the processes whose heartbeats it has received. */
  @Test
  void keepsTheLimiterWhileAViewLacksGatewaysForAMoment() {
    LimiterChoice choice = ready();

    advance(choice, List.of(), List.of(), true, LimiterChoice.ABSENCE_GRACE.toNanos() - 2 * STEP);
    assertThat(choice.mayGrant(ENDPOINT, "z0", now)).isTrue();
    advance(choice, all, List.of(), true, STEP);
    assertThat(choice.mayGrant(ENDPOINT, "z0", now)).isTrue();
    advance(choice, List.of(), List.of(), true, LimiterChoice.ABSENCE_GRACE.toNanos() + STEP);

    assertThat(choice.limiter(ENDPOINT, "z0")).isEmpty();
  }

  private LimiterChoice ready() {
    LimiterChoice choice = new LimiterChoice(limiter().processId(), HANDOVER);
    advance(choice, all, List.of(), true, HANDOVER.toNanos() + 2 * STEP);
    assertThat(choice.mayGrant(ENDPOINT, "z0", now)).isTrue();
    return choice;
  }

  private Candidate limiter() {
    return limiterOf(all);
  }

  private Candidate limiterWithout(Candidate one) {
    return limiterOf(all.stream().filter(other -> other != one).toList());
  }

  private static Candidate limiterOf(List<Candidate> candidates) {
    LimiterChoice choice = new LimiterChoice("other", HANDOVER);
    choice.update(candidates, List.of(), true, 0);
    return choice.limiter(ENDPOINT, "z0").orElseThrow();
  }

  private long granting(List<LimiterChoice> choices) {
    return choices.stream().filter(one -> one.mayGrant(ENDPOINT, "z0", now)).count();
  }

  private void advanceAll(List<LimiterChoice> choices, List<Candidate> view, long nanos) {
    for (long end = now + nanos; now <= end; now += STEP) {
      choices.forEach(choice -> choice.update(view, List.of(), true, now));
    }
    now -= STEP;
  }

  private void advance(
      LimiterChoice choice,
      List<Candidate> view,
      List<String> departed,
      boolean confirmed,
      long nanos) {
    for (long end = now + nanos; now < end; ) {
      now += STEP;
      choice.update(view, departed, confirmed, now);
    }
  }

  private static List<Candidate> gateways(int count) {
    List<Candidate> gateways = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      gateways.add(new Candidate("g" + i, "z" + i % 3, "10.0.0." + i + ":7606"));
    }
    return gateways;
  }
}
