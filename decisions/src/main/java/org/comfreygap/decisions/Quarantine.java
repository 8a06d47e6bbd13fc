package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Finds requests that crash endpoints and bans them for a time. Every request in flight at a crash
 * is a suspect; a fingerprint that is in flight at a second crash is quarantined.
 *
 * <pre>{@code
 * Quarantine.Crash crash = new Quarantine.Crash("e1", "boot7", crashNanos);
 * List<String> banned = quarantine.crashed(crash, fingerprints, now);
 * }</pre>
 *
 * <p>If the start that ended is unknown, a crash is identified by the endpoint and the time of its
 * end: the endpoint may return under the same id.
 *
 * <p>Invariants: one crash counts once for a fingerprint, however often and late it is reported;
 * suspicion and quarantine expire; all collections are bounded and drop their oldest entry first.
 * Time is in nanoseconds of a clock that does not jump. Not thread-safe.
 *
 * @since 0.1
 */
public final class Quarantine {

  /**
   * Ends of an endpoint with an unknown start that are reported within this time count as one
   * crash: gateways detect a crash up to two seconds apart, and a crashed endpoint takes seconds to
   * restart.
   */
  public static final Duration SAME_CRASH_WINDOW = Duration.ofMillis(2_500);

  /** Crashes after which a fingerprint is banned. */
  public static final int CRASHES_TO_BAN = 2;

  private final Bounds bounds;
  private final Map<String, Suspect> suspects = new LinkedHashMap<>();
  private final Map<String, Long> bannedUntil = new LinkedHashMap<>();

  /** Creates an empty quarantine. */
  public Quarantine(Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Bounds.
   *
   * @param suspects most suspects remembered
   * @param banned most fingerprints in quarantine at once
   * @param suspicionNanos how long a first crash is remembered
   * @param quarantineNanos how long a quarantine lasts
   */
  public record Bounds(int suspects, int banned, long suspicionNanos, long quarantineNanos) {

    /** A caller that resends a crashing request does so within minutes. */
    public static final Bounds DEFAULT = new Bounds(5_000, 500, 900_000_000_000L, 900_000_000_000L);
  }

  /**
   * An end of an endpoint.
   *
   * @param start the start that ended; empty if unknown
   * @param atNanos when it ended
   */
  public record Crash(String endpoint, String start, long atNanos) {

    /** Returns true when both describe one end of an endpoint. */
    boolean isSameCrash(Crash other) {
      boolean near = Math.abs(atNanos - other.atNanos) < SAME_CRASH_WINDOW.toNanos();
      return endpoint.equals(other.endpoint)
          && start.equals(other.start)
          && (near || !start.isEmpty());
    }
  }

  /** A fingerprint with the crashes at which it was in flight, as written to a snapshot. */
  public record Suspect(String fingerprint, List<Crash> crashes) {

    /** Accepts snapshots that were written before crashes had a time. */
    public Suspect {
      crashes = crashes == null ? List.of() : List.copyOf(crashes);
    }

    private long newestNanos() {
      return crashes.stream().mapToLong(Crash::atNanos).max().orElse(Long.MIN_VALUE);
    }
  }

  /** A quarantined fingerprint, as written to a snapshot. */
  public record Banned(String fingerprint, long untilNanos) {}

  /**
   * Records a crash.
   *
   * @param crash the crash, which may be reported late
   * @param fingerprints requests in flight
   * @return those of {@code fingerprints} that are in quarantine now
   */
  public List<String> crashed(Crash crash, Collection<String> fingerprints, long now) {
    expire(now);
    Set<String> distinct = new LinkedHashSet<>(fingerprints);
    for (String fingerprint : distinct) {
      suspect(fingerprint, crash, now);
    }
    trim(suspects, bounds.suspects);
    trim(bannedUntil, bounds.banned);
    return distinct.stream().filter(bannedUntil::containsKey).toList();
  }

  /** Forgets a crash whose cause is known, and ends the quarantines that rested on it. */
  public void withdraw(Crash crash, long now) {
    expire(now);
    for (Suspect suspect : suspects()) {
      List<Crash> others =
          suspect.crashes.stream().filter(other -> !crash.isSameCrash(other)).toList();
      if (others.size() == suspect.crashes.size()) {
        continue;
      }
      if (others.isEmpty()) {
        suspects.remove(suspect.fingerprint);
      } else {
        suspects.put(suspect.fingerprint, new Suspect(suspect.fingerprint, others));
      }
      if (others.size() < CRASHES_TO_BAN) {
        bannedUntil.remove(suspect.fingerprint);
      }
    }
  }

  /** Returns the quarantined fingerprints with the nanoseconds that remain. */
  public Map<String, Long> remaining(long now) {
    Map<String, Long> remaining = new LinkedHashMap<>();
    bannedUntil.forEach(
        (fingerprint, until) -> {
          if (until - now > 0) {
            remaining.put(fingerprint, until - now);
          }
        });
    return remaining;
  }

  /** Returns the nanoseconds for which a fingerprint stays in quarantine; empty when it is not. */
  public OptionalLong remaining(String fingerprint, long now) {
    Long until = bannedUntil.get(fingerprint);
    return until == null || until - now <= 0 ? OptionalLong.empty() : OptionalLong.of(until - now);
  }

  /** Returns true when any fingerprint is in quarantine, or recently was. */
  public boolean any() {
    return !bannedUntil.isEmpty();
  }

  /** Returns the suspects, oldest first, for a snapshot. */
  public Collection<Suspect> suspects() {
    return new ArrayList<>(suspects.values());
  }

  /** Returns the quarantined fingerprints, oldest first, for a snapshot. */
  public Collection<Banned> banned() {
    return bannedUntil.entrySet().stream().map(e -> new Banned(e.getKey(), e.getValue())).toList();
  }

  /** Adds a suspect of a snapshot. */
  public void restore(Suspect suspect) {
    if (!suspect.crashes.isEmpty()) {
      suspects.put(suspect.fingerprint, suspect);
    }
  }

  /** Adds a quarantined fingerprint of a snapshot. */
  public void restore(Banned banned) {
    bannedUntil.put(banned.fingerprint, banned.untilNanos);
  }

  private void suspect(String fingerprint, Crash crash, long now) {
    Suspect earlier = suspects.remove(fingerprint);
    List<Crash> crashes = new ArrayList<>(earlier == null ? List.of() : earlier.crashes);
    if (crashes.stream().noneMatch(crash::isSameCrash)) {
      crashes.add(crash);
      if (crashes.size() >= CRASHES_TO_BAN) {
        bannedUntil.remove(fingerprint);
        bannedUntil.put(fingerprint, now + bounds.quarantineNanos);
      }
    }
    // Keeps enough crashes for the next one to ban the fingerprint again after its quarantine.
    int kept = Math.min(crashes.size(), CRASHES_TO_BAN);
    suspects.put(
        fingerprint,
        new Suspect(fingerprint, crashes.subList(crashes.size() - kept, crashes.size())));
  }

  private void expire(long now) {
    suspects.values().removeIf(suspect -> now - suspect.newestNanos() >= bounds.suspicionNanos);
    bannedUntil.values().removeIf(until -> until - now <= 0);
  }

  private static void trim(Map<String, ?> map, int most) {
    Iterator<String> oldest = map.keySet().iterator();
    while (map.size() > most) {
      oldest.next();
      oldest.remove();
    }
  }
}
