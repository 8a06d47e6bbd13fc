package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against gateways that together spend more than the fixed number of retries. */
class KnownFleetTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long MILLI = 1_000_000L;
  private static final long STEP = SECOND / 10;
  private static final long HEARTBEAT = SECOND;
  private static final long ELECTED = 2 * SECOND;
  private static final long SETTLED = ELECTED + MembershipView.SETTLING.toNanos();
  private static final long END = 300 * SECOND;
  private static final double EXTRA_OF_EACH = 2.13;
  private static final Duration WINDOW = Duration.ofSeconds(10);

  /** What happens to a part of the fleet; the first gateway is always spared. */
  private enum Event {
    /** Cut off from control for 100 s, but not from the endpoints. */
    CUT_OFF(WINDOW, 100 * SECOND),
    /** Cut off for 8 s, a time that control takes for a departure if the list does not name it. */
    CUT_OFF_SHORTLY(WINDOW, 8 * SECOND),
    /** Cut off while the window is longer than the time for which a larger fleet is remembered. */
    CUT_OFF_WITH_A_LONG_WINDOW(Duration.ofSeconds(90), 150 * SECOND),
    /** Suspended for 90 s, with the monotonic clock standing still. */
    SUSPENDED(WINDOW, 90 * SECOND),
    /**
     * Killed with all others, which come back one after another within 45 s; meanwhile one in three
     * heartbeats is answered.
     */
    STARTED_ONE_BY_ONE(WINDOW, 45 * SECOND),
    /** Not yet known to a new leader when its view is settled, while one gateway restarts. */
    NEW_LEADER(WINDOW, 8 * SECOND);

    private final Duration window;
    private final long lengthNanos;

    Event(Duration window, long lengthNanos) {
      this.window = window;
      this.lengthNanos = lengthNanos;
    }
  }

  /** Load pattern: every request fails, none pays for a retry, and all gateways retry at once. */
  @ParameterizedTest
  @CsvSource({
    "CUT_OFF, 4, 10",
    "CUT_OFF, 30, 10",
    "CUT_OFF, 300, 1",
    "CUT_OFF_SHORTLY, 30, 10",
    "CUT_OFF_WITH_A_LONG_WINDOW, 30, 3",
    "SUSPENDED, 4, 10",
    "SUSPENDED, 30, 10",
    "SUSPENDED, 300, 1",
    "STARTED_ONE_BY_ONE, 4, 40",
    "STARTED_ONE_BY_ONE, 30, 20",
    "STARTED_ONE_BY_ONE, 300, 1",
    "NEW_LEADER, 4, 10",
    "NEW_LEADER, 30, 10",
    "NEW_LEADER, 300, 1"
  })
  void spendsAtMostTheFixedNumberInAnyWindow(Event event, int gateways, int seeds) {
    for (int seed = 1; seed <= seeds; seed++) {
      Fleet fleet = new Fleet(event, gateways, seed);

      int most = fleet.play();

      assertThat(most).as("retries with seed %s", seed).isLessThanOrEqualTo((int) fleet.extra);
      // A fleet in contact with control has the use of its fixed number again.
      assertThat(fleet.mostAtTheEnd).isGreaterThanOrEqualTo((int) (0.8 * 2 * gateways));
    }
  }

  /** The time for which a leader that was lost is replaced must not cost the fixed number. */
  @Test
  void staysKnownOverAnElection() {
    KnownFleet fleet = new KnownFleet(WINDOW);
    for (long now = 0; now <= 30 * SECOND; now += HEARTBEAT) {
      fleet.reported(30, now, now / MILLI, now);
    }
    long after = 39 * SECOND;

    assertThat(fleet.known(after, after / MILLI)).hasValue(30);
    fleet.reported(12, after, after / MILLI, after);
    assertThat(fleet.known(after, after / MILLI)).hasValue(30);
  }

  /** A wall clock that is set back must not make an old report count for longer. */
  @Test
  void countsTheAgeOfAReportByEitherClock() {
    KnownFleet fleet = new KnownFleet(WINDOW);
    for (long now = 0; now <= 30 * SECOND; now += HEARTBEAT) {
      fleet.reported(30, now, now / MILLI, now);
    }

    assertThat(fleet.known(41 * SECOND, 0)).isEmpty();
    assertThat(fleet.known(30 * SECOND, 41_000)).isEmpty();
    assertThat(fleet.known(40 * SECOND, 40_000)).isPresent();
  }

  private static final class Fleet {

    private final Event event;
    private final List<Gateway> gateways = new ArrayList<>();
    private final Deque<Long> spent = new ArrayDeque<>();
    private final long[] contact;
    private final Random random;
    private final double extra;
    private int mostAtTheEnd;

    Fleet(Event event, int size, long seed) {
      random = new Random(seed);
      extra = EXTRA_OF_EACH * size;
      this.event = event;
      contact = new long[size];
      for (int i = 0; i < size; i++) {
        contact[i] = -END;
        boolean affected = i > 0 && random.nextInt(5) < 2;
        long phase = random.nextInt(10) * STEP;
        gateways.add(new Gateway(event.window, extra, affected || i == size - 1, phase));
        gateways.get(i).startNanos =
            i == 0 ? 0 : random.nextInt((int) (event.lengthNanos / STEP)) * STEP;
      }
    }

    /** Returns the most retries within any window. */
    int play() {
      int most = 0;
      for (long now = -2 * event.window.toNanos() - 30 * SECOND; now < END; now += STEP) {
        for (int i = 0; i < gateways.size(); i++) {
          step(gateways.get(i), i, now);
        }
        long begin = now - event.window.toNanos();
        spent.removeIf(at -> at <= begin);
        most = Math.max(most, spent.size());
        if (now >= END - 40 * SECOND) {
          mostAtTheEnd = Math.max(mostAtTheEnd, spent.size());
        }
        if (now >= END - 40 * SECOND) {
          mostAtTheEnd = Math.max(mostAtTheEnd, spent.size());
        }
      }
      return most;
    }

    private void step(Gateway gateway, int index, long now) {
      if (!runs(gateway, index, now)) {
        return;
      }
      long monotonic = now - gateway.suspendedNanos;
      boolean reached = reachesControl(gateway, now);
      if (reached && Math.floorMod(now, HEARTBEAT) == gateway.phaseNanos) {
        contact[index] = now;
        if (isSettled(now)) {
          gateway.heard(gatewaysNotGone(now), monotonic, now / MILLI);
        }
      }
      boolean failures = random.nextInt(25) == 0;
      while (failures && gateway.tryRetry(monotonic, now / MILLI)) {
        spent.addLast(now);
      }
    }

    private boolean runs(Gateway gateway, int index, long now) {
      switch (event) {
        case STARTED_ONE_BY_ONE -> {
          boolean down = now >= 0 && now <= gateway.startNanos;
          if (down) {
            gateway.start(event.window, extra, now);
          }
          return !down;
        }
        case SUSPENDED -> {
          boolean suspended = isAffected(gateway, now);
          gateway.suspendedNanos += suspended ? STEP : 0;
          return !suspended;
        }
        case NEW_LEADER -> {
          boolean replaced = now == 0;
          contact[index] = replaced ? -END : contact[index];
          if (replaced && index == 0) {
            gateway.start(event.window, extra, now);
          }
          return true;
        }
        default -> {
          return true;
        }
      }
    }

    private boolean reachesControl(Gateway gateway, long now) {
      return switch (event) {
        case STARTED_ONE_BY_ONE -> !isDuring(now) || random.nextInt(3) == 0;
        case NEW_LEADER -> !isAffected(gateway, now) && (now < 0 || now >= ELECTED);
        case SUSPENDED -> true;
        default -> !isAffected(gateway, now);
      };
    }

    private boolean isSettled(long now) {
      return event != Event.NEW_LEADER || now < 0 || now >= SETTLED;
    }

    private boolean isAffected(Gateway gateway, long now) {
      return gateway.affected && isDuring(now);
    }

    private boolean isDuring(long now) {
      return now >= 0 && now < event.lengthNanos;
    }

    private int gatewaysNotGone(long now) {
      int present = 0;
      for (long at : contact) {
        present += now - at < MembershipView.GONE_UNLISTED_AFTER.toNanos() ? 1 : 0;
      }
      return present;
    }
  }

  private static final class Gateway {

    private final boolean affected;
    private final long phaseNanos;
    private long startNanos;
    private long suspendedNanos;
    private KnownFleet fleet;
    private RetryBudgets budgets;

    Gateway(Duration window, double extra, boolean affected, long phaseNanos) {
      this.affected = affected;
      this.phaseNanos = phaseNanos;
      start(window, extra, -END);
    }

    void start(Duration window, double extra, long now) {
      fleet = new KnownFleet(window);
      budgets = new RetryBudgets(0, extra, window, now);
    }

    void heard(int gateways, long nanos, long wallMillis) {
      fleet.reported(gateways, nanos, wallMillis, nanos);
    }

    boolean tryRetry(long nanos, long wallMillis) {
      OptionalInt known = fleet.known(nanos, wallMillis);
      return budgets.tryRetry("app", known, nanos);
    }
  }
}
