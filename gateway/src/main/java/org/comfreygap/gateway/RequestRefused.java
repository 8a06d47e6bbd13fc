package org.comfreygap.gateway;

import org.comfreygap.decisions.Outcome;

/**
 * A request gets an error as its answer.
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

  /** Returns the refusal of a request that did not run. */
  public static RequestRefused notRun(CallerError error, String message) {
    return new RequestRefused(error, message, Outcome.NOT_RUN, error.retryAfterMillis());
  }

  /** Returns the refusal of a request with {@code outcome}. */
  public static RequestRefused of(CallerError error, String message, Outcome outcome) {
    return new RequestRefused(error, message, outcome, error.retryAfterMillis());
  }

  /** Returns this refusal with the time after which the caller may try again. */
  public RequestRefused withRetryAfter(long millis) {
    return new RequestRefused(error, getMessage(), outcome, millis);
  }

  /** Returns the kind of error. */
  public CallerError error() {
    return error;
  }

  /** Returns this refusal with another outcome. */
  public RequestRefused withOutcome(Outcome other) {
    return new RequestRefused(error, getMessage(), other, retryAfterMillis);
  }

  /** Returns whether the request ran. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns the time after which another try is useful in milliseconds, 0 for none. */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }
}
