package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.comfreygap.decisions.StreamOrigins.Origin;

/**
 * Plays the load pattern "streams break off and are taken up while routes are added, removed and
 * moved, and versions of two pools come and go" for 20 minutes, at 4, 30 and 300 gateways whose
 * tables and lists lag by up to two seconds.
 *
 * <p>Guards against streams that are joined from two versions or pools because the route of their
 * path changed, and against take-ups that are refused although their origin is in service.
 */
class StreamRouteChangesTest {

  private static final long MILLI = 1_000_000L;
  private static final long LENGTH_MILLIS = 1_200_000;
  private static final int MAX_LAG_MILLIS = 2_000;
  private static final int SEEDS = 20;
  private static final String HOST = "shop.example";
  private static final List<String> PREFIXES = List.of("/a/", "/a/b/", "/a/b/c/");
  private static final List<String> POOLS = List.of("p", "q");

  @Example
  void joinsNoStreamAtFourGateways() {
    assertHeld(4, 2);
  }

  @Example
  void joinsNoStreamAtThirtyGateways() {
    assertHeld(30, 5);
  }

  @Example
  void joinsNoStreamAtThreeHundredGateways() {
    assertHeld(300, 10);
  }

  private static void assertHeld(int gateways, double perSecond) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Fleet fleet = new Fleet(gateways, perSecond, seed);
      fleet.play();
      assertThat(fleet.joined).as("joined streams, seed " + seed).isZero();
      assertThat(fleet.unrecorded).as("unrecorded streams, seed " + seed).isPositive();
      assertThat(fleet.wentOn / (double) fleet.possible)
          .as("share of take-ups that went on, seed " + seed)
          .isGreaterThanOrEqualTo(0.9);
    }
  }

  private record Event(long at, long order, Runnable run) {}

  private record PathBase(KnownBase base, List<String> others) {}

  /** A gateway whose tables and list are {@code lagMillis} old. */
  private static final class Gateway {
    private final int lagMillis;
    private final Map<String, PathBase> bases = new HashMap<>();

    Gateway(int lagMillis) {
      this.lagMillis = lagMillis;
    }
  }

  private static final class Fleet {

    private final Random random;
    private final double perSecond;
    private final StreamOrigins control = new StreamOrigins();
    private final List<Gateway> gateways = new ArrayList<>();

    /** Pools by path prefix, and versions by pool, from the time of each change on. */
    private final TreeMap<Long, Map<String, String>> tables = new TreeMap<>();

    private final TreeMap<Long, Map<String, List<Origin>>> lists = new TreeMap<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long order;
    private int streams;
    private int unrecorded;
    private int joined;
    private int wentOn;
    private int possible;

    Fleet(int count, double perSecond, long seed) {
      this.random = new Random(seed);
      this.perSecond = perSecond;
      for (int i = 0; i < count; i++) {
        gateways.add(new Gateway(random.nextInt(MAX_LAG_MILLIS)));
      }
      tables.put(Long.MIN_VALUE, Map.of("/a/", "p"));
      lists.put(Long.MIN_VALUE, list(1, 1));
      for (long at = 5_000; at < LENGTH_MILLIS; at += pause(30_000)) {
        tables.put(at, table());
      }
      for (long at = 5_000; at < LENGTH_MILLIS; at += pause(90_000)) {
        lists.put(at, list(1 + random.nextInt(3), 1 + random.nextInt(3)));
      }
    }

    void play() {
      for (double at = 0; at < LENGTH_MILLIS; at += pause(1_000 / perSecond)) {
        events.add(new Event((long) at, order++, this::begin));
      }
      while (!events.isEmpty()) {
        Event next = events.poll();
        now = next.at;
        next.run.run();
      }
    }

    private double pause(double mean) {
      return 1 - Math.log(1 - random.nextDouble()) * mean;
    }

    private Map<String, String> table() {
      Map<String, String> table = new HashMap<>();
      for (String prefix : PREFIXES) {
        if (random.nextInt(3) > 0) {
          table.put(prefix, POOLS.get(random.nextInt(POOLS.size())));
        }
      }
      return table;
    }

    /** Returns the versions that serve; the bits of the arguments stand for v1 and v2. */
    private static Map<String, List<Origin>> list(int ofFirst, int ofSecond) {
      return Map.of(POOLS.get(0), origins("p", ofFirst), POOLS.get(1), origins("q", ofSecond));
    }

    private static List<Origin> origins(String pool, int bits) {
      List<Origin> origins = new ArrayList<>();
      for (int bit = 0; bit < 2; bit++) {
        if ((bits >> bit & 1) == 1) {
          origins.add(new Origin(pool, "v" + (bit + 1)));
        }
      }
      return origins;
    }

    private Optional<String> prefixOf(Gateway gateway, String path) {
      return tables.floorEntry(now - gateway.lagMillis).getValue().keySet().stream()
          .filter(path::startsWith)
          .max(Comparator.comparingInt(String::length));
    }

    private List<Origin> listed(Gateway gateway, String prefix) {
      String pool = tables.floorEntry(now - gateway.lagMillis).getValue().get(prefix);
      return lists.floorEntry(now - gateway.lagMillis).getValue().get(pool);
    }

    private Gateway anyGateway() {
      return gateways.get(random.nextInt(gateways.size()));
    }

    private void begin() {
      Gateway gateway = anyGateway();
      String path = PREFIXES.get(random.nextInt(PREFIXES.size())) + "1";
      Optional<String> prefix = prefixOf(gateway, path);
      if (prefix.isEmpty()) {
        return;
      }
      List<Origin> listed = listed(gateway, prefix.get());
      Origin origin = listed.get(random.nextInt(listed.size()));
      String id = "request-" + streams++;
      if (isBase(gateway, path, prefix.get(), origin)) {
        unrecorded++;
      } else {
        control.record(id, StreamOrigins.key(HOST, prefix.get()), origin, now * MILLI);
        learn(gateway, prefix.get(), listed);
      }
      if (random.nextInt(3) == 0) {
        long at = now + 500 + random.nextInt(30_000);
        events.add(new Event(at, order++, () -> takeUp(id, path, origin)));
      }
    }

    private boolean isBase(Gateway gateway, String path, String prefix, Origin origin) {
      PathBase known = gateway.bases.get(prefix);
      String key = StreamOrigins.key(HOST, path);
      return known != null
          && known.base.covers(origin, now * MILLI, now)
          && known.others.stream().noneMatch(key::startsWith);
    }

    private void learn(Gateway gateway, String prefix, List<Origin> listed) {
      String key = StreamOrigins.key(HOST, prefix);
      control.inService(key, listed, now * MILLI);
      Map<String, Origin> bases = control.bases(List.of(key), now * MILLI);
      Origin base = bases.remove(key);
      if (base == null) {
        gateway.bases.remove(prefix);
        return;
      }
      KnownBase known = new KnownBase(base, now * MILLI, now);
      gateway.bases.put(prefix, new PathBase(known, List.copyOf(bases.keySet())));
    }

    private void takeUp(String id, String path, Origin began) {
      Gateway gateway = anyGateway();
      Optional<String> prefix = prefixOf(gateway, path);
      if (prefix.isEmpty()) {
        return;
      }
      List<Origin> listed = listed(gateway, prefix.get());
      learn(gateway, prefix.get(), listed);
      possible += listed.contains(began) ? 1 : 0;
      Optional<Origin> origin = control.resolve(id, StreamOrigins.key(HOST, path), now * MILLI);
      if (origin.filter(listed::contains).isPresent()) {
        joined += origin.get().equals(began) ? 0 : 1;
        wentOn++;
      }
    }
  }
}
