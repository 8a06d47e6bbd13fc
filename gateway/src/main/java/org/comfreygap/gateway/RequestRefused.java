package org.comfreygap.gateway;

import org.comfreygap.decisions.Outcome;

/**
 * Thrown when a request ends with an error response.
 *
 * <p>Invariant: the message never contains a caller's key. Thread safety: immutable.
 *
 * @since 0.1
 */
public final class RequestRefused extends Exception {

  private static final long serialVersionUID = 1L;

  private final CallerError error;
  private final Outcome outcome;
  private final long retryAfterMillis;

  private RequestRefused(
      CallerError error, String message, Outcome outcome, long retryAfterMillis) {
    super(message, null, false, false);
    this.error = error;
    this.outcome = outcome;
    this.retryAfterMillis = retryAfterMillis;
  }

  /** Returns an error for a request that did not run. */
  public static RequestRefused notRun(CallerError error, String message) {
    return new RequestRefused(error, message, Outcome.NOT_RUN, error.retryAfterMillis());
  }

  /** Returns an error for a request with {@code outcome}. */
  public static RequestRefused of(CallerError error, String message, Outcome outcome) {
    return new RequestRefused(error, message, outcome, error.retryAfterMillis());
  }

  /** Returns a copy with the delay in milliseconds after which the caller may retry. */
  public RequestRefused withRetryAfter(long millis) {
    return new RequestRefused(error, getMessage(), outcome, millis);
  }

  /** Returns the kind of error. */
  public CallerError error() {
    return error;
  }

  /** Returns a copy with another outcome. */
  public RequestRefused withOutcome(Outcome other) {
    return new RequestRefused(error, getMessage(), other, retryAfterMillis);
  }

  /** Returns whether the request ran. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns the delay before a retry is useful in milliseconds, or 0 when none is suggested. */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }
}
