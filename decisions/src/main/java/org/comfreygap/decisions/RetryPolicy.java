package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Decides whether and when a request that an endpoint did not complete is retried.
 *
 * <p>Work that certainly did not run, and idempotent work, may be retried while time, attempts and
 * the retry budget allow. The budget grows with admitted requests, so that retries cannot multiply
 * the load of a failing fleet. A planned move away from an endpoint is not charged to the budget:
 * it does not indicate overload, and taking a zone out of use must not cause refusals.
 *
 * <pre>{@code
 * Decision next = policy.next(outcome, idempotent, Cause.UNREACHABLE, attempts, 0, deadline, now);
 * }</pre>
 *
 * <p>Invariant: a request with outcome {@link Outcome#RAN}, or a non-idempotent one with {@link
 * Outcome#UNKNOWN}, is never retried. Thread safety: not thread-safe.
 *
 * @since 0.1
 */
public final class RetryPolicy {

  /** Most attempts for one request, planned moves included. */
  public static final int MAX_ATTEMPTS = 8;

  /** Most attempts for one request that are charged to the budget, the first included. */
  public static final int MAX_CHARGED_ATTEMPTS = 4;

  /** Longest pause before another attempt; a request that needs a longer one is not retried. */
  public static final Duration MAX_PAUSE = Duration.ofMillis(1_000);

  /** Minimum time to the deadline for another attempt to be useful. */
  public static final Duration MIN_REMAINING_TIME = Duration.ofMillis(20);

  /** Retries allowed for each admitted request. */
  public static final double BUDGET_PER_REQUEST = 0.2;

  /** Retries that may be saved up; also the budget at the start. */
  public static final double BUDGET_LIMIT = 100;

  private double budget = BUDGET_LIMIT;

  /** Why an attempt did not complete. */
  public enum Cause {
    /** The endpoint is being taken out of use as planned. */
    MOVED(false),
    /** The endpoint has too much work, is cold or waits for a load permit. */
    BUSY(true),
    /** No connection could be opened. */
    UNREACHABLE(true),
    /** The attempt started and was interrupted. */
    BROKEN(true),
    /** The endpoint refused in a way that no other endpoint would change. */
    FINAL(true);

    private final boolean charged;

    Cause(boolean charged) {
      this.charged = charged;
    }

    /** Returns true when a retry after this cause takes from the budget. */
    public boolean charged() {
      return charged;
    }
  }

  /**
   * Whether and when to retry.
   *
   * @param delayMillis pause before the next attempt
   */
  public record Decision(boolean retry, long delayMillis) {

    private static final Decision NO_RETRY = new Decision(false, 0);
    private static final Decision NOW = new Decision(true, 0);
  }

  /** Records that a request was admitted, which adds to the budget. */
  public void admitted() {
    budget = Math.min(BUDGET_LIMIT, budget + BUDGET_PER_REQUEST);
  }

  /**
   * Decides on the next attempt and takes it from the budget.
   *
   * @param attempts attempts made so far, at least 1
   * @param chargedAttempts number of those that were the first or were charged
   * @param pauseMillis time after which another attempt is useful; 0 when one is useful now
   * @param deadlineNanos monotonic time at which the request ends
   */
  public Decision next(
      Outcome outcome,
      boolean idempotent,
      Cause cause,
      int attempts,
      int chargedAttempts,
      long pauseMillis,
      long deadlineNanos,
      long nowNanos) {
    long pauseNanos = Duration.ofMillis(pauseMillis).toNanos();
    if (cause == Cause.FINAL
        || !outcome.retryable(idempotent)
        || attempts >= MAX_ATTEMPTS
        || pauseNanos > MAX_PAUSE.toNanos()
        || deadlineNanos - nowNanos - pauseNanos < MIN_REMAINING_TIME.toNanos()) {
      return Decision.NO_RETRY;
    }
    if (cause.charged()) {
      if (chargedAttempts >= MAX_CHARGED_ATTEMPTS || budget < 1) {
        return Decision.NO_RETRY;
      }
      budget -= 1;
    }
    return pauseMillis == 0 ? Decision.NOW : new Decision(true, pauseMillis);
  }
}
