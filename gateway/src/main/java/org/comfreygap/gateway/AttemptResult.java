package org.comfreygap.gateway;

import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.RetryPolicy.Cause;
import org.comfreygap.protocol.generated.RefusalReason;

/**
 * Result of an attempt.
 *
 * <p>Thread safety: immutable.
 *
 * @param cause cause of an incomplete attempt; {@link Cause#FINAL} for a complete one
 * @param retryAfterMillis delay that the endpoint asked for before the next attempt, 0 when it gave
 *     none
 * @param tokensUsed tokens used by a complete attempt
 * @param crashed true when the endpoint crashed while the attempt ran
 * @param error error for the caller when the request fails with this result
 * @param detail short reason, without any part of the request
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

  /** Kinds of results; the names are values of a metric label. */
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
        "the sidecar refused the attempt: " + reason);
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
        "the sidecar is unreachable");
  }

  static AttemptResult broken(Outcome outcome, String detail) {
    return new AttemptResult(
        Kind.BROKEN, outcome, Cause.BROKEN, 0, 0, false, CallerError.ENDPOINT_FAILED, detail);
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
        "the request deadline has passed");
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
