package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds parts of prompts that crash every endpoint that begins a response on them, and bans
 * requests that hold them for a time.
 *
 * <pre>{@code
 * parts.crashed(new Quarantine.Crash("e1", "", crashNanos), suspects, now);
 * parts.began(Map.of("5c1e07a2", 2), now);     // responses that began on a suspected part
 * List<PartQuarantine.Ban> bans = parts.bans();
 * }</pre>
 *
 * <p>A part is banned when its crashes exceed the responses that began on it by {@link
 * #CRASHES_TO_BAN}. Of several parts that were at the same crashes, the one on which the smallest
 * share began is the cause, and its crashes count for no other part; parts that the evidence cannot
 * tell apart are banned only together, in requests that hold them all.
 *
 * <p>Invariants: the same calls in the same order give the same bans; one crash counts once for a
 * part, however often and late it is reported; all collections are bounded, and parts with few
 * crashes are dropped first. Time is in nanoseconds of a clock that does not jump. Not thread-safe.
 *
 * @since 0.4
 */
public final class PartQuarantine {

  /** Excess of the crashes with a part over the responses that began on it, for a ban. */
  public static final int CRASHES_TO_BAN = 3;

  /**
   * Requests that are not equal among those of these crashes; equal ones have a ban of their own.
   */
  public static final int REQUESTS_TO_BAN = 2;

  /**
   * Crashes plus different requests with the part at them from which on it is banned: a request and
   * its retry may wait at two endpoints that end for another reason.
   */
  public static final int CRASHES_AND_REQUESTS_TO_BAN = 6;

  /** Crashes of a part from which on gateways report the responses that begin on it. */
  public static final int CRASHES_TO_WATCH = 2;

  /** Time in which gateways report the responses that began on a part that is newly watched. */
  public static final Duration REPORT_TIME = Duration.ofMillis(500);

  /** Time in which the reports of all gateways on one crash arrive, repeated ones included. */
  public static final Duration CRASH_REPORT_TIME = Duration.ofMillis(250);

  /**
   * Responses that began on a part before it was watched and that count, over all gateways; more
   * would delay the ban of a part that was harmless until then beyond five crashes.
   */
  public static final int MAX_EARLIER = 2;

  /**
   * Crashes that happen together count at most {@link #MAX_TOGETHER} times: a power failure ends
   * many endpoints at once, and the popular parts wait at all of them.
   */
  public static final Duration TOGETHER = Duration.ofSeconds(1);

  /** A request and its retry crash two endpoints within {@link #TOGETHER}. */
  public static final int MAX_TOGETHER = 2;

  /**
   * Requests with a part on which no response ever began from which on crashes that happen together
   * count each: so many requests with a sound part do not all wait.
   */
  public static final int REQUESTS_TO_COUNT_EACH = 3;

  /** Most parts that gateways watch at once; those with most crashes go first. */
  public static final int MAX_WATCHED = 256;

  private static final int MAX_CRASHES = 64;
  private static final int MAX_REQUESTS = 8;
  private static final long NOT_WATCHED = Long.MIN_VALUE;
  private static final Comparator<Candidate> MOST_LIKELY =
      Comparator.comparingDouble(Candidate::crashShare)
          .thenComparingInt(Candidate::counted)
          .thenComparingInt(candidate -> candidate.crashes.size());

  private final Bounds bounds;
  private final Map<String, Evidence> evidence = new LinkedHashMap<>();
  private List<Ban> bans = List.of();
  private Set<String> watched = Set.of();
  private long version;

  /** Creates an empty quarantine. */
  public PartQuarantine(Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Bounds.
   *
   * @param parts most parts remembered
   * @param evidenceNanos how long a part is remembered after its last crash
   * @param banNanos how long a ban lasts after the last crash
   */
  public record Bounds(int parts, long evidenceNanos, long banNanos) {

    /** A ban ends long before the evidence, so that one more crash renews it. */
    public static final Bounds DEFAULT =
        new Bounds(2_000, Duration.ofHours(1).toNanos(), Duration.ofMinutes(15).toNanos());
  }

  /**
   * What is known of one part, as written to a snapshot.
   *
   * @param crashes the newest crashes of endpoints at which requests with the part had not begun
   * @param requests fingerprints of some of these requests
   * @param earlier responses that began on the part before it was watched
   * @param began responses that began on it since
   * @param watchedNanos when it was first watched; the least value before
   * @param enoughNanos when {@link #CRASHES_TO_BAN} crashes were first known
   */
  public record Evidence(
      String part,
      List<Quarantine.Crash> crashes,
      List<String> requests,
      int earlier,
      int began,
      long watchedNanos,
      long enoughNanos) {

    private long lastCrashNanos() {
      return crashes.stream().mapToLong(Quarantine.Crash::atNanos).max().orElse(Long.MIN_VALUE);
    }

    private int beganInAll() {
      return began + earlier;
    }

    private long earliestBanNanos() {
      return Math.max(
          watchedNanos + REPORT_TIME.toNanos(), enoughNanos + CRASH_REPORT_TIME.toNanos());
    }

    private boolean isWatched() {
      return watchedNanos != NOT_WATCHED;
    }
  }

  /**
   * Parts of which no request may hold all.
   *
   * @param fromNanos when the ban takes effect
   * @param untilNanos when it ends
   */
  public record Ban(List<String> parts, long fromNanos, long untilNanos) {}

  private record Candidate(Evidence evidence, List<Quarantine.Crash> crashes, int counted) {

    int began() {
      return evidence.beganInAll();
    }

    double crashShare() {
      return counted / (double) (counted + began());
    }
  }

  /**
   * Records a crash.
   *
   * @param crash the crash, which may be reported late and more than once
   * @param suspects requests at the endpoint whose responses had not begun
   */
  public void crashed(Quarantine.Crash crash, Collection<SuspectRequest> suspects, long now) {
    for (SuspectRequest suspect : suspects) {
      for (String part : suspect.parts()) {
        add(part, crash, suspect.fingerprint(), now);
      }
    }
    decide(now);
  }

  /** Records responses that began on suspected parts since these are watched. */
  public void began(Map<String, Integer> counts, long now) {
    update(counts, now, (known, count) -> withBegan(known, known.earlier, known.began + count));
  }

  /** Records responses that began on suspected parts before these were watched. */
  public void beganEarlier(Map<String, Integer> counts, long now) {
    update(
        counts,
        now,
        (known, count) ->
            withBegan(known, Math.min(MAX_EARLIER, known.earlier + count), known.began));
  }

  /** Forgets what is known of a part, which ends its ban; returns whether anything was known. */
  public boolean lift(String part, long now) {
    boolean known = evidence.remove(part) != null;
    decide(now);
    return known;
  }

  /** Returns the bans, those included that take effect later. */
  public List<Ban> bans() {
    return bans;
  }

  /** Returns the parts of which each beginning of a response is to be reported. */
  public Set<String> watched() {
    return watched;
  }

  /** Returns a number that rises with each change of the bans or of the watched parts. */
  public long version() {
    return version;
  }

  /** Returns true when a crash is explained by a banned part. */
  public boolean isExplained(Quarantine.Crash crash) {
    return bans.stream()
        .flatMap(ban -> ban.parts.stream())
        .map(evidence::get)
        .anyMatch(known -> known.crashes.stream().anyMatch(crash::isSameCrash));
  }

  /** Returns what is known of all parts, oldest first, for a snapshot. */
  public Collection<Evidence> evidence() {
    return List.copyOf(evidence.values());
  }

  /** Restores the parts of a snapshot. */
  public void restore(Collection<Evidence> known, long snapshotVersion, long now) {
    known.forEach(one -> evidence.put(one.part, one));
    decide(now);
    version = snapshotVersion;
  }

  /** Changes what is known of a part by a count of responses that began. */
  private interface Count {
    Evidence apply(Evidence known, int count);
  }

  private void update(Map<String, Integer> counts, long now, Count change) {
    boolean any = false;
    for (Map.Entry<String, Integer> entry : counts.entrySet()) {
      Evidence known = evidence.get(entry.getKey());
      if (known != null && entry.getValue() > 0) {
        evidence.put(entry.getKey(), change.apply(known, entry.getValue()));
        any = true;
      }
    }
    if (any) {
      decide(now);
    }
  }

  private static Evidence withBegan(Evidence known, int earlier, int began) {
    return new Evidence(
        known.part,
        known.crashes,
        known.requests,
        earlier,
        began,
        known.watchedNanos,
        known.enoughNanos);
  }

  private void add(String part, Quarantine.Crash crash, String fingerprint, long now) {
    Evidence known = evidence.remove(part);
    List<Quarantine.Crash> crashes = new ArrayList<>(known == null ? List.of() : known.crashes);
    Set<String> requests = new LinkedHashSet<>(known == null ? List.of() : known.requests);
    if (crashes.stream().noneMatch(crash::isSameCrash)) {
      crashes.add(crash);
    }
    if (requests.size() < MAX_REQUESTS) {
      requests.add(fingerprint);
    }
    int dropped = Math.max(0, crashes.size() - MAX_CRASHES);
    long watchedNanos = known == null ? NOT_WATCHED : known.watchedNanos;
    if (watchedNanos == NOT_WATCHED && crashes.size() >= CRASHES_TO_WATCH) {
      watchedNanos = now;
    }
    boolean wasEnough = known != null && known.crashes.size() >= CRASHES_TO_BAN;
    long enoughNanos = wasEnough ? known.enoughNanos : now;
    evidence.put(
        part,
        new Evidence(
            part,
            List.copyOf(crashes.subList(dropped, crashes.size())),
            List.copyOf(requests),
            known == null ? 0 : known.earlier,
            known == null ? 0 : known.began,
            watchedNanos,
            enoughNanos));
  }

  private void decide(long now) {
    evidence.values().removeIf(one -> now - one.lastCrashNanos() >= bounds.evidenceNanos);
    trim();
    List<Ban> newBans = findBans(now);
    Set<String> newWatched = findWatched();
    if (!newBans.equals(bans) || !newWatched.equals(watched)) {
      version++;
    }
    bans = newBans;
    watched = newWatched;
  }

  private List<Ban> findBans(long now) {
    List<Ban> found = new ArrayList<>();
    List<Quarantine.Crash> explained = new ArrayList<>();
    Optional<Candidate> cause = mostLikely(explained, now);
    while (cause.isPresent()) {
      Candidate best = cause.get();
      List<String> parts = new ArrayList<>();
      long from = Long.MIN_VALUE;
      long last = Long.MIN_VALUE;
      for (Candidate one : candidates(explained, now)) {
        if (one.began() == best.began() && isSame(one.crashes, best.crashes)) {
          parts.add(one.evidence.part);
          from = Math.max(from, one.evidence.earliestBanNanos());
          last = Math.max(last, one.evidence.lastCrashNanos());
        }
      }
      found.add(new Ban(List.copyOf(parts), from, last + bounds.banNanos));
      explained.addAll(best.evidence.crashes);
      cause = mostLikely(explained, now);
    }
    return List.copyOf(found);
  }

  private Optional<Candidate> mostLikely(List<Quarantine.Crash> explained, long now) {
    return candidates(explained, now).stream().max(MOST_LIKELY);
  }

  private List<Candidate> candidates(List<Quarantine.Crash> explained, long now) {
    List<Candidate> found = new ArrayList<>();
    for (Evidence one : evidence.values()) {
      if (one.crashes.size() < CRASHES_TO_BAN || now - one.lastCrashNanos() >= bounds.banNanos) {
        continue;
      }
      List<Quarantine.Crash> unexplained =
          one.crashes.stream()
              .filter(crash -> explained.stream().noneMatch(crash::isSameCrash))
              .toList();
      boolean countsEach = one.beganInAll() == 0 && one.requests.size() >= REQUESTS_TO_COUNT_EACH;
      int counted = countsEach ? unexplained.size() : countApart(unexplained);
      boolean enough = counted - one.beganInAll() >= CRASHES_TO_BAN;
      if (enough && isConfirmed(counted, one.requests.size())) {
        found.add(new Candidate(one, unexplained, counted));
      }
    }
    return found;
  }

  private static boolean isConfirmed(int crashes, int requests) {
    return requests >= REQUESTS_TO_BAN && crashes + requests >= CRASHES_AND_REQUESTS_TO_BAN;
  }

  /** Returns the number of crashes, of which those that happened together count at most twice. */
  private static int countApart(List<Quarantine.Crash> crashes) {
    long[] times = crashes.stream().mapToLong(Quarantine.Crash::atNanos).sorted().toArray();
    List<Long> counted = new ArrayList<>();
    for (long time : times) {
      int before = counted.size() - MAX_TOGETHER;
      if (before < 0 || time - counted.get(before) >= TOGETHER.toNanos()) {
        counted.add(time);
      }
    }
    return counted.size();
  }

  private static boolean isSame(List<Quarantine.Crash> some, List<Quarantine.Crash> others) {
    return some.size() == others.size()
        && some.stream().allMatch(one -> others.stream().anyMatch(one::isSameCrash));
  }

  private Set<String> findWatched() {
    Set<String> found = new LinkedHashSet<>();
    evidence.values().stream()
        .filter(one -> one.isWatched() && !isCleared(one))
        .sorted(Comparator.comparingInt((Evidence one) -> one.crashes.size()).reversed())
        .limit(MAX_WATCHED)
        .forEach(one -> found.add(one.part));
    return Set.copyOf(found);
  }

  /** Returns true when so many responses began on a part that further ones change nothing soon. */
  private static boolean isCleared(Evidence one) {
    return one.beganInAll() >= 2 * (one.crashes.size() + MAX_EARLIER);
  }

  private void trim() {
    if (evidence.size() <= bounds.parts) {
      return;
    }
    List<String> fewest =
        evidence.values().stream()
            .sorted(Comparator.comparingInt(one -> one.crashes.size()))
            .limit(evidence.size() - bounds.parts)
            .map(Evidence::part)
            .toList();
    fewest.forEach(evidence::remove);
  }
}
