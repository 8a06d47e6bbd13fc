package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.ReadingGate.Grant;
import org.comfreygap.decisions.ReadingGate.Prompt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against prompts that pause the running streams for longer than their callers accept. */
class ReadingGateTest {

  private static final long PAUSE = 300_000;
  private static final long EVENT = 31_000;
  private static final long READ = 76_000;
  private static final long NEVER = 3_600_000_000L;
  private static final int RUNNING = 10;

  private final ReadingGate gate = new ReadingGate();

  /** Load pattern: 30 gateways send prompts of different sizes without pause. */
  @ParameterizedTest
  @ValueSource(doubles = {0.6, 1, 1.6})
  void noSpanHasMoreToReadThanThePauseAllows(double pace) {
    Random random = new Random(5);
    List<long[]> sent = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < 600; i++) {
      now += TimeUnit.MICROSECONDS.toNanos(random.nextInt(60_000));
      long read = random.nextInt((int) READ);
      Grant grant = request(read, 30_000, false, pace, now);
      if (grant.granted()) {
        sent.add(new long[] {now / 1_000 + grant.waitMicros(), read});
      }
    }
    double budget = ReadingGate.budgetMicros(PAUSE, EVENT, pace);
    for (long[] last : sent) {
      long inSpan =
          sent.stream()
              .filter(one -> one[0] <= last[0] && one[0] > last[0] - PAUSE + 1)
              .mapToLong(one -> one[1])
              .sum();
      assertThat((double) inSpan).isLessThanOrEqualTo(budget);
    }
    assertThat(sent).hasSizeGreaterThan(50);
  }

  /** Load pattern: eight requests waited for one adapter, which is loaded now. */
  @Test
  void spreadsPromptsThatAreReleasedTogether() {
    List<Long> waits = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      waits.add(request(READ, NEVER, false, 1, 0).waitMicros());
    }

    assertThat(waits).isSorted().startsWith(0L, 0L, PAUSE, PAUSE);
  }

  @Test
  void refusesWhatAnotherEngineCanReadSooner() {
    request(READ, 0, false, 1, 0);
    request(READ, 0, false, 1, 0);

    Grant grant = request(READ, 30_000, false, 1, 0);

    assertThat(grant.granted()).isFalse();
    assertThat(grant.waitMicros()).isEqualTo(PAUSE);
  }

  /** Load pattern: an engine at four times the usual time cannot read a prompt in one pause. */
  @Test
  void slowEngineReadsAPromptOnlyWhileNoStreamRuns() {
    assertThat(request(READ, NEVER, false, 4, 0).granted()).isFalse();

    Prompt prompt = new Prompt(READ, EVENT, PAUSE, 0, false);
    assertThat(gate.request(prompt, 4, 4, 0, 0).granted()).isTrue();
    assertThat(gate.request(prompt, 4, 4, 0, 0).granted()).isFalse();
  }

  @Test
  void promptThatMustBeSentWaitsNoLongerThanItMay() {
    for (int i = 0; i < 5; i++) {
      Grant grant = request(READ, 150_000, true, 4, 0);
      assertThat(grant.granted()).isTrue();
      assertThat(grant.waitMicros()).isLessThanOrEqualTo(150_000);
    }
    assertThat(gate.readingMicros(TimeUnit.MICROSECONDS.toNanos(PAUSE), 0)).isEqualTo(5 * READ);
  }

  /** Load pattern: a spell may begin before the prompt is read; without a choice it is sent. */
  @Test
  void keepsRoomForASpellWhileThereIsAChoice() {
    Prompt prompt = new Prompt(READ, EVENT, PAUSE, 0, false);
    gate.request(prompt, 1, 1.75, RUNNING, 0);

    assertThat(gate.request(prompt, 1, 1.75, RUNNING, 0).granted()).isFalse();
    Prompt must = new Prompt(READ, EVENT, PAUSE, 0, true);
    assertThat(gate.request(must, 1, 1.75, RUNNING, 0)).isEqualTo(new Grant(true, 0));
  }

  @Test
  void forgetsWhatAnEarlierStartWasGiven() {
    request(READ, 0, true, 1, 0);
    gate.restarted();

    assertThat(gate.readingMicros(TimeUnit.MICROSECONDS.toNanos(PAUSE), 0)).isZero();
  }

  private Grant request(long read, long maxWait, boolean must, double pace, long nowNanos) {
    return gate.request(
        new Prompt(read, EVENT, PAUSE, maxWait, must), pace, pace, RUNNING, nowNanos);
  }
}
