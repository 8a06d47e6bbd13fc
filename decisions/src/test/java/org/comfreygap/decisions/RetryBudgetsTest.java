package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against retries at one pool of endpoints beyond the bound of the fleet. */
class RetryBudgetsTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long MILLI = 1_000_000L;
  private static final long STEP = SECOND / 20;
  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final double RATIO = 0.2;
  private static final double EXTRA = 64;

  /** Requests for a busy pool must not pay for retries at another one, where all fail. */
  @Test
  void countsRequestsOfEachPoolByThemselves() {
    RetryBudgets budgets = new RetryBudgets(RATIO, 0, WINDOW, 0);
    for (int i = 0; i < 100; i++) {
      budgets.requested("engines", SECOND);
    }
    for (int i = 0; i < 10; i++) {
      budgets.requested("app", SECOND);
    }

    assertThat(retries(budgets, "app", OptionalInt.of(1), SECOND)).isEqualTo(2);
    assertThat(retries(budgets, "engines", OptionalInt.of(1), SECOND)).isEqualTo(20);
  }

  /** The process before may have spent the part of the fixed number just before it ended. */
  @Test
  void takesNoPartOfTheFixedNumberInTheFirstWindow() {
    RetryBudgets budgets = new RetryBudgets(RATIO, EXTRA, WINDOW, 0);

    assertThat(retries(budgets, "app", OptionalInt.of(8), 9 * SECOND)).isZero();
    assertThat(retries(budgets, "app", OptionalInt.of(8), 10 * SECOND)).isEqualTo(8);
  }

  /** A gateway that has no contact with control may be one of many. */
  @Test
  void takesNoPartOfTheFixedNumberWhileTheFleetIsNotKnown() {
    RetryBudgets budgets = new RetryBudgets(RATIO, EXTRA, WINDOW, 0);

    assertThat(retries(budgets, "app", OptionalInt.empty(), 30 * SECOND)).isZero();
  }

  /** Pools that are renamed again and again must not fill the memory with windows. */
  @Test
  void forgetsPoolsWithoutRequests() {
    RetryBudgets budgets = new RetryBudgets(RATIO, EXTRA, WINDOW, 0);
    for (int i = 0; i < 1_000; i++) {
      budgets.requested("pool-" + i, i * SECOND);
    }

    assertThat(budgets.size()).isLessThanOrEqualTo(12);
    assertThat(budgets.remaining("pool-999", OptionalInt.empty(), 1_000 * SECOND)).isPositive();
  }

  /** Retries that waited for an endpoint must not be written together with those allowed later. */
  @ParameterizedTest
  @ValueSource(longs = {1_200, 9_000, 30_000})
  void countsARetryWhenItIsWritten(long longestWaitMillis) {
    Random random = new Random(longestWaitMillis);
    RetryBudgets budgets = new RetryBudgets(0, EXTRA, WINDOW, -60 * SECOND);
    Map<Long, List<Long>> waiting = new HashMap<>();
    Deque<Long> written = new ArrayDeque<>();
    int most = 0;
    for (long now = 0; now < 300 * SECOND; now += STEP) {
      while (random.nextInt(20) > 0 && budgets.tryRetry("app", OptionalInt.of(1), now)) {
        long wait = (long) (random.nextDouble() * longestWaitMillis * MILLI / STEP) * STEP;
        waiting.computeIfAbsent(now + wait, at -> new ArrayList<>()).add(now);
      }
      for (long counted : Optional.ofNullable(waiting.remove(now)).orElse(List.of())) {
        if (budgets.recount("app", counted, OptionalInt.of(1), now)) {
          written.addLast(now);
        }
      }
      long begin = now - WINDOW.toNanos();
      written.removeIf(at -> at <= begin);
      most = Math.max(most, written.size());
    }
    assertThat(most).isPositive().isLessThanOrEqualTo((int) EXTRA);
  }

  /** A retry that was allowed before a suspension must not be written after the part is lost. */
  @Test
  void refusesAWaitingRetryWhenThePartIsLost() {
    RetryBudgets budgets = new RetryBudgets(0, 2, WINDOW, -60 * SECOND);
    assertThat(budgets.tryRetry("app", OptionalInt.of(1), 0)).isTrue();
    assertThat(budgets.tryRetry("app", OptionalInt.of(1), 0)).isTrue();

    assertThat(budgets.recount("app", 0, OptionalInt.empty(), SECOND)).isFalse();
    assertThat(budgets.recount("app", 0, OptionalInt.of(1), SECOND)).isTrue();
    assertThat(budgets.remaining("app", OptionalInt.of(1), SECOND)).isEqualTo(1);
  }

  /**
   * Load pattern: all requests for one pool fail, a second pool is busy, all gateways are killed at
   * once, and control knows the gateways that are back one by one.
   */
  @ParameterizedTest
  @CsvSource({"4, 1", "4, 2", "30, 1", "30, 2", "300, 1"})
  void staysWithinTheBoundOfTheFleetAroundAKillOfAllGateways(int gateways, long seed) {
    Random random = new Random(seed);
    Map<String, Deque<Long>> requests = new HashMap<>();
    Map<String, Deque<Long>> retries = new HashMap<>();
    List.of("app", "engines").forEach(pool -> requests.put(pool, new ArrayDeque<>()));
    List.of("app", "engines").forEach(pool -> retries.put(pool, new ArrayDeque<>()));
    List<Gateway> fleet = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      fleet.add(new Gateway(-60 * SECOND));
    }
    for (long now = -30 * SECOND; now < 60 * SECOND; now += STEP) {
      int back = now < 0 ? gateways : (int) Math.min(gateways, 1 + now / STEP * gateways / 60);
      for (int i = 0; i < gateways; i++) {
        if (now == 0) {
          fleet.set(i, new Gateway(random.nextInt(20) * STEP));
        }
        Gateway gateway = fleet.get(i);
        gateway.fleet.reported(back, now, now / MILLI, now);
        for (String pool : requests.keySet()) {
          if (random.nextInt(gateways) == 0 || (pool.equals("engines") && i % 2 == 0)) {
            gateway.budgets.requested(pool, now);
            requests.get(pool).addLast(now);
          }
          if (gateway.budgets.tryRetry(pool, gateway.fleet.known(now, now / MILLI), now)) {
            retries.get(pool).addLast(now);
          }
        }
      }
      for (String pool : requests.keySet()) {
        long begin = now - WINDOW.toNanos();
        retries.get(pool).removeIf(at -> at <= begin);
        // Requests of the window before may be counted as well.
        requests.get(pool).removeIf(at -> at <= begin - WINDOW.toNanos());
        assertThat((double) retries.get(pool).size())
            .as("retries at %s at %s ms", pool, now / MILLI)
            .isLessThanOrEqualTo(RATIO * requests.get(pool).size() + EXTRA);
      }
    }
  }

  /**
   * Guards against shares of the bound that do not add up: those of gateways whose windows are
   * fullest at different times, and those of two starts of a gateway within a window. Load pattern:
   * most requests for a pool fail, and some gateways are killed meanwhile.
   */
  @Tag("known-red")
  @ParameterizedTest
  @CsvSource({"0, 1", "0, 2", "0, 3", "6, 1", "6, 2", "6, 3"})
  void staysWithinTheBoundInEveryWindowOfTheFleet(int killedGateways, long seed) {
    int gateways = 8;
    Random random = new Random(seed);
    List<Gateway> fleet = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      fleet.add(new Gateway(-60 * SECOND));
    }
    List<Long> requests = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    for (long now = -30 * SECOND; now < 40 * SECOND; now += STEP) {
      for (int i = 0; i < gateways; i++) {
        boolean killed = i < killedGateways && now >= 9 * SECOND && now < 10 * SECOND;
        if (killed) {
          fleet.set(i, new Gateway(10 * SECOND));
        }
        fleet.get(i).fleet.reported(gateways, now, now / MILLI, now);
        // Six requests a second at each gateway; those at a killed one count as requests too.
        if (random.nextInt(10) >= 3) {
          continue;
        }
        requests.add(now);
        if (!killed) {
          fleet.get(i).budgets.requested("app", now);
          boolean fails = now >= 3 * SECOND && random.nextInt(5) > 0;
          OptionalInt known = fleet.get(i).fleet.known(now, now / MILLI);
          if (fails && fleet.get(i).budgets.tryRetry("app", known, now)) {
            retries.add(now);
          }
        }
      }
    }

    for (long begin : retries) {
      long end = begin + WINDOW.toNanos();
      long half = WINDOW.toNanos() / 2;
      long counted =
          LongStream.of(begin, begin - half, begin - 2 * half)
              .map(from -> within(requests, from, from + 2 * half))
              .max()
              .orElseThrow();
      assertThat((double) within(retries, begin, end))
          .as("retries from %s ms on, for %s requests", begin / MILLI, counted)
          .isLessThanOrEqualTo(RATIO * counted + EXTRA);
    }
  }

  private static long within(List<Long> times, long from, long to) {
    return times.stream().filter(at -> at >= from && at < to).count();
  }

  private static int retries(RetryBudgets budgets, String pool, OptionalInt gateways, long now) {
    int allowed = 0;
    while (budgets.tryRetry(pool, gateways, now)) {
      allowed++;
    }
    return allowed;
  }

  private static final class Gateway {

    private final RetryBudgets budgets;
    private final KnownFleet fleet = new KnownFleet(WINDOW);

    Gateway(long startNanos) {
      budgets = new RetryBudgets(RATIO, EXTRA, WINDOW, startNanos);
    }
  }
}
