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

  /** Attempts that ended with a proof of not having run, after which the request is given up. */
  public static final int MAX_REFUSALS = 4;

  /** Least time left with which another attempt is useful. */
  public static final Duration MIN_REMAINING_TIME = Duration.ofMillis(20);

  private RepeatPolicy() {}

  /**
   * What has happened to a request so far.
   *
   * @param outcome what is known about the attempt that has just ended
   * @param idempotent true when the request may run more than once
   * @param refusals attempts that proved not to have run, this one included
   * @param runs attempts that ran or may have run, this one included
   * @param maxRuns most attempts that may run
   * @param answerBegun true when the caller has a part of an answer
   * @param continuable true when another attempt can go on after that part
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
    boolean room = notRun ? history.refusals <= MAX_REFUSALS : history.runs < history.maxRuns;
    boolean joins = !history.responseBegun || history.resumable;
    boolean time = endNanos - nowNanos > MIN_REMAINING_TIME.toNanos();
    return safe && room && joins && time;
  }
}
