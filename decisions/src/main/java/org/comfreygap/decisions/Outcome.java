package org.comfreygap.decisions;

import java.util.Locale;

/**
 * Whether a request ran at an endpoint, as far as is known.
 *
 * <p>Invariant: {@link #NOT_RUN} is only used when no byte of the request reached an endpoint.
 * Thread safety: immutable.
 *
 * @since 0.1
 */
public enum Outcome {
  /** The request certainly did not run; it may be retried. */
  NOT_RUN {
    @Override
    public boolean retryable(boolean idempotent) {
      return true;
    }
  },
  /** The request ran to its end. */
  RAN {
    @Override
    public boolean retryable(boolean idempotent) {
      return false;
    }
  },
  /** The request may have run, in part or in whole. */
  UNKNOWN {
    @Override
    public boolean retryable(boolean idempotent) {
      return idempotent;
    }
  };

  /** Returns true when a request with this outcome may be retried. */
  public abstract boolean retryable(boolean idempotent);

  /** Returns the outcome as written in the {@code Comfreygap-Outcome} header. */
  public String headerValue() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the combined outcome of two attempts of one request. */
  public Outcome and(Outcome other) {
    if (this == RAN || other == RAN) {
      return RAN;
    }
    return this == NOT_RUN && other == NOT_RUN ? NOT_RUN : UNKNOWN;
  }
}
