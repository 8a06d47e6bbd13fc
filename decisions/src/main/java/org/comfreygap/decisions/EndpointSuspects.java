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
 * suspects.connectionClosed(request, begun, now);
 * suspects.responseReceived(later);              // the endpoint still serves other requests
 * EndpointSuspects.Ended ended = suspects.removeAll(now);  // the endpoint has ended
 * }</pre>
 *
 * <p>An endpoint may stop responding instead of closing its connections, and its end is only
 * detected once it is back or missing from a list. An abandoned request therefore counts like one
 * whose connection closed; some endpoints even start to run it later.
 *
 * <p>A request crashes its endpoint when the endpoint begins to write the response. One whose
 * response has brought an event at this endpoint is therefore no suspect.
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

  private record Incomplete(
      SuspectRequest request, boolean begun, long atNanos, Duration survivedAfter) {}

  /**
   * The requests that were at the endpoint when it ended.
   *
   * @param suspects those that may be the cause
   * @param begun number of the others, whose response had begun
   */
  public record Ended(List<SuspectRequest> suspects, int begun) {}

  /**
   * Records that the connection of a request that was sent here closed.
   *
   * @param begun true when a complete event of its response was received
   */
  public void connectionClosed(SuspectRequest request, boolean begun, long nowNanos) {
    add(new Incomplete(request, begun, nowNanos, IN_TRANSIT_TIME));
  }

  /**
   * Records that a request that was sent here was abandoned by its deadline, its caller or its
   * sender.
   *
   * @param begun true when a complete event of its response was received
   */
  public void abandoned(SuspectRequest request, boolean begun, long nowNanos) {
    add(new Incomplete(request, begun, nowNanos, MAX_QUEUE_TIME));
  }

  /** Records that the endpoint sent part of a response. */
  public void responseReceived(long nowNanos) {
    if (!incomplete.isEmpty()) {
      incomplete
          .values()
          .removeIf(request -> nowNanos - request.atNanos >= request.survivedAfter.toNanos());
    }
  }

  /**
   * Returns true when a request with this fingerprint ended here and may still be found to have
   * ended the endpoint.
   *
   * @since 0.8
   */
  public boolean contains(String fingerprint, long nowNanos) {
    Incomplete known = incomplete.get(fingerprint);
    return known != null && !known.begun && nowNanos - known.atNanos < RETENTION.toNanos();
  }

  /** Removes and returns the suspects; call this when the endpoint has ended. */
  public Ended removeAll(long nowNanos) {
    expire(nowNanos);
    int begun = (int) incomplete.values().stream().filter(Incomplete::begun).count();
    List<SuspectRequest> suspects =
        incomplete.values().stream()
            .filter(request -> !request.begun)
            .map(Incomplete::request)
            .toList();
    incomplete.clear();
    return new Ended(suspects, begun);
  }

  private void add(Incomplete added) {
    expire(added.atNanos);
    incomplete.remove(added.request.fingerprint());
    incomplete.put(added.request.fingerprint(), added);
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
