package org.comfreygap.relay;

import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.RepeatPolicy;
import org.comfreygap.settings.Documents.Route;

/**
 * The attempts of one request so far: how many ran or were refused, and whether one may have run.
 *
 * <p>Invariant: once an attempt may have run, this stays so. Thread safety: used on the event loop
 * only.
 */
final class AttemptHistory {

  private int refusals;
  private int runs;
  private boolean mayHaveRun;
  private boolean runCounted;

  /** Records the start of an attempt. */
  void begin() {
    runCounted = false;
  }

  /** Records that the response of the attempt has begun, which shows that it runs. */
  void responseBegan() {
    mayHaveRun = true;
    runCounted = true;
    runs++;
  }

  /** Records the end of the attempt. */
  void ended(Outcome outcome) {
    boolean notRun = outcome == Outcome.NOT_RUN;
    mayHaveRun |= !notRun;
    refusals += notRun ? 1 : 0;
    runs += !notRun && !runCounted ? 1 : 0;
  }

  /** Records the end of an attempt that was written while the current one was in progress. */
  void secondEnded(Outcome outcome) {
    boolean notRun = outcome == Outcome.NOT_RUN;
    mayHaveRun |= !notRun;
    runs += notRun ? 0 : 1;
  }

  /** Records that the attempt is given up after it was sent. */
  void abandoned() {
    mayHaveRun = true;
  }

  /** Records that an endpoint was not ready for the request; returns true when it is enough. */
  boolean refusedBeforeSend() {
    refusals++;
    return refusals > RepeatPolicy.MAX_REFUSALS;
  }

  /** Returns true when an attempt may have run. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns the number of attempts that have ended, or brought a response, and may have run. */
  int runs() {
    return runs;
  }

  /** Returns true when a response that failed may be replaced by another run. */
  boolean runsLeft(Route route) {
    return runs < route.maxAttempts();
  }

  /**
   * Returns true when a route allows another attempt after those so far, of which one may have run
   * while the route said otherwise.
   */
  boolean allowsAttemptBy(Route route) {
    return !mayHaveRun || (route.idempotent() && runsLeft(route));
  }

  /** Returns true when the attempt in progress may be replaced by another run. */
  boolean runsLeftBesideCurrent(Route route) {
    return runs + (runCounted ? 0 : 1) < route.maxAttempts();
  }

  /** Returns true when the request may be sent again after an attempt that ended so. */
  boolean allowsAnother(
      Outcome outcome, Route route, ResponseForwarder response, long deadlineNanos, long now) {
    RepeatPolicy.History history =
        new RepeatPolicy.History(
            outcome,
            route.idempotent(),
            refusals,
            runs,
            route.maxAttempts(),
            response.started(),
            response.resumable());
    return RepeatPolicy.allows(history, deadlineNanos, now);
  }
}
