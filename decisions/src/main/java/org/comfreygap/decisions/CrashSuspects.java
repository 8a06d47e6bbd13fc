package org.comfreygap.decisions;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Remembers which requests were in flight at an endpoint when it crashed, so that they are retried
 * in isolation and reported.
 *
 * <pre>{@code
 * suspects.started(endpoint, attemptId, fingerprint);
 * List<String> reported = suspects.crashed(endpoint, now);
 * boolean isolated = suspects.isSuspect(fingerprint, now);
 * }</pre>
 *
 * <p>Invariant: at most {@code capacity} fingerprints are remembered, each for {@link #RETENTION};
 * the oldest is dropped first. Thread safety: not thread-safe.
 *
 * @since 0.1
 */
public final class CrashSuspects {

  /** How long a suspect is remembered; covers the resends of its caller. */
  public static final Duration RETENTION = Duration.ofMinutes(10);

  private final int capacity;
  private final Map<String, Map<String, String>> inFlight = new HashMap<>();
  private final Map<String, Long> suspectedAtNanos = new LinkedHashMap<>();

  /** Creates an empty set for {@code capacity} fingerprints. */
  public CrashSuspects(int capacity) {
    this.capacity = capacity;
  }

  /** Records that an attempt was sent to {@code endpoint}. */
  public void started(String endpoint, String attemptId, String fingerprint) {
    inFlight.computeIfAbsent(endpoint, e -> new HashMap<>()).put(attemptId, fingerprint);
  }

  /** Records that the attempt has ended. */
  public void ended(String endpoint, String attemptId) {
    Map<String, String> attempts = inFlight.get(endpoint);
    if (attempts != null && attempts.remove(attemptId) != null && attempts.isEmpty()) {
      inFlight.remove(endpoint);
    }
  }

  /** Records a crash; returns the fingerprints in flight there, which are suspects from now on. */
  public List<String> crashed(String endpoint, long nowNanos) {
    Set<String> fingerprints =
        new LinkedHashSet<>(inFlight.getOrDefault(endpoint, Map.of()).values());
    for (String fingerprint : fingerprints) {
      suspectedAtNanos.remove(fingerprint);
      suspectedAtNanos.put(fingerprint, nowNanos);
    }
    while (suspectedAtNanos.size() > capacity) {
      suspectedAtNanos.remove(suspectedAtNanos.keySet().iterator().next());
    }
    return List.copyOf(fingerprints);
  }

  /** Returns true when the request must run in isolation from other suspects. */
  public boolean isSuspect(String fingerprint, long nowNanos) {
    Long since = suspectedAtNanos.get(fingerprint);
    if (since == null) {
      return false;
    }
    if (nowNanos - since >= RETENTION.toNanos()) {
      suspectedAtNanos.remove(fingerprint);
      return false;
    }
    return true;
  }
}
