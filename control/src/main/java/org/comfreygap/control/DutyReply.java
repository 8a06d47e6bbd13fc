package org.comfreygap.control;

/**
 * What became of one call to the platform.
 *
 * <p>Thread safety: immutable.
 *
 * @param status HTTP status; 0 when no whole response arrived
 * @param cause what was seen, for the operator
 */
record DutyReply(Verdict verdict, int status, String cause) {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int REQUEST_TIMEOUT = 408;

  /** What a call's reply means for the call. */
  enum Verdict {
    /** The platform has taken the call. */
    ACCEPTED,
    /** The platform will never take the call. */
    REFUSED,
    /** Unknown, or refused for now: the same call is sent again. */
    LATER
  }

  /** Returns the reply for the status of a whole response. */
  static DutyReply of(int status) {
    String cause = "status " + status;
    if (status >= 200 && status < 300) {
      return new DutyReply(Verdict.ACCEPTED, status, cause);
    }
    boolean never =
        status >= 400 && status < 500 && status != TOO_MANY_REQUESTS && status != REQUEST_TIMEOUT;
    return new DutyReply(never ? Verdict.REFUSED : Verdict.LATER, status, cause);
  }

  /** Returns the reply for a call without a whole response. */
  static DutyReply broken(String cause) {
    return new DutyReply(Verdict.LATER, 0, cause);
  }
}
