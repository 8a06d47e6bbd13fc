package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the fingerprints of requests that recently succeeded. A request equal to one of them
 * does not crash endpoints, however often it is in flight at crashes: many innocent requests
 * without a body are equal.
 *
 * <pre>{@code
 * successes.recordSuccess(fingerprint, now);
 * suspects.removeIf(fingerprint -> successes.contains(fingerprint, now));
 * }</pre>
 *
 * <p>Invariant: at most {@code capacity} fingerprints are kept, each for {@link #RETENTION}; the
 * oldest is dropped first. Not thread-safe.
 *
 * @since 0.2
 */
public final class RecentSuccesses {

  /** A harmless request may become harmful when an adapter or an endpoint changes. */
  public static final Duration RETENTION = Duration.ofSeconds(60);

  private final int capacity;
  private final Map<String, Long> succeededAtNanos = new LinkedHashMap<>();

  /** Creates an empty set for {@code capacity} fingerprints. */
  public RecentSuccesses(int capacity) {
    this.capacity = capacity;
  }

  /** Records that a request succeeded. */
  public void recordSuccess(String fingerprint, long nowNanos) {
    succeededAtNanos.remove(fingerprint);
    succeededAtNanos.put(fingerprint, nowNanos);
    if (succeededAtNanos.size() > capacity) {
      Iterator<Long> oldest = succeededAtNanos.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns true when an equal request recently succeeded. */
  public boolean contains(String fingerprint, long nowNanos) {
    Long at = succeededAtNanos.get(fingerprint);
    return at != null && nowNanos - at < RETENTION.toNanos();
  }
}
