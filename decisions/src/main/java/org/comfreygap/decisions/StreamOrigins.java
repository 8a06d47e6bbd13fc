package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Knows at which software version of which pool each stream began, so that a stream that broke off
 * goes on only there.
 *
 * <p>Of each route one origin is the base: a stream that is not recorded began at the base. Streams
 * that begin anywhere else are recorded before their first event leaves, so that nothing is written
 * for a stream while one version serves.
 *
 * <pre>{@code
 * origins.record("request-1", "route", new StreamOrigins.Origin("app", "v2"), now);
 * Optional<StreamOrigins.Origin> origin = origins.resolve("request-1", "route", later);
 * }</pre>
 *
 * <p>Invariants: the same calls in the same order give the same origins; the base changes only when
 * it was not in service for {@link #RETENTION}, which is longer than a stream and its take-ups
 * last; a record is dropped after that time, and if it had to be dropped sooner, streams that are
 * not recorded have no known origin for as long. Time is in nanoseconds of a clock that does not
 * jump. Not thread-safe.
 *
 * @since 0.4
 */
public final class StreamOrigins {

  /** Longer than a stream with all its take-ups lasts; the longest routes allow half a minute. */
  public static final Duration RETENTION = Duration.ofMinutes(5);

  /** Longest time for which a gateway may rely on a base without hearing of it again. */
  public static final Duration BASE_LIFETIME = RETENTION.dividedBy(2);

  /** Most streams recorded at once; a record takes about 200 bytes. */
  public static final int MAX_RECORDS = 100_000;

  private static final int MAX_ROUTES = 10_000;
  private static final int MAX_ORIGINS_OF_ROUTE = 32;

  private final int maxRecords;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<String, RouteOrigins> routes = new LinkedHashMap<>();
  private long droppedNanos = Long.MIN_VALUE;
  private boolean dropped;

  /** Creates an empty register with the usual bound. */
  public StreamOrigins() {
    this(MAX_RECORDS);
  }

  StreamOrigins(int maxRecords) {
    this.maxRecords = maxRecords;
  }

  /**
   * Where a stream began.
   *
   * @param version version of the endpoint's software
   */
  public record Origin(String pool, String version) {}

  /**
   * A recorded stream, as written to a snapshot.
   *
   * @param earlier origins recorded before for the same request; an older snapshot has none
   */
  public record Entry(
      String requestId, String route, Origin origin, long atNanos, List<Origin> earlier) {

    /** Copies the list. */
    public Entry {
      earlier = earlier == null ? List.of() : List.copyOf(earlier);
    }

    /** Returns the entry after another record of the same request. */
    private Entry recordedAgain(String newRoute, Origin newest, long now) {
      List<Origin> before = new ArrayList<>(earlier);
      if (!newest.equals(origin)) {
        before.add(origin);
      }
      return new Entry(requestId, newRoute, newest, now, before);
    }

    /** Returns false when the last record may be a delayed one of an earlier attempt. */
    private boolean isCertain() {
      return !earlier.contains(origin);
    }
  }

  /** An origin with the time at which it was last in service, as written to a snapshot. */
  public record Seen(Origin origin, long atNanos) {}

  /** What is known of a route, as written to a snapshot. */
  public record RouteOrigins(String route, Origin base, List<Seen> seen) {

    /** Copies the list. */
    public RouteOrigins {
      seen = List.copyOf(seen);
    }

    private Optional<Seen> find(Origin origin) {
      return seen.stream().filter(one -> one.origin.equals(origin)).findFirst();
    }
  }

  /**
   * Records the origin of a stream, which replaces an earlier one of the same request. When an
   * earlier one returns, a delayed call cannot be told from another attempt, and the origin is not
   * known.
   */
  public void record(String requestId, String route, Origin origin, long now) {
    expire(now);
    inService(route, List.of(origin), now);
    Entry former = entries.remove(requestId);
    entries.put(
        requestId,
        former == null
            ? new Entry(requestId, route, origin, now, List.of())
            : former.recordedAgain(route, origin, now));
    while (entries.size() > maxRecords) {
      Entry oldest = entries.values().iterator().next();
      entries.remove(oldest.requestId);
      droppedNanos = Math.max(droppedNanos, oldest.atNanos);
      dropped = true;
    }
  }

  /** Records that a gateway lists endpoints of these origins for a route. */
  public void inService(String route, Collection<Origin> origins, long now) {
    RouteOrigins known = routes.get(route);
    Map<Origin, Long> seen = new LinkedHashMap<>();
    if (known != null) {
      known.seen.stream()
          .filter(one -> now - one.atNanos < RETENTION.toNanos())
          .forEach(one -> seen.put(one.origin, one.atNanos));
    }
    for (Origin origin : origins) {
      if (seen.size() < MAX_ORIGINS_OF_ROUTE || seen.containsKey(origin)) {
        seen.put(origin, now);
      }
    }
    if (seen.isEmpty()) {
      return;
    }
    boolean keepsBase = known != null && seen.containsKey(known.base);
    Origin base = keepsBase ? known.base : seen.keySet().iterator().next();
    List<Seen> newest = new ArrayList<>();
    seen.forEach((origin, at) -> newest.add(new Seen(origin, at)));
    routes.remove(route);
    routes.put(route, new RouteOrigins(route, base, newest));
    while (routes.size() > MAX_ROUTES) {
      routes.remove(routes.keySet().iterator().next());
    }
  }

  /** Returns the origin of a stream by the request that brought its first event. */
  public Optional<Origin> resolve(String requestId, String route, long now) {
    Entry entry = entries.get(requestId);
    if (entry != null) {
      return Optional.of(entry.origin)
          .filter(origin -> entry.route.equals(route) && entry.isCertain());
    }
    boolean mayBeDropped = dropped && now - droppedNanos < RETENTION.toNanos();
    return mayBeDropped ? Optional.empty() : base(route);
  }

  /**
   * Returns the origin of a stream whose request is not named: known only if a single origin was in
   * service for as long as the stream may be old.
   */
  public Optional<Origin> resolveUnnamed(String route, long now) {
    RouteOrigins known = routes.get(route);
    boolean single =
        known != null
            && known.seen.stream().filter(one -> now - one.atNanos < RETENTION.toNanos()).count()
                <= 1;
    return single ? Optional.of(known.base) : Optional.empty();
  }

  /** Returns the origin of the streams of a route that are not recorded. */
  public Optional<Origin> base(String route) {
    return Optional.ofNullable(routes.get(route)).map(RouteOrigins::base);
  }

  /** Returns the recorded streams, oldest first, for a snapshot. */
  public Collection<Entry> entries() {
    return List.copyOf(entries.values());
  }

  /** Returns what is known of the routes, for a snapshot. */
  public Collection<RouteOrigins> routes() {
    return List.copyOf(routes.values());
  }

  /** Returns the time of the newest record that was dropped too early; empty without any. */
  public Optional<Long> droppedNanos() {
    return dropped ? Optional.of(droppedNanos) : Optional.empty();
  }

  /** Adds a recorded stream of a snapshot. */
  public void restore(Entry entry) {
    entries.put(entry.requestId, entry);
  }

  /** Adds a route of a snapshot. */
  public void restore(RouteOrigins route) {
    routes.put(route.route, route);
  }

  /** Restores the time of the newest record that was dropped too early. */
  public void restoreDropped(long atNanos) {
    droppedNanos = atNanos;
    dropped = true;
  }

  /** Returns the number of recorded streams by origin, for operators. */
  public Map<Origin, Integer> counts() {
    Map<Origin, Integer> counts = new HashMap<>();
    entries.values().forEach(entry -> counts.merge(entry.origin, 1, Integer::sum));
    return counts;
  }

  private void expire(long now) {
    while (!entries.isEmpty()) {
      Entry oldest = entries.values().iterator().next();
      if (now - oldest.atNanos < RETENTION.toNanos()) {
        return;
      }
      entries.remove(oldest.requestId);
    }
  }
}
