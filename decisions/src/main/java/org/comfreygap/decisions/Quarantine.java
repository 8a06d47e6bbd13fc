package org.comfreygap.decisions;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds requests that crash endpoints and bans them for a time. Every request in flight at a crash
 * is a suspect; a fingerprint that is in flight at a second crash is quarantined.
 *
 * <pre>{@code
 * List<String> banned = quarantine.crashed("e1/boot7", fingerprints, now);
 * }</pre>
 *
 * <p>Invariants: one crash counts once for a fingerprint, however often it is reported; suspicion
 * and quarantine end by themselves; all parts are bounded, the oldest is forgotten first. Time is
 * in nanoseconds of a clock that does not jump. Not thread-safe.
 *
 * @since 0.1
 */
public final class Quarantine {

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

  /** A fingerprint seen at one crash, as written to a snapshot. */
  public record Suspect(String fingerprint, String crashId, long atNanos) {}

  /** A quarantined fingerprint, as written to a snapshot. */
  public record Banned(String fingerprint, long untilNanos) {}

  /**
   * Records a crash.
   *
   * @param crashId identifies the crash: endpoint and the boot that ended
   * @param fingerprints requests in flight
   * @return those of {@code fingerprints} that are in quarantine now
   */
  public List<String> crashed(String crashId, Collection<String> fingerprints, long now) {
    expire(now);
    Set<String> distinct = new LinkedHashSet<>(fingerprints);
    for (String fingerprint : distinct) {
      Suspect earlier = suspects.get(fingerprint);
      if (earlier == null) {
        suspects.put(fingerprint, new Suspect(fingerprint, crashId, now));
      } else if (!earlier.crashId.equals(crashId)) {
        suspects.remove(fingerprint);
        suspects.put(fingerprint, new Suspect(fingerprint, crashId, now));
        bannedUntil.remove(fingerprint);
        bannedUntil.put(fingerprint, now + bounds.quarantineNanos);
      }
    }
    trim(suspects, bounds.suspects);
    trim(bannedUntil, bounds.banned);
    return distinct.stream().filter(bannedUntil::containsKey).toList();
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
    suspects.put(suspect.fingerprint, suspect);
  }

  /** Adds a quarantined fingerprint of a snapshot. */
  public void restore(Banned banned) {
    bannedUntil.put(banned.fingerprint, banned.untilNanos);
  }

  private void expire(long now) {
    Iterator<Suspect> oldest = suspects.values().iterator();
    while (oldest.hasNext() && now - oldest.next().atNanos >= bounds.suspicionNanos) {
      oldest.remove();
    }
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
