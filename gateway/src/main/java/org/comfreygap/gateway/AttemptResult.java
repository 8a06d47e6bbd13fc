package org.comfreygap.gateway;

import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.RetryPolicy.Cause;
import org.comfreygap.protocol.generated.RefusalReason;

/**
 * How an attempt ended.
 *
 * <p>Thread safety: immutable.
 *
 * @param cause why it did not complete; {@link Cause#FINAL} when it did
 * @param retryAfterMillis when the endpoint wants the next try, 0 when it did not say
 * @param tokensUsed tokens used, for a complete answer
 * @param crashed true when the endpoint crashed while the attempt ran
 * @param error what the caller gets when the request is given up with this result
 * @param detail reason in a few words, without any part of the request
 */
record AttemptResult(
    Kind kind,
    Outcome outcome,
    Cause cause,
    long retryAfterMillis,
    long tokensUsed,
    boolean crashed,
    CallerError error,
    String detail) {

  /** The ways in which an attempt ends. */
  enum Kind {
    COMPLETE,
    REFUSED,
    FAILED,
    UNREACHABLE,
    BROKEN
  }

  static AttemptResult complete(long tokensUsed) {
    return new AttemptResult(
        Kind.COMPLETE, Outcome.RAN, Cause.FINAL, 0, tokensUsed, false, CallerError.INTERNAL, "");
  }

  static AttemptResult refused(RefusalReason reason, Outcome outcome, long retryAfterMillis) {
    return new AttemptResult(
        Kind.REFUSED,
        outcome,
        cause(reason),
        retryAfterMillis,
        0,
        false,
        error(reason),
        "the sidecar refused: " + reason);
  }

  static AttemptResult failed(Outcome outcome, boolean crashed) {
    return new AttemptResult(
        Kind.FAILED,
        outcome,
        Cause.BROKEN,
        0,
        0,
        crashed,
        CallerError.ENDPOINT_FAILED,
        crashed ? "the endpoint crashed" : "the endpoint failed");
  }

  static AttemptResult unreachable() {
    return new AttemptResult(
        Kind.UNREACHABLE,
        Outcome.NOT_RUN,
        Cause.UNREACHABLE,
        0,
        0,
        false,
        CallerError.NO_ENDPOINT,
        "the sidecar cannot be reached");
  }

  static AttemptResult broken(Outcome outcome, String why) {
    return new AttemptResult(
        Kind.BROKEN, outcome, Cause.BROKEN, 0, 0, false, CallerError.ENDPOINT_FAILED, why);
  }

  static AttemptResult expired() {
    return new AttemptResult(
        Kind.BROKEN,
        Outcome.UNKNOWN,
        Cause.FINAL,
        0,
        0,
        false,
        CallerError.DEADLINE_EXCEEDED,
        "the time for the request is over");
  }

  private static Cause cause(RefusalReason reason) {
    return switch (reason) {
      case ZONE_OUT, LEAVING, STOPPING, NO_LEASE, WRONG_ENDPOINT, STALE_SETTINGS -> Cause.MOVED;
      case QUEUE_FULL, COLD, LOAD_DELAYED, LOAD_FAILED, SHED, SUSPECT_BUSY -> Cause.BUSY;
      case ENDPOINT_UNREACHABLE -> Cause.UNREACHABLE;
      case UNKNOWN_ATTEMPT -> Cause.BROKEN;
      case DEADLINE, KEY_WITHDRAWN, QUARANTINED, CANCELLED -> Cause.FINAL;
    };
  }

  private static CallerError error(RefusalReason reason) {
    return switch (reason) {
      case KEY_WITHDRAWN -> CallerError.INVALID_KEY;
      case QUARANTINED -> CallerError.REQUEST_QUARANTINED;
      case DEADLINE -> CallerError.DEADLINE_EXCEEDED;
      case UNKNOWN_ATTEMPT, CANCELLED -> CallerError.ENDPOINT_FAILED;
      case QUEUE_FULL, COLD, LOAD_DELAYED, LOAD_FAILED, SHED, SUSPECT_BUSY ->
          CallerError.OVERLOADED;
      default -> CallerError.NO_ENDPOINT;
    };
  }
}
