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
 * suspects.unanswered(fingerprint, now);
 * suspects.heard(later);                        // the endpoint still answers others
 * List<String> reported = suspects.taken(now);  // it has ended
 * }</pre>
 *
 * <p>An endpoint may fall silent instead of closing its connections, and is known to have ended
 * only once it is back or missing in a list. So a request that was given up counts as much as one
 * whose connection broke.
 *
 * <p>Invariants: a suspect is forgotten once the endpoint was heard from {@link #SIGN_OF_LIFE}
 * after the request had ended, after {@link #MEMORY}, or when newer ones need its place. Not
 * thread-safe.
 *
 * @since 0.2
 */
public final class EndpointSuspects {

  /** A silent endpoint is back, or missing in the list, after up to ten seconds. */
  public static final Duration MEMORY = Duration.ofSeconds(15);

  /** Bytes sent before the end arrive within a round trip between regions. */
  public static final Duration SIGN_OF_LIFE = Duration.ofMillis(200);

  /** More requests than one gateway has open at an endpoint. */
  public static final int CAPACITY = 500;

  private final Map<String, Long> unansweredAtNanos = new LinkedHashMap<>();

  /** Records that a request was sent here and ended without the whole answer. */
  public void unanswered(String fingerprint, long nowNanos) {
    expire(nowNanos, MEMORY);
    unansweredAtNanos.remove(fingerprint);
    unansweredAtNanos.put(fingerprint, nowNanos);
    if (unansweredAtNanos.size() > CAPACITY) {
      Iterator<Long> oldest = unansweredAtNanos.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Records that the endpoint sent a part of an answer. */
  public void heard(long nowNanos) {
    expire(nowNanos, SIGN_OF_LIFE);
  }

  /** Returns the suspects, and forgets them: the endpoint has ended. */
  public List<String> taken(long nowNanos) {
    expire(nowNanos, MEMORY);
    List<String> taken = List.copyOf(unansweredAtNanos.keySet());
    unansweredAtNanos.clear();
    return taken;
  }

  /** Returns true when there are none. */
  public boolean isEmpty() {
    return unansweredAtNanos.isEmpty();
  }

  private void expire(long nowNanos, Duration age) {
    Iterator<Long> oldest = unansweredAtNanos.values().iterator();
    while (oldest.hasNext() && nowNanos - oldest.next() >= age.toNanos()) {
      oldest.remove();
    }
  }
}
