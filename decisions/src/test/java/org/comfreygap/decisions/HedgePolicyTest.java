package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.Set;
import org.comfreygap.decisions.HedgePolicy.First;
import org.comfreygap.decisions.HedgePolicy.Limits;
import org.comfreygap.decisions.HedgePolicy.Retries;
import org.comfreygap.decisions.HedgePolicy.Room;
import org.comfreygap.settings.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against second attempts that cost more than they bring. */
class HedgePolicyTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final String POOL = "app";
  private static final RequestKind KIND = RequestKind.SAFE;
  private static final Room ROOM = new Room(HedgeVerdict.SEND, 0, 50, 100);
  private static final Retries PLENTY = new Retries(20, 20);
  private static final long NOW = 5 * SECOND;

  @Test
  void sendsWhenTheFirstAttemptIsSlowAndThereIsRoom() {
    HedgePolicy policy = learned(0.05);

    assertThat(policy.delayNanos(POOL, KIND, NOW).getAsLong()).isBetween(95 * MILLI, 106 * MILLI);
    assertThat(policy.decide(first(), ROOM, PLENTY, NOW)).isEqualTo(HedgeVerdict.SEND);
    assertThat(policy.write(first(), PLENTY, NOW)).isEqualTo(HedgeVerdict.SEND);
  }

  @Test
  void waitsAtLeastTheLeastDelay() {
    HedgePolicy policy = new HedgePolicy(limits(0.05, 250), 0);
    learn(policy);

    assertThat(policy.delayNanos(POOL, KIND, NOW)).hasValue(250 * MILLI);
  }

  @Test
  void knowsNoDelayBeforeEnoughAttempts() {
    HedgePolicy policy = new HedgePolicy(limits(0.05, 1), 0);
    policy.recordOutput(POOL, KIND, MILLI, 0);

    assertThat(policy.delayNanos(POOL, KIND, NOW)).isEmpty();
    assertThat(policy.decide(first(), ROOM, PLENTY, NOW)).isEqualTo(HedgeVerdict.NOT_LEARNED);
  }

  @Test
  void leavesOutSuspectsAndRequestsThatMayNotRunAgain() {
    HedgePolicy policy = learned(0.05);

    assertThat(policy.decide(first(true, true, true, SECOND, 0), ROOM, PLENTY, NOW))
        .isEqualTo(HedgeVerdict.SUSPECT);
    assertThat(policy.decide(first(true, false, false, SECOND, 0), ROOM, PLENTY, NOW))
        .isEqualTo(HedgeVerdict.ATTEMPTS_USED);
    assertThat(policy.covers(RequestKind.UNSAFE)).isFalse();
    assertThat(policy.covers(RequestKind.STREAM)).isFalse();
  }

  /** The first attempt may end, or answer, while the connection of the second is opened. */
  @Test
  void doesNotWriteOnceTheFirstAttemptIsNotAwaited() {
    HedgePolicy policy = learned(0.05);
    assertThat(policy.decide(first(), ROOM, PLENTY, NOW)).isEqualTo(HedgeVerdict.SEND);

    assertThat(policy.write(first(false, false, true, SECOND, 0), PLENTY, NOW))
        .isEqualTo(HedgeVerdict.FIRST_NOT_AWAITED);
  }

  @Test
  void sendsNothingAfterTheLastUsefulMoment() {
    HedgePolicy policy = learned(0.05);

    assertThat(policy.decide(first(true, false, true, 40 * MILLI, 0), ROOM, PLENTY, NOW))
        .isEqualTo(HedgeVerdict.DEADLINE_NEAR);
    assertThat(policy.decide(first(true, false, true, SECOND, 130 * MILLI), ROOM, PLENTY, NOW))
        .isEqualTo(HedgeVerdict.TARGET_MISSED);
    assertThat(policy.decide(first(true, false, true, SECOND, 400 * MILLI), ROOM, PLENTY, NOW))
        .isEqualTo(HedgeVerdict.SEND);
  }

  @Test
  void sendsNothingAtOverload() {
    HedgePolicy policy = learned(0.05);

    assertThat(policy.decide(first(), new Room(HedgeVerdict.SEND, 1, 50, 100), PLENTY, NOW))
        .isEqualTo(HedgeVerdict.REQUESTS_WAIT);
    assertThat(policy.decide(first(), new Room(HedgeVerdict.SEND, 0, 24, 100), PLENTY, NOW))
        .isEqualTo(HedgeVerdict.PLACES_SHORT);
    Room full = new Room(HedgeVerdict.ALTERNATIVE_FULL, 0, 50, 100);
    assertThat(policy.decide(first(), full, PLENTY, NOW)).isEqualTo(HedgeVerdict.ALTERNATIVE_FULL);
  }

  @Test
  void leavesHalfOfTheRetryBudgetToRetries() {
    HedgePolicy policy = learned(0.05);

    assertThat(policy.decide(first(), ROOM, new Retries(0, 0), NOW))
        .isEqualTo(HedgeVerdict.BUDGET_KEPT);
    assertThat(policy.decide(first(), ROOM, new Retries(10, 20), NOW))
        .isEqualTo(HedgeVerdict.BUDGET_KEPT);
    assertThat(policy.decide(first(), ROOM, new Retries(11, 20), NOW)).isEqualTo(HedgeVerdict.SEND);
  }

  /** The fleet may have grown while the connection was opened. */
  @Test
  void obeysTheBudgetThatHasBecomeSmallerSinceTheDecision() {
    RetryBudgets budgets = new RetryBudgets(0, 12, Duration.ofSeconds(10), -20 * SECOND);
    HedgePolicy policy = learned(0.05);
    assertThat(policy.decide(first(), ROOM, retries(budgets, 4), NOW)).isEqualTo(HedgeVerdict.SEND);

    assertThat(policy.write(first(), retries(budgets, 12), NOW))
        .isEqualTo(HedgeVerdict.BUDGET_KEPT);
  }

  /** Load: 100 requests a second for two minutes, each of them slow. */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.01, 0.02, 0.05})
  void keepsToTheShareInEachWindow(double share) {
    HedgePolicy policy = new HedgePolicy(limits(share, 1), 0);
    long[] sentAt = new long[2_000];
    int sent = 0;
    for (int i = 0; i < 12_000; i++) {
      long now = i * 10 * MILLI;
      policy.requested(POOL, now);
      policy.recordOutput(POOL, KIND, 50 * MILLI, now);
      First slow = new First(POOL, KIND, true, false, true, now, now + SECOND, 0);
      if (policy.write(slow, PLENTY, now).sends()) {
        sentAt[sent] = now;
        sent++;
      }
    }

    long window = HedgePolicy.SHARE_WINDOW.toNanos();
    int most = (int) (share * 3_000) + 1;
    for (int i = most; i < sent; i++) {
      assertThat(sentAt[i] - sentAt[i - most]).isGreaterThan(window * 9 / 10);
    }
    assertThat(sent).isBetween((int) (share * 10_000), (int) (share * 12_000));
  }

  private static HedgePolicy learned(double share) {
    HedgePolicy policy = new HedgePolicy(limits(share, 1), 0);
    learn(policy);
    return policy;
  }

  /** Load: a thousand attempts, evenly from 0.1 to 100 ms. */
  private static void learn(HedgePolicy policy) {
    for (int i = 1; i <= 1_000; i++) {
      policy.requested(POOL, NOW);
      policy.recordOutput(POOL, KIND, i * MILLI / 10, NOW);
    }
  }

  private static Limits limits(double share, int minMillis) {
    return new Limits(share, Duration.ofMillis(minMillis), 0.95, Set.of(RequestKind.SAFE));
  }

  private static Retries retries(RetryBudgets budgets, int gateways) {
    OptionalInt known = OptionalInt.of(gateways);
    return new Retries(budgets.remaining(POOL, known, NOW), budgets.allowed(POOL, known, NOW));
  }

  private static First first() {
    return first(true, false, true, SECOND, 0);
  }

  /** Returns a request that arrived 100 ms ago. */
  private static First first(
      boolean awaited, boolean suspect, boolean runsLeft, long leftNanos, long targetNanos) {
    return new First(
        POOL, KIND, awaited, suspect, runsLeft, NOW - 100 * MILLI, NOW + leftNanos, targetNanos);
  }
}
