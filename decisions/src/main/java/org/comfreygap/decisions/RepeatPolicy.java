package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Decides whether a request of a route may be sent again after an attempt that did not complete.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.2
 */
public final class RepeatPolicy {

  /** Attempts proven not to have run after which the request is abandoned. */
  public static final int MAX_REFUSALS = 4;

  /** Minimum time left for another attempt to be useful. */
  public static final Duration MIN_REMAINING_TIME = Duration.ofMillis(20);

  private RepeatPolicy() {}

  /**
   * The attempts of a request so far.
   *
   * @param outcome what is known about the attempt that has just ended
   * @param idempotent true when the request may run more than once
   * @param refusals attempts that proved not to have run, this one included
   * @param runs attempts that ran or may have run, this one included
   * @param maxRuns most attempts that may run
   * @param responseBegun true when the caller has received part of a response
   * @param resumable true when another attempt can continue after that part
   */
  public record History(
      Outcome outcome,
      boolean idempotent,
      int refusals,
      int runs,
      int maxRuns,
      boolean responseBegun,
      boolean resumable) {}

  /** Returns true when another attempt is allowed, apart from the budget for repeats. */
  public static boolean allows(History history, long endNanos, long nowNanos) {
    boolean notRun = history.outcome == Outcome.NOT_RUN;
    boolean safe = notRun || history.idempotent;
    boolean attemptsLeft =
        notRun ? history.refusals <= MAX_REFUSALS : history.runs < history.maxRuns;
    boolean canContinue = !history.responseBegun || history.resumable;
    boolean timeLeft = endNanos - nowNanos > MIN_REMAINING_TIME.toNanos();
    return safe && attemptsLeft && canContinue && timeLeft;
  }
}
