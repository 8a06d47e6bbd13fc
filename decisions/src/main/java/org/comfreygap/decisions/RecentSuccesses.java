package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The fingerprints of requests that were answered well a short time ago. A request that is equal to
 * one of them does not crash endpoints, however often it is in flight at crashes: without a body
 * many innocent requests are equal.
 *
 * <pre>{@code
 * served.served(fingerprint, now);
 * suspects.removeIf(fingerprint -> served.contains(fingerprint, now));
 * }</pre>
 *
 * <p>Invariant: at most {@code capacity} fingerprints are kept, each for {@link #RETENTION}; the
 * oldest is forgotten first. Not thread-safe.
 *
 * @since 0.2
 */
public final class RecentSuccesses {

  /** A request that was harmless may cease to be so when an adapter or an endpoint changes. */
  public static final Duration RETENTION = Duration.ofSeconds(60);

  private final int capacity;
  private final Map<String, Long> succeededAtNanos = new LinkedHashMap<>();

  /** Creates an empty memory for {@code capacity} fingerprints. */
  public RecentSuccesses(int capacity) {
    this.capacity = capacity;
  }

  /** Records that a request was answered well. */
  public void recordSuccess(String fingerprint, long nowNanos) {
    succeededAtNanos.remove(fingerprint);
    succeededAtNanos.put(fingerprint, nowNanos);
    if (succeededAtNanos.size() > capacity) {
      Iterator<Long> oldest = succeededAtNanos.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns true when an equal request was answered well lately. */
  public boolean contains(String fingerprint, long nowNanos) {
    Long at = succeededAtNanos.get(fingerprint);
    return at != null && nowNanos - at < RETENTION.toNanos();
  }
}
