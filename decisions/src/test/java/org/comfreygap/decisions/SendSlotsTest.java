package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: senders ask for slots at random times, several times as often as the limit allows,
 * while the limit changes. Guards against bursts after idle times, against slots of an old limit,
 * and against a customer that takes them all.
 */
class SendSlotsTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long WINDOW = 4 * SECOND;

  @Test
  void usesMostOfTheLimitAndNeverMoreThanItAllows() {
    for (double rate : new double[] {0.5, 1.5, 1.7, 8, 50}) {
      List<Long> sends = play(rate, 3 * rate, 60 * SECOND, 400 * MILLI, 7);

      assertThat(mostWithin(sends, WINDOW)).isLessThanOrEqualTo((int) (rate * 4) + 2);
      assertThat(sends.size()).isGreaterThanOrEqualTo((int) (0.8 * rate * 60));
    }
  }

  @Test
  void doesNotBurstAfterAnIdleTime() {
    SendSlots slots = new SendSlots(1.5, 0);
    long now = 3_600 * SECOND;
    int immediate = 0;
    while (slots.reserve(1.5, 0, 1, now) == 0) {
      immediate++;
    }

    assertThat(immediate).isEqualTo(2);
  }

  /** A new limiter does not know what its predecessor granted a moment ago. */
  @Test
  void beginsWithoutAFreeSlot() {
    SendSlots slots = new SendSlots(2, 0);

    assertThat(slots.reserve(2, 400 * MILLI, 1, 0)).isEqualTo(SendSlots.NONE);
    assertThat(slots.waitNanos(2, 0)).isEqualTo(500 * MILLI);
  }

  @Test
  void reservesFewSlotsAheadSoThatALowerLimitHoldsSoon() {
    SendSlots slots = new SendSlots(100, 0);
    int ahead = 0;
    for (int customer = 0; slots.reserve(100, SECOND, customer, 0) >= 0; customer++) {
      ahead++;
    }

    assertThat(ahead).isLessThanOrEqualTo(SendSlots.MAX_AHEAD);
    assertThat(slots.reserve(0.5, SECOND, 99, 100 * MILLI)).isNotNegative();
    assertThat(slots.waitNanos(0.5, 100 * MILLI)).isGreaterThan(SECOND);
  }

  @Test
  void followsARaisedLimitAtOnce() {
    SendSlots slots = new SendSlots(0.25, 0);

    assertThat(slots.waitNanos(0.25, 0)).isEqualTo(4 * SECOND);
    assertThat(slots.waitNanos(100, 0)).isEqualTo(10 * MILLI);
  }

  /** A response is the only way to learn that the endpoint takes requests again. */
  @Test
  void grantsARareSendWhenNoneAreTaken() {
    List<Long> sends = play(0, 5, 60 * SECOND, 400 * MILLI, 3);

    assertThat(sends).hasSizeBetween(10, 16);
  }

  @Test
  void sharesSlotsAmongCustomers() {
    SendSlots slots = new SendSlots(10, 0);
    Random random = new Random(5);
    int[] granted = new int[2];
    for (long now = 0; now < 60 * SECOND; now += 5 * MILLI) {
      // The second customer asks ten times as often.
      int customer = random.nextInt(11) == 0 ? 0 : 1;
      granted[customer] += slots.reserve(10, 400 * MILLI, customer, now) >= 0 ? 1 : 0;
    }

    assertThat(granted[0]).isGreaterThanOrEqualTo((granted[0] + granted[1]) * 3 / 10);
  }

  @Test
  void leavesTheLastSlotsToUrgentSenders() {
    long urgent = SendSlots.maxWaitNanos(400 * MILLI, 0);
    long deferrable = SendSlots.maxWaitNanos(400 * MILLI, 6);

    assertThat(urgent).isEqualTo(400 * MILLI);
    assertThat(deferrable).isEqualTo(100 * MILLI);
    assertThat(SendSlots.maxWaitNanos(-1, 0)).isZero();
  }

  private static List<Long> play(
      double rate, double demand, long duration, long maxWait, long seed) {
    Random random = new Random(seed);
    SendSlots slots = new SendSlots(rate, 0);
    List<Long> sends = new ArrayList<>();
    long now = 0;
    while (now < duration) {
      now += (long) (-Math.log(1 - random.nextDouble()) / demand * SECOND);
      long wait = slots.reserve(rate, maxWait, random.nextInt(5), now);
      if (wait >= 0) {
        sends.add(now + wait);
      }
    }
    return sends;
  }

  static int mostWithin(List<Long> sends, long window) {
    int most = 0;
    int first = 0;
    List<Long> sorted = sends.stream().sorted().toList();
    for (int i = 0; i < sorted.size(); i++) {
      while (sorted.get(i) - sorted.get(first) > window) {
        first++;
      }
      most = Math.max(most, i - first + 1);
    }
    return most;
  }
}
