package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that ended at one start of an endpoint without its whole answer, for whatever
 * reason, until it is known whether the endpoint survived them.
 *
 * <pre>{@code
 * suspects.brokeOff(fingerprint, now);
 * suspects.heard(later);                        // the endpoint still answers others
 * List<String> reported = suspects.taken(now);  // it has ended
 * }</pre>
 *
 * <p>An endpoint may fall silent instead of closing its connections, and is known to have ended
 * only once it is back or missing in a list. So a request that was given up counts as much as one
 * whose connection broke; some endpoints even begin to run it later.
 *
 * <p>Invariants: a suspect is forgotten once the endpoint was heard from {@link #IN_TRANSIT_TIME}
 * after the request broke off, or {@link #MAX_QUEUE_TIME} after it was given up, after {@link
 * #MEMORY}, or when newer ones need its place. Not thread-safe.
 *
 * @since 0.2
 */
public final class EndpointSuspects {

  /** A silent endpoint is back, or missing in the list, after up to ten seconds. */
  public static final Duration RETENTION = Duration.ofSeconds(15);

  /** Bytes sent before the end arrive within a round trip between regions. */
  public static final Duration IN_TRANSIT_TIME = Duration.ofMillis(200);

  /** An endpoint that does not notice that a request was given up begins to run it within this. */
  public static final Duration MAX_QUEUE_TIME = Duration.ofSeconds(2);

  /** More requests than one gateway has open at an endpoint. */
  public static final int CAPACITY = 500;

  private final Map<String, Incomplete> incomplete = new LinkedHashMap<>();

  private record Incomplete(long atNanos, Duration survivedAfter) {}

  /** Records that the connection of a request that was sent here ended. */
  public void connectionClosed(String fingerprint, long nowNanos) {
    add(fingerprint, new Incomplete(nowNanos, IN_TRANSIT_TIME));
  }

  /** Records that a request that was sent here ended by its time, its caller or its sender. */
  public void abandoned(String fingerprint, long nowNanos) {
    add(fingerprint, new Incomplete(nowNanos, MAX_QUEUE_TIME));
  }

  /** Records that the endpoint sent a part of an answer. */
  public void responseReceived(long nowNanos) {
    if (!incomplete.isEmpty()) {
      incomplete.values().removeIf(one -> nowNanos - one.atNanos >= one.survivedAfter.toNanos());
    }
  }

  /** Returns the suspects, and forgets them: the endpoint has ended. */
  public List<String> removeAll(long nowNanos) {
    expire(nowNanos);
    List<String> taken = List.copyOf(incomplete.keySet());
    incomplete.clear();
    return taken;
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
