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
 * <p>Invariants: a suspect is forgotten once the endpoint was heard from {@link #SIGN_OF_LIFE}
 * after the request broke off, or {@link #LONGEST_QUEUE} after it was given up, after {@link
 * #MEMORY}, or when newer ones need its place. Not thread-safe.
 *
 * @since 0.2
 */
public final class EndpointSuspects {

  /** A silent endpoint is back, or missing in the list, after up to ten seconds. */
  public static final Duration MEMORY = Duration.ofSeconds(15);

  /** Bytes sent before the end arrive within a round trip between regions. */
  public static final Duration SIGN_OF_LIFE = Duration.ofMillis(200);

  /** An endpoint that does not notice that a request was given up begins to run it within this. */
  public static final Duration LONGEST_QUEUE = Duration.ofSeconds(2);

  /** More requests than one gateway has open at an endpoint. */
  public static final int CAPACITY = 500;

  private final Map<String, Unanswered> unanswered = new LinkedHashMap<>();

  private record Unanswered(long atNanos, Duration survivedAfter) {}

  /** Records that the connection of a request that was sent here ended. */
  public void brokeOff(String fingerprint, long nowNanos) {
    add(fingerprint, new Unanswered(nowNanos, SIGN_OF_LIFE));
  }

  /** Records that a request that was sent here ended by its time, its caller or its sender. */
  public void givenUp(String fingerprint, long nowNanos) {
    add(fingerprint, new Unanswered(nowNanos, LONGEST_QUEUE));
  }

  /** Records that the endpoint sent a part of an answer. */
  public void heard(long nowNanos) {
    if (!unanswered.isEmpty()) {
      unanswered.values().removeIf(one -> nowNanos - one.atNanos >= one.survivedAfter.toNanos());
    }
  }

  /** Returns the suspects, and forgets them: the endpoint has ended. */
  public List<String> taken(long nowNanos) {
    expire(nowNanos);
    List<String> taken = List.copyOf(unanswered.keySet());
    unanswered.clear();
    return taken;
  }

  private void add(String fingerprint, Unanswered added) {
    expire(added.atNanos);
    unanswered.remove(fingerprint);
    unanswered.put(fingerprint, added);
    if (unanswered.size() > CAPACITY) {
      Iterator<Unanswered> oldest = unanswered.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  private void expire(long nowNanos) {
    Iterator<Unanswered> oldest = unanswered.values().iterator();
    while (oldest.hasNext() && nowNanos - oldest.next().atNanos >= MEMORY.toNanos()) {
      oldest.remove();
    }
  }
}
