package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Knows at which software version of which pool each stream began, so that a stream that broke off
 * goes on only there.
 *
 * <p>Each path prefix that a route has or lately had keeps one origin as its base: a stream that is
 * not recorded began at the base of the longest such prefix of its path. Streams that begin
 * anywhere else are recorded before their first event leaves, so that nothing is written for a
 * stream while one version serves. Names of routes play no part, since operators add, remove and
 * rename routes while streams run.
 *
 * <pre>{@code
 * String prefix = StreamOrigins.key("shop.example", "/chat/");
 * origins.inService(prefix, List.of(new StreamOrigins.Origin("app", "v1")), now);
 * String path = StreamOrigins.key("shop.example", "/chat/17");
 * Optional<StreamOrigins.Origin> origin = origins.resolve("request-1", path, later);
 * }</pre>
 *
 * <p>Invariants: the same calls in the same order give the same origins; the base of a path changes
 * only when it was not in service for {@link #RETENTION}, which is longer than a stream and its
 * take-ups last, whatever prefixes come and go; a record is dropped after that time, and if it had
 * to be dropped sooner, streams that are not recorded have no known origin for as long. Time is in
 * nanoseconds of a clock that does not jump. Not thread-safe.
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

  /** Longest key of a path; of a longer path its beginning decides. */
  public static final int MAX_KEY_CHARACTERS = 512;

  /** Stands for the base of a longer prefix, at which no stream begins. */
  private static final Origin NO_ORIGIN = new Origin("", "");

  private static final int MAX_PREFIXES = 10_000;
  private static final int MAX_LONGER_PREFIXES = 100;
  private static final int MAX_ORIGINS_OF_PREFIX = 32;

  /** A host holds no space, so that no key is a prefix of that of another host. */
  private static final char SEPARATOR = ' ';

  /** After this time without a report neither gateways nor streams rely on the base of a prefix. */
  private static final long UNUSED_NANOS = RETENTION.plus(BASE_LIFETIME).toNanos();

  private final int maxRecords;
  private final int maxPrefixes;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final NavigableMap<String, RouteOrigins> prefixes = new TreeMap<>();
  private long droppedNanos = Long.MIN_VALUE;
  private boolean dropped;

  /** Creates an empty register with the usual bound. */
  public StreamOrigins() {
    this(MAX_RECORDS, MAX_PREFIXES);
  }

  StreamOrigins(int maxRecords, int maxPrefixes) {
    this.maxRecords = maxRecords;
    this.maxPrefixes = maxPrefixes;
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

  /**
   * What is known of a path prefix, as written to a snapshot.
   *
   * @param route key of the prefix; in an older snapshot the name of a route
   * @param base origin of the streams that are not recorded; null while there is none
   * @param unsettledUntilNanos time until which streams may have begun unseen, so that there is no
   *     base; null for none, as in an older snapshot
   */
  public record RouteOrigins(String route, Origin base, List<Seen> seen, Long unsettledUntilNanos) {

    /** Copies the list. */
    public RouteOrigins {
      seen = List.copyOf(seen);
    }

    private Optional<Origin> settledBase(long now) {
      return isSettled(now) ? Optional.ofNullable(base) : Optional.empty();
    }

    private boolean isSettled(long now) {
      return unsettledUntilNanos == null || now - unsettledUntilNanos >= 0;
    }

    /** Returns the origins that were in service within {@link #RETENTION}. */
    private Map<Origin, Long> recent(long now) {
      Map<Origin, Long> recent = new LinkedHashMap<>();
      seen.stream()
          .filter(one -> now - one.atNanos < RETENTION.toNanos())
          .forEach(one -> recent.put(one.origin, one.atNanos));
      return recent;
    }

    /** Returns true when the base cannot change within {@link #BASE_LIFETIME}. */
    private boolean keepsBase(long now) {
      long newest = now - RETENTION.minus(BASE_LIFETIME).toNanos();
      return seen.stream().anyMatch(one -> one.origin.equals(base) && one.atNanos - newest > 0);
    }

    private boolean isUnused(long now) {
      return isSettled(now) && seen.stream().allMatch(one -> now - one.atNanos >= UNUSED_NANOS);
    }
  }

  /** Returns the key of a path, or of a path prefix, at a host. */
  public static String key(String host, String path) {
    String key = host.toLowerCase(Locale.ROOT) + SEPARATOR + path;
    return key.substring(0, Math.min(key.length(), MAX_KEY_CHARACTERS));
  }

  /**
   * Records the origin of a stream, which replaces an earlier one of the same request. When an
   * earlier one returns, a delayed call cannot be told from another attempt, and the origin is not
   * known.
   */
  public void record(String requestId, String prefix, Origin origin, long now) {
    expire(now);
    inService(prefix, List.of(origin), now);
    Entry former = entries.remove(requestId);
    entries.put(
        requestId,
        former == null
            ? new Entry(requestId, prefix, origin, now, List.of())
            : former.recordedAgain(prefix, origin, now));
    while (entries.size() > maxRecords) {
      Entry oldest = entries.values().iterator().next();
      entries.remove(oldest.requestId);
      droppedNanos = Math.max(droppedNanos, oldest.atNanos);
      dropped = true;
    }
  }

  /** Records that a gateway lists endpoints of these origins for the route of a path prefix. */
  public void inService(String prefix, Collection<Origin> origins, long now) {
    RouteOrigins known = prefixes.get(prefix);
    if (known == null) {
      if (!makeRoom(now)) {
        return;
      }
      known = inherited(prefix, now);
    }
    Map<Origin, Long> seen = known.recent(now);
    for (Origin origin : origins) {
      if (seen.size() < MAX_ORIGINS_OF_PREFIX || seen.containsKey(origin)) {
        seen.put(origin, now);
      }
    }
    if (seen.isEmpty()) {
      return;
    }
    // While streams may have begun unseen, the base is left open and all streams are recorded.
    Origin base = null;
    if (known.isSettled(now)) {
      base = seen.containsKey(known.base) ? known.base : seen.keySet().iterator().next();
    }
    List<Seen> newest = new ArrayList<>();
    seen.forEach((origin, at) -> newest.add(new Seen(origin, at)));
    prefixes.put(prefix, new RouteOrigins(prefix, base, newest, known.unsettledUntilNanos));
    nested(prefix).removeIf(longer -> prefixes.get(longer).isUnused(now));
  }

  /**
   * Takes account of a change of the routes of streams: those that began on a route whose streams
   * could not be resumed were never reported, and may be taken up on one whose streams can.
   *
   * @param before routes of streams before the change by path prefix, true where a stream may be
   *     resumed
   * @param after the routes after the change
   */
  public void routesChanged(Map<String, Boolean> before, Map<String, Boolean> after, long now) {
    before.forEach(
        (prefix, resumable) -> {
          if (!resumable && !Boolean.FALSE.equals(after.get(prefix))) {
            begunUnseen(prefix, before.keySet(), now);
          }
        });
    after.forEach(
        (prefix, resumable) -> {
          boolean added = resumable && !before.containsKey(prefix);
          if (added && !longestPrefix(before, prefix).orElse(true)) {
            begunUnseen(prefix, before.keySet(), now);
          }
        });
  }

  /**
   * Returns the origin of a stream by the request that brought its first event.
   *
   * @param path key of the path of the request that takes it up
   */
  public Optional<Origin> resolve(String requestId, String path, long now) {
    Entry entry = entries.get(requestId);
    if (entry != null) {
      return Optional.of(entry.origin).filter(origin -> entry.isCertain());
    }
    boolean mayBeDropped = dropped && now - droppedNanos < RETENTION.toNanos();
    return mayBeDropped
        ? Optional.empty()
        : longestPrefix(path).flatMap(known -> known.settledBase(now));
  }

  /**
   * Returns the origin of a stream whose request is not named: known only if a single origin was in
   * service for as long as the stream may be old.
   *
   * @param path key of the path of the request that takes it up
   */
  public Optional<Origin> resolveUnnamed(String path, long now) {
    return longestPrefix(path)
        .filter(known -> known.recent(now).size() <= 1)
        .flatMap(known -> known.settledBase(now));
  }

  /** Returns the origin of the streams of a route that are not recorded, by its path prefix. */
  public Optional<Origin> base(String prefix, long now) {
    return Optional.ofNullable(prefixes.get(prefix)).flatMap(known -> known.settledBase(now));
  }

  /**
   * Returns the bases on which a gateway may rely for {@link #BASE_LIFETIME}, by path prefix. Each
   * longer prefix that is known comes with an origin at which no stream begins: by the tables of
   * another gateway, or of another moment, its paths belong to another route. A prefix with very
   * many longer ones has no base to rely on, which bounds the reply.
   */
  public Map<String, Origin> bases(Collection<String> requested, long now) {
    Map<String, Origin> bases = new LinkedHashMap<>();
    List<String> bounded =
        requested.stream().filter(prefix -> nested(prefix).size() <= MAX_LONGER_PREFIXES).toList();
    bounded.forEach(
        prefix -> nested(prefix).forEach(longer -> bases.putIfAbsent(longer, NO_ORIGIN)));
    bounded.forEach(
        prefix ->
            base(prefix, now)
                .filter(base -> prefixes.get(prefix).keepsBase(now))
                .ifPresent(base -> bases.put(prefix, base)));
    return bases;
  }

  /** Returns the recorded streams, oldest first, for a snapshot. */
  public Collection<Entry> entries() {
    return List.copyOf(entries.values());
  }

  /** Returns what is known of path prefixes, for a snapshot. */
  public Collection<RouteOrigins> routes() {
    return List.copyOf(prefixes.values());
  }

  /** Returns the time of the newest record that was dropped too early; empty without any. */
  public Optional<Long> droppedNanos() {
    return dropped ? Optional.of(droppedNanos) : Optional.empty();
  }

  /** Adds a recorded stream of a snapshot. */
  public void restore(Entry entry) {
    entries.put(entry.requestId, entry);
  }

  /** Adds a path prefix of a snapshot. */
  public void restore(RouteOrigins prefix) {
    prefixes.put(prefix.route, prefix);
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

  /** Drops the base of a prefix, and of the longer ones whose routes had been removed before. */
  private void begunUnseen(String prefix, Set<String> routes, long now) {
    List<String> longer = nested(prefix).stream().filter(other -> !routes.contains(other)).toList();
    longer.forEach(other -> dropBase(other, now));
    dropBase(prefix, now);
  }

  private void dropBase(String prefix, long now) {
    RouteOrigins known = prefixes.get(prefix);
    if (known != null || makeRoom(now)) {
      List<Seen> seen = known == null ? List.of() : known.seen;
      prefixes.put(prefix, new RouteOrigins(prefix, null, seen, now + RETENTION.toNanos()));
    }
  }

  /** Returns what holds for a new prefix: until now its paths belonged to a shorter one. */
  private RouteOrigins inherited(String prefix, long now) {
    Optional<RouteOrigins> shorter = longestPrefix(prefix);
    if (shorter.isPresent()) {
      RouteOrigins from = shorter.get();
      return new RouteOrigins(prefix, from.base, from.seen, from.unsettledUntilNanos);
    }
    // Streams begun by gateways of an earlier build are known by the names of their routes.
    Optional<Long> named =
        prefixes.values().stream()
            .filter(known -> !isPath(known.route))
            .flatMap(known -> known.recent(now).values().stream())
            .max(Comparator.naturalOrder());
    Long unsettledUntil = named.map(at -> at + RETENTION.toNanos()).orElse(null);
    return new RouteOrigins(prefix, null, List.of(), unsettledUntil);
  }

  private Optional<RouteOrigins> longestPrefix(String path) {
    if (!isPath(path)) {
      // A gateway of an earlier build asks, and others may have begun the stream by its path.
      boolean byPath = prefixes.keySet().stream().anyMatch(StreamOrigins::isPath);
      return byPath ? Optional.empty() : Optional.ofNullable(prefixes.get(path));
    }
    return longestPrefix(prefixes, path);
  }

  private static <V> Optional<V> longestPrefix(Map<String, V> byPrefix, String path) {
    for (int length = path.length(); length > path.indexOf(SEPARATOR); length--) {
      V found = byPrefix.get(path.substring(0, length));
      if (found != null) {
        return Optional.of(found);
      }
    }
    return Optional.empty();
  }

  private Set<String> nested(String prefix) {
    return isPath(prefix)
        ? prefixes.subMap(prefix, false, prefix + Character.MAX_VALUE, false).keySet()
        : Collections.emptySet();
  }

  private boolean makeRoom(long now) {
    if (prefixes.size() >= maxPrefixes) {
      prefixes.values().removeIf(known -> known.isUnused(now));
    }
    return prefixes.size() < maxPrefixes;
  }

  private static boolean isPath(String key) {
    return key.indexOf(SEPARATOR) >= 0;
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
