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
 * <p>Invariant: at most {@code capacity} fingerprints are kept, each for {@link #MEMORY}; the
 * oldest is forgotten first. Not thread-safe.
 *
 * @since 0.2
 */
public final class ServedLately {

  /** A request that was harmless may cease to be so when an adapter or an endpoint changes. */
  public static final Duration MEMORY = Duration.ofSeconds(60);

  private final int capacity;
  private final Map<String, Long> servedAtNanos = new LinkedHashMap<>();

  /** Creates an empty memory for {@code capacity} fingerprints. */
  public ServedLately(int capacity) {
    this.capacity = capacity;
  }

  /** Records that a request was answered well. */
  public void served(String fingerprint, long nowNanos) {
    servedAtNanos.remove(fingerprint);
    servedAtNanos.put(fingerprint, nowNanos);
    if (servedAtNanos.size() > capacity) {
      Iterator<Long> oldest = servedAtNanos.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns true when an equal request was answered well lately. */
  public boolean contains(String fingerprint, long nowNanos) {
    Long at = servedAtNanos.get(fingerprint);
    return at != null && nowNanos - at < MEMORY.toNanos();
  }
}
