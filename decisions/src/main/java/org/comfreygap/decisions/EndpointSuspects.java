package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the requests that ended at one start of an endpoint without a complete response, for any
 * reason, until it is known whether the endpoint survived them.
 *
 * <pre>{@code
 * suspects.connectionClosed(fingerprint, now);
 * suspects.responseReceived(later);            // the endpoint still serves other requests
 * List<String> reported = suspects.removeAll(now);  // the endpoint has ended
 * }</pre>
 *
 * <p>An endpoint may stop responding instead of closing its connections, and its end is only
 * detected once it is back or missing from a list. An abandoned request therefore counts like one
 * whose connection closed; some endpoints even start to run it later.
 *
 * <p>Invariants: a suspect is removed once the endpoint responds {@link #IN_TRANSIT_TIME} after the
 * connection of the request closed or {@link #MAX_QUEUE_TIME} after the request was abandoned,
 * after {@link #RETENTION}, or when newer suspects exceed {@link #CAPACITY}. Not thread-safe.
 *
 * @since 0.2
 */
public final class EndpointSuspects {

  /** A silent endpoint is back, or missing from the list, after up to ten seconds. */
  public static final Duration RETENTION = Duration.ofSeconds(15);

  /** Bytes sent before the end arrive within a round trip between regions. */
  public static final Duration IN_TRANSIT_TIME = Duration.ofMillis(200);

  /**
   * An endpoint that does not detect that a request was abandoned starts to run it within this
   * time.
   */
  public static final Duration MAX_QUEUE_TIME = Duration.ofSeconds(2);

  /** More requests than one gateway has open at an endpoint. */
  public static final int CAPACITY = 500;

  private final Map<String, Incomplete> incomplete = new LinkedHashMap<>();

  private record Incomplete(long atNanos, Duration survivedAfter) {}

  /** Records that the connection of a request that was sent here closed. */
  public void connectionClosed(String fingerprint, long nowNanos) {
    add(fingerprint, new Incomplete(nowNanos, IN_TRANSIT_TIME));
  }

  /**
   * Records that a request that was sent here was abandoned by its deadline, its caller or its
   * sender.
   */
  public void abandoned(String fingerprint, long nowNanos) {
    add(fingerprint, new Incomplete(nowNanos, MAX_QUEUE_TIME));
  }

  /** Records that the endpoint sent part of a response. */
  public void responseReceived(long nowNanos) {
    if (!incomplete.isEmpty()) {
      incomplete
          .values()
          .removeIf(request -> nowNanos - request.atNanos >= request.survivedAfter.toNanos());
    }
  }

  /** Removes and returns the suspects; call this when the endpoint has ended. */
  public List<String> removeAll(long nowNanos) {
    expire(nowNanos);
    List<String> removed = List.copyOf(incomplete.keySet());
    incomplete.clear();
    return removed;
  }

  private void add(String fingerprint, Incomplete added) {
    expire(added.atNanos);
    incomplete.remove(fingerprint);
    incomplete.put(fingerprint, added);
    if (incomplete.size() > CAPACITY) {
      Iterator<Incomplete> oldest = incomplete.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  private void expire(long nowNanos) {
    Iterator<Incomplete> oldest = incomplete.values().iterator();
    while (oldest.hasNext() && nowNanos - oldest.next().atNanos >= RETENTION.toNanos()) {
      oldest.remove();
    }
  }
}
