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
 * Plays the load pattern "streams break off and are taken up while a release replaces one software
 * version by another", at 4, 30 and 300 gateways, with all gateways losing their memory in its
 * middle and control away for two seconds.
 *
 * <p>Guards against streams that are joined from two versions, and against take-ups that are
 * refused although endpoints of their version serve.
 */
class StreamOriginsFleetTest {

  private static final long MILLI = 1_000_000L;
  private static final String ROUTE = StreamOrigins.key("shop.example", "/chat/");
  private static final Origin OLD = new Origin("app", "v1");
  private static final Origin NEW = new Origin("app", "v2");
  private static final long LENGTH_MILLIS = 60_000;
  private static final long RELEASE_MILLIS = 20_000;
  private static final long RELEASE_END_MILLIS = 45_000;
  private static final long POWER_LOSS_MILLIS = 30_000;
  private static final long CONTROL_AWAY_MILLIS = 36_000;
  private static final long CONTROL_BACK_MILLIS = 38_000;
  private static final int SEEDS = 40;

  /** Longest difference between what two gateways list. */
  private static final int LIST_LAG_MILLIS = 1_500;

  @Example
  void joinsNoStreamAtFourGateways() {
    assertHeld(4, 3);
  }

  @Example
  void joinsNoStreamAtThirtyGateways() {
    assertHeld(30, 20);
  }

  @Example
  void joinsNoStreamAtThreeHundredGateways() {
    assertHeld(300, 100);
  }

  private static void assertHeld(int gateways, double perSecond) {
    int recordsOfQuietTime = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Fleet fleet = new Fleet(gateways, perSecond, seed);
      fleet.play();
      assertThat(fleet.joined).as("joined streams, seed " + seed).isZero();
      assertThat(fleet.wentOn / (double) fleet.possible)
          .as("share of take-ups that went on, seed " + seed)
          .isGreaterThanOrEqualTo(0.9);
      recordsOfQuietTime += fleet.recordsBeforeRelease;
    }
    // Each gateway learns the base of the route by the first record that it sends.
    assertThat(recordsOfQuietTime / SEEDS).isLessThanOrEqualTo(2 * gateways);
  }

  private record Event(long at, long order, Runnable run) {}

  private static final class Gateway {
    private final int lagMillis;
    private Optional<Origin> base = Optional.empty();
    private long baseMillis;

    Gateway(int lagMillis) {
      this.lagMillis = lagMillis;
    }
  }

  /** Gateways with their knowledge of the base, and control; times are in milliseconds. */
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
    private int possible;
    private int recordsBeforeRelease;

    Fleet(int count, double perSecond, long seed) {
      this.random = new Random(seed);
      this.perSecond = perSecond;
      for (int i = 0; i < count; i++) {
        gateways.add(new Gateway(random.nextInt(LIST_LAG_MILLIS)));
      }
    }

    void play() {
      double at = 0;
      while (at < LENGTH_MILLIS) {
        at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
        schedule((long) at, this::begin);
      }
      schedule(
          POWER_LOSS_MILLIS, () -> gateways.forEach(gateway -> gateway.base = Optional.empty()));
      while (!events.isEmpty()) {
        Event next = events.poll();
        now = next.at;
        next.run.run();
      }
    }

    private void schedule(long at, Runnable run) {
      events.add(new Event(at, order++, run));
    }

    private Gateway anyGateway() {
      return gateways.get(random.nextInt(gateways.size()));
    }

    /** Returns what a gateway lists; during the release both versions, after it the new one. */
    private List<Origin> listed(Gateway gateway) {
      long seen = now - gateway.lagMillis;
      if (seen < RELEASE_MILLIS) {
        return List.of(OLD);
      }
      return seen < RELEASE_END_MILLIS ? List.of(OLD, NEW) : List.of(NEW);
    }

    private boolean isControlAway() {
      return now >= CONTROL_AWAY_MILLIS && now < CONTROL_BACK_MILLIS;
    }

    private void begin() {
      Gateway gateway = anyGateway();
      List<Origin> listed = listed(gateway);
      Origin origin = listed.get(random.nextInt(listed.size()));
      streams++;
      String id = "request-" + streams;
      boolean known =
          gateway.base.filter(origin::equals).isPresent()
              && now - gateway.baseMillis < StreamOrigins.BASE_LIFETIME.toMillis();
      if (!known && !record(gateway, id, origin)) {
        // Nothing leaves without a record; the caller has no event to go on after.
        return;
      }
      boolean cut = now < POWER_LOSS_MILLIS && now > POWER_LOSS_MILLIS - 5_000;
      if (cut || random.nextInt(3) == 0) {
        long at = cut ? POWER_LOSS_MILLIS + 1_000 : now + 500;
        schedule(at + random.nextInt(4_000), () -> takeUp(id, origin));
      }
    }

    private boolean record(Gateway gateway, String id, Origin origin) {
      if (isControlAway()) {
        return false;
      }
      control.inService(ROUTE, listed(gateway), now * MILLI);
      control.record(id, ROUTE, origin, now * MILLI);
      gateway.base = control.base(ROUTE, now * MILLI);
      gateway.baseMillis = now;
      recordsBeforeRelease += now < RELEASE_MILLIS ? 1 : 0;
      return true;
    }

    private void takeUp(String id, Origin began) {
      Gateway gateway = anyGateway();
      boolean serves = listed(gateway).contains(began) && !isControlAway();
      possible += serves ? 1 : 0;
      if (isControlAway()) {
        return;
      }
      Optional<Origin> origin = control.resolve(id, ROUTE, now * MILLI);
      if (origin.isPresent() && listed(gateway).contains(origin.get())) {
        joined += origin.get().equals(began) ? 0 : 1;
        wentOn++;
      }
    }
  }
}
