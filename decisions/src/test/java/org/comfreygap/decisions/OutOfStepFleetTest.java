package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.Example;
import org.comfreygap.decisions.StreamOrigins.Origin;

/**
 * Plays the load pattern "streams break off and are taken up during a release and its reversal,
 * while a quarter of the gateways stands still or is cut off", at 4, 30 and 300 gateways.
 *
 * <p>A gateway that stands still keeps its list and its monotonic clock, and handles the requests
 * that wait for it when it goes on; one that is cut off keeps its list and does not reach control.
 *
 * <p>Guards against streams that are joined from two versions through such a gateway.
 */
class OutOfStepFleetTest {

  private static final long MILLI = 1_000_000L;
  private static final String ROUTE = StreamOrigins.key("shop.example", "/chat/");
  private static final Origin OLD = new Origin("app", "v1");
  private static final Origin NEW = new Origin("app", "v2");
  private static final long RELEASE_MILLIS = 20_000;
  private static final long RELEASE_END_MILLIS = 45_000;

  /** The old version comes back after the base has changed. */
  private static final long REVERSAL_MILLIS = 400_000;

  private static final long LENGTH_MILLIS = 440_000;
  private static final long LIST_PERIOD_MILLIS = 1_000;

  /** The longest routes allow half a minute; later nobody reads the response. */
  private static final long CALLER_PATIENCE_MILLIS = 30_000;

  private static final int SEEDS = 20;

  @Example
  void joinsNoStreamAtFourGateways() {
    assertNoneJoined(4, 3);
  }

  @Example
  void joinsNoStreamAtThirtyGateways() {
    assertNoneJoined(30, 20);
  }

  @Example
  void joinsNoStreamAtThreeHundredGateways() {
    assertNoneJoined(300, 60);
  }

  private static void assertNoneJoined(int gateways, double perSecond) {
    int wentOn = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Fleet fleet = new Fleet(gateways, perSecond, seed);
      fleet.play();
      assertThat(fleet.joined).as("joined streams, seed " + seed).isZero();
      wentOn += fleet.wentOn;
    }
    assertThat(wentOn).isPositive();
  }

  private record Event(long at, long order, Runnable run) {}

  /** A gateway that is out of step from {@code from} to {@code until}, in milliseconds. */
  private static final class Gateway {
    private final long from;
    private final long until;
    private final boolean standsStill;
    private Optional<KnownBase> base = Optional.empty();

    Gateway(long from, long until, boolean standsStill) {
      this.from = from;
      this.until = until;
      this.standsStill = standsStill;
    }

    boolean isOutOfStep(long now) {
      return now >= from && now < until;
    }

    /** Returns the time at which a request that arrives now is handled. */
    long handles(long now) {
      return standsStill && isOutOfStep(now) ? until : now;
    }

    long monotonicMillis(long now) {
      long stood = standsStill ? Math.max(0, Math.min(now, until) - from) : 0;
      return now - stood;
    }

    /** Returns the time of the list that the gateway has. */
    long listMillis(long now) {
      boolean old = now >= from && now < until + LIST_PERIOD_MILLIS;
      return old ? from : now - LIST_PERIOD_MILLIS;
    }
  }

  private static final class Fleet {

    private final Random random;
    private final double perSecond;
    private final StreamOrigins control = new StreamOrigins();
    private final List<Gateway> gateways = new ArrayList<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long order;
    private int streams;
    private int joined;
    private int wentOn;

    Fleet(int count, double perSecond, long seed) {
      this.random = new Random(seed);
      this.perSecond = perSecond;
      for (int i = 0; i < count; i++) {
        gateways.add(i % 4 == 0 ? outOfStep(i) : new Gateway(LENGTH_MILLIS, LENGTH_MILLIS, false));
      }
    }

    private Gateway outOfStep(int number) {
      boolean standsStill = number % 8 == 0;
      // Some are back within seconds of the release, others only after its reversal.
      boolean brief = random.nextBoolean();
      long from = RELEASE_MILLIS - 2_000 + random.nextInt(8_000);
      long until =
          brief ? from + 2_000 + random.nextInt(6_000) : REVERSAL_MILLIS + random.nextInt(5_000);
      return new Gateway(from, until, standsStill);
    }

    void play() {
      double at = 0;
      while (at < LENGTH_MILLIS) {
        at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
        long begin = (long) at;
        Gateway gateway = anyGateway();
        scheduleAt(gateway, begin, () -> begin(gateway));
      }
      while (!events.isEmpty()) {
        Event next = events.poll();
        now = next.at;
        next.run.run();
      }
    }

    /** Schedules a request that arrives at a gateway, unless its caller leaves before. */
    private void scheduleAt(Gateway gateway, long arrival, Runnable run) {
      long handled = gateway.handles(arrival);
      if (handled - arrival <= CALLER_PATIENCE_MILLIS) {
        events.add(new Event(handled, order++, run));
      }
    }

    private Gateway anyGateway() {
      return gateways.get(random.nextInt(gateways.size()));
    }

    private static List<Origin> serving(long at) {
      if (at < RELEASE_MILLIS) {
        return List.of(OLD);
      }
      boolean both = at < RELEASE_END_MILLIS || at >= REVERSAL_MILLIS;
      return both ? List.of(OLD, NEW) : List.of(NEW);
    }

    private boolean reachesControl(Gateway gateway) {
      return gateway.standsStill || !gateway.isOutOfStep(now);
    }

    /** Begins a stream at an endpoint that is listed and still there. */
    private void begin(Gateway gateway) {
      List<Origin> listed = serving(gateway.listMillis(now));
      Origin origin = listed.get(random.nextInt(listed.size()));
      if (!serving(now).contains(origin)) {
        return;
      }
      streams++;
      String id = "request-" + streams;
      boolean known =
          gateway
              .base
              .filter(base -> base.covers(origin, gateway.monotonicMillis(now) * MILLI, now))
              .isPresent();
      if (!known && !record(gateway, id, origin, listed)) {
        return;
      }
      if (random.nextInt(3) == 0) {
        Gateway next = anyGateway();
        long arrival = now + 500 + random.nextInt(4_000);
        scheduleAt(next, arrival, () -> takeUp(next, id, origin));
      }
    }

    private boolean record(Gateway gateway, String id, Origin origin, List<Origin> listed) {
      if (!reachesControl(gateway)) {
        return false;
      }
      control.inService(ROUTE, listed, now * MILLI);
      control.record(id, ROUTE, origin, now * MILLI);
      long monotonic = gateway.monotonicMillis(now) * MILLI;
      gateway.base =
          control.base(ROUTE, now * MILLI).map(base -> new KnownBase(base, monotonic, now));
      return true;
    }

    private void takeUp(Gateway gateway, String id, Origin began) {
      if (!reachesControl(gateway)) {
        return;
      }
      List<Origin> listed = serving(gateway.listMillis(now));
      control.inService(ROUTE, listed, now * MILLI);
      Optional<Origin> origin = control.resolve(id, ROUTE, now * MILLI);
      boolean goesOn =
          origin.isPresent()
              && listed.contains(origin.get())
              && serving(now).contains(origin.get());
      if (goesOn) {
        joined += origin.get().equals(began) ? 0 : 1;
        wentOn++;
      }
    }
  }
}
