package org.comfreygap.bench;

/**
 * What the caller saw of one request.
 *
 * @param planned the request
 * @param gateway index of the gateway it was sent to
 * @param sentMicros when it was sent, on the machine's clock
 * @param firstMicros when the first byte of the answer's body arrived; 0 without one
 * @param endMicros when it ended
 * @param status HTTP status; 0 without a response
 * @param outcome value of Comfreygap-Outcome; empty without one
 * @param verdict the caller's judgement
 * @param detail for people
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

  /** The caller's judgement of an answer. */
  public enum Verdict {
    /** The complete answer to the caller's own request. */
    COMPLETE,
    /** An error answer that names no fault of the caller: 429, 502, 503 and the like. */
    REFUSED,
    /** A refusal that the caller's request deserves, for example a withdrawn key. */
    REJECTED,
    /** No answer, a broken connection, or an answer that reports its own failure. */
    BROKEN,
    /** The caller gave up waiting. */
    TIMED_OUT,
    /** An answer that ends as if complete although parts are missing. */
    CUT,
    /** An answer to another request, or from another adapter. */
    MIXED
  }

  /** Returns true when the complete answer arrived. */
  public boolean complete() {
    return verdict == Verdict.COMPLETE;
  }

  /** Returns the time from sending to the end in milliseconds. */
  public double latencyMillis() {
    return (endMicros - sentMicros) / 1_000.0;
  }
}
