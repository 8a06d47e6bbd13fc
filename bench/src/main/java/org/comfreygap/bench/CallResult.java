package org.comfreygap.bench;

/**
 * Result of one request as seen by its caller.
 *
 * @param planned the request
 * @param gateway index of the gateway it was sent to
 * @param sentMicros when it was sent, on the machine's clock
 * @param firstMicros when the first byte of the response body arrived; 0 without one
 * @param endMicros when it ended
 * @param status HTTP status; 0 without a response
 * @param outcome value of Comfreygap-Outcome; empty without one
 * @param verdict the caller's verdict on the response
 * @param detail human-readable detail
 * @since 0.1
 */
public record CallResult(
    PlannedRequest planned,
    int gateway,
    long sentMicros,
    long firstMicros,
    long endMicros,
    int status,
    String outcome,
    Verdict verdict,
    String detail) {

  /** The caller's verdict on a response. */
  public enum Verdict {
    /** The complete response to the caller's own request. */
    COMPLETE,
    /** An error response without fault of the caller, such as 429, 502 or 503. */
    REFUSED,
    /** An error response to an invalid request, for example one with a withdrawn key. */
    REJECTED,
    /** No response, a broken connection, or a response that reports its own failure. */
    BROKEN,
    /** The caller's timeout expired. */
    TIMED_OUT,
    /** A response that ends as if complete although parts are missing. */
    CUT,
    /** A response to another request, or from another adapter. */
    MIXED
  }

  /** Returns true when the complete response arrived. */
  public boolean complete() {
    return verdict == Verdict.COMPLETE;
  }

  /** Returns the time from sending to the end in milliseconds. */
  public double latencyMillis() {
    return (endMicros - sentMicros) / 1_000.0;
  }
}
