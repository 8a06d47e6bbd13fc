package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the endpoint for an attempt.
 *
 * <p>For an adapter, the list of {@link AdapterHomes} is searched for the best class of endpoint:
 * the adapter resident and room to run; resident with a short queue; a home with room, which has to
 * load; another listed endpoint with room; then the rest. Among equals that hold the adapter the
 * less loaded of two wins; among equals that have to load it the first in the list wins, so that
 * all gateways load it at the same endpoint. For a plain service the less loaded of two wins.
 *
 * <p>An endpoint has room while its load is below its running bound or below {@link #LOAD_BOUND}
 * times the mean load of the endpoints for the same target. Endpoints that are blocked, paused by
 * {@link EndpointHealth} or excluded by the caller are skipped; suspect ones are a last resort.
 *
 * <pre>{@code
 * selector.fleet(sites);
 * int endpoint = selector.select(query, now);
 * if (endpoint != EndpointSelector.NONE) { selector.dispatched(endpoint, now); }
 * }</pre>
 *
 * <p>Invariant: {@link #select} never returns a blocked, paused or excluded endpoint, and allocates
 * nothing. Thread safety: not thread-safe.
 *
 * @since 0.1
 */
public final class EndpointSelector {

  /** No endpoint can take the attempt. */
  public static final int NONE = -1;

  /** Load of an endpoint relative to the mean above which work moves to the next one. */
  public static final double LOAD_BOUND = 1.25;

  /**
   * Age at which a reported load is ignored; otherwise an endpoint that was busy once and got no
   * work since would be avoided forever.
   */
  public static final Duration REPORT_LIFETIME = Duration.ofSeconds(2);

  private static final int RESIDENT_WITH_ROOM = 0;
  private static final int RESIDENT_SHORT_QUEUE = 1;
  private static final int HOME_WITH_ROOM = 2;
  private static final int LISTED_WITH_ROOM = 3;
  private static final int RESIDENT = 4;
  private static final int LISTED = 5;
  private static final int SUSPECT_PENALTY = 6;

  private final AdapterHomes homes;
  private final int[] equals = new int[AdapterHomes.MAX_CANDIDATES];
  private Endpoint[] endpoints = {};
  private long[] hashes = {};
  private Map<String, Integer> indexes = Map.of();
  private Map<String, Group> groups = Map.of();
  private int epoch = 1;
  private long random;

  /** Creates a selector of an empty fleet; {@code seed} decides between equals. */
  public EndpointSelector(AdapterHomes homes, long seed) {
    this.homes = homes;
    this.random = seed | 1;
  }

  /** Whether an endpoint may get new work, by settings and membership. */
  public enum Availability {
    OPEN,
    /** Not known to be alive: used only when no open endpoint is left. */
    SUSPECT,
    /** In a zone taken out of use, leaving or gone. */
    BLOCKED
  }

  /**
   * An endpoint of the fleet.
   *
   * @param target base model, or {@code team/service}; kinds never share a target
   * @param maxBatch most requests that run at once
   */
  public record EndpointSpec(String name, String zone, String target, int maxBatch) {}

  /**
   * A request to place.
   *
   * @param target base model or service
   * @param adapter hash of the immutable adapter version name, 0 for a service
   * @param zone zone preferred when nothing else decides
   * @param prefix hash of the start of the prompt, 0 for none; requests with equal hashes prefer
   *     the same endpoint
   * @param excluded names of endpoints already attempted
   */
  public record Query(
      String target, long adapter, String zone, long prefix, List<String> excluded) {}

  /** Replaces the fleet; the state of endpoints that remain is kept. */
  public void fleet(List<EndpointSpec> sites) {
    Endpoint[] next = new Endpoint[sites.size()];
    long[] nextHashes = new long[sites.size()];
    Map<String, Integer> nextIndexes = new HashMap<>();
    Map<String, Group> nextGroups = new HashMap<>();
    for (int i = 0; i < next.length; i++) {
      EndpointSpec site = sites.get(i);
      Integer before = indexes.get(site.name());
      next[i] =
          before != null && endpoints[before].site.equals(site)
              ? endpoints[before]
              : new Endpoint(site);
      nextHashes[i] = AdapterHomes.hash(site.name());
      nextIndexes.put(site.name(), i);
      nextGroups.computeIfAbsent(site.target(), t -> new Group()).add(i);
    }
    nextGroups.values().forEach(group -> group.seal(next));
    endpoints = next;
    hashes = nextHashes;
    indexes = nextIndexes;
    groups = nextGroups;
    epoch++;
  }

  /** Returns the index of the endpoint named {@code name}, or {@link #NONE}. */
  public int index(String name) {
    return indexes.getOrDefault(name, NONE);
  }

  /** Returns the name of the endpoint at {@code index}. */
  public String name(int index) {
    return endpoints[index].site.name();
  }

  /** Returns the health of the endpoint at {@code index}. */
  public EndpointHealth health(int index) {
    return endpoints[index].health;
  }

  /** Returns the number of endpoints. */
  public int size() {
    return endpoints.length;
  }

  /** Sets whether the endpoint may get new work. */
  public void availability(int index, Availability availability) {
    endpoints[index].availability = availability;
  }

  /** Records that an attempt was sent to the endpoint. */
  public void dispatched(int index, long nowNanos) {
    Endpoint endpoint = endpoints[index];
    endpoint.inFlight++;
    endpoint.health.dispatched(nowNanos);
    updateLoad(endpoint, endpoint.load + 1);
  }

  /** Records that an attempt ended at the endpoint. */
  public void finished(int index) {
    Endpoint endpoint = endpoints[index];
    endpoint.inFlight = Math.max(0, endpoint.inFlight - 1);
    updateLoad(endpoint, endpoint.load - 1);
  }

  /**
   * Records a report, which replaces the previous one. A report with an older sequence from the
   * same boot is ignored unless the previous one has expired: a restarted sidecar counts from the
   * beginning.
   *
   * @param bootId identifies one run of the endpoint
   * @param load queued plus running requests
   * @param limit running bound in force
   * @param resident hashes of the resident immutable adapter version names
   */
  public void reported(
      int index,
      String bootId,
      long sequence,
      int load,
      int limit,
      long[] resident,
      long nowNanos) {
    Endpoint endpoint = endpoints[index];
    if (bootId.equals(endpoint.bootId)
        && sequence < endpoint.sequence
        && nowNanos - endpoint.reportedAtNanos < REPORT_LIFETIME.toNanos()) {
      return;
    }
    endpoint.reportedAtNanos = nowNanos;
    endpoint.reportExpired = false;
    endpoint.bootId = bootId;
    endpoint.sequence = sequence;
    endpoint.limit = Math.max(1, limit);
    endpoint.resident = resident.clone();
    Arrays.sort(endpoint.resident);
    updateLoad(endpoint, load);
  }

  /** Returns true when the newest report of the endpoint lists the adapter version. */
  public boolean resident(int index, long adapter) {
    return endpoints[index].holds(adapter);
  }

  /** Returns the boot id of the newest report, or an empty string. */
  public String bootId(int index) {
    return endpoints[index].bootId;
  }

  /** Returns the endpoint for {@code query}, or {@link #NONE}. */
  public int select(Query query, long nowNanos) {
    Group group = groups.get(query.target());
    if (group == null) {
      return NONE;
    }
    int chosen = query.adapter() == 0 ? NONE : selectListed(query, group, nowNanos);
    return chosen != NONE ? chosen : selectAny(query, group, nowNanos);
  }

  private int selectListed(Query query, Group group, long nowNanos) {
    int entry = homes.touch(query.adapter(), hashes, group.members, epoch, nowNanos);
    int homeCount = homes.homes(entry);
    int best = Integer.MAX_VALUE;
    int count = 0;
    for (int position = 0; position < homes.size(entry); position++) {
      int index = homes.candidate(entry, position);
      if (!usable(index, query, nowNanos)) {
        continue;
      }
      int rank = rank(endpoints[index], query.adapter(), position < homeCount, group);
      if (rank < best) {
        best = rank;
        count = 0;
      }
      if (rank == best) {
        equals[count++] = index;
      }
    }
    if (count == 0) {
      return NONE;
    }
    return requiresLoad(best) ? equals[0] : lessLoaded(query, count);
  }

  private int rank(Endpoint endpoint, long adapter, boolean home, Group group) {
    int rank;
    boolean room = endpoint.load < Math.max(endpoint.limit, group.meanLoad() * LOAD_BOUND);
    if (endpoint.holds(adapter)) {
      boolean shortQueue = endpoint.load < endpoint.limit + (endpoint.limit + 1) / 2;
      rank = endpoint.load < endpoint.limit ? RESIDENT_WITH_ROOM : RESIDENT;
      rank = rank == RESIDENT && shortQueue ? RESIDENT_SHORT_QUEUE : rank;
    } else if (room) {
      rank = home ? HOME_WITH_ROOM : LISTED_WITH_ROOM;
    } else {
      rank = LISTED;
    }
    return endpoint.availability == Availability.SUSPECT ? rank + SUSPECT_PENALTY : rank;
  }

  private static boolean requiresLoad(int rank) {
    int base = rank % SUSPECT_PENALTY;
    return base == HOME_WITH_ROOM || base == LISTED_WITH_ROOM;
  }

  private int lessLoaded(Query query, int count) {
    if (count == 1) {
      return equals[0];
    }
    int first =
        query.prefix() != 0
            ? (int) Long.remainderUnsigned(query.prefix(), count)
            : nextRandom(count);
    int second = (first + 1 + nextRandom(count - 1)) % count;
    return better(equals[first], equals[second], query.zone());
  }

  private int selectAny(Query query, Group group, long nowNanos) {
    int[] members = group.members;
    int first = members[nextRandom(members.length)];
    int second = members[nextRandom(members.length)];
    boolean firstOpen = open(first, query, nowNanos);
    boolean secondOpen = open(second, query, nowNanos);
    if (firstOpen && secondOpen) {
      return better(first, second, query.zone());
    }
    if (firstOpen || secondOpen) {
      return firstOpen ? first : second;
    }
    return scan(query, members, nowNanos);
  }

  private int scan(Query query, int[] members, long nowNanos) {
    int best = NONE;
    int start = nextRandom(members.length);
    for (int i = 0; i < members.length; i++) {
      int index = members[(start + i) % members.length];
      if (!usable(index, query, nowNanos)) {
        continue;
      }
      if (best == NONE || preferred(index, best, query.zone())) {
        best = index;
      }
    }
    return best;
  }

  private boolean preferred(int index, int than, String zone) {
    boolean suspect = endpoints[index].availability == Availability.SUSPECT;
    boolean otherSuspect = endpoints[than].availability == Availability.SUSPECT;
    if (suspect != otherSuspect) {
      return otherSuspect;
    }
    return better(than, index, zone) == index;
  }

  private boolean open(int index, Query query, long nowNanos) {
    return endpoints[index].availability == Availability.OPEN && usable(index, query, nowNanos);
  }

  private boolean usable(int index, Query query, long nowNanos) {
    Endpoint endpoint = endpoints[index];
    expireReport(endpoint, nowNanos);
    return endpoint.availability != Availability.BLOCKED
        && endpoint.health.usable(nowNanos)
        && (query.excluded().isEmpty() || !query.excluded().contains(endpoint.site.name()));
  }

  /** Returns the less loaded endpoint; a local zone, then the order given, decides near ties. */
  private int better(int first, int second, String zone) {
    Endpoint a = endpoints[first];
    Endpoint b = endpoints[second];
    // Loads are compared relative to the running bounds, without a division.
    long loadA = (long) a.load * b.limit;
    long loadB = (long) b.load * a.limit;
    if (loadA != loadB) {
      return loadA < loadB ? first : second;
    }
    return !a.site.zone().equals(zone) && b.site.zone().equals(zone) ? second : first;
  }

  private void expireReport(Endpoint endpoint, long nowNanos) {
    if (!endpoint.reportExpired
        && nowNanos - endpoint.reportedAtNanos >= REPORT_LIFETIME.toNanos()) {
      endpoint.reportExpired = true;
      updateLoad(endpoint, endpoint.inFlight);
    }
  }

  private void updateLoad(Endpoint endpoint, int load) {
    int next = Math.max(load, endpoint.inFlight);
    if (endpoint.group != null) {
      endpoint.group.load += next - endpoint.load;
    }
    endpoint.load = next;
  }

  private int nextRandom(int bound) {
    random ^= random << 13;
    random ^= random >>> 7;
    random ^= random << 17;
    return (int) Long.remainderUnsigned(random, bound);
  }

  private static final class Endpoint {

    private final EndpointSpec site;
    private final EndpointHealth health = new EndpointHealth();
    private Availability availability = Availability.OPEN;
    private Group group;
    private String bootId = "";
    private long sequence;
    private long reportedAtNanos;
    private boolean reportExpired = true;
    private int inFlight;
    private int load;
    private int limit;
    private long[] resident = {};

    Endpoint(EndpointSpec site) {
      this.site = site;
      this.limit = Math.max(1, site.maxBatch());
    }

    boolean holds(long adapter) {
      return Arrays.binarySearch(resident, adapter) >= 0;
    }
  }

  private static final class Group {

    private int[] members = {};
    private int size;
    private long load;

    void add(int index) {
      if (size == members.length) {
        members = Arrays.copyOf(members, Math.max(8, 2 * size));
      }
      members[size++] = index;
    }

    void seal(Endpoint[] endpoints) {
      members = Arrays.copyOf(members, size);
      load = 0;
      for (int member : members) {
        endpoints[member].group = this;
        load += endpoints[member].load;
      }
    }

    double meanLoad() {
      return (double) load / members.length;
    }
  }
}
