package org.comfreygap.decisions;

/**
 * Decides which of the two attempts of a request goes on, and which one is ended.
 *
 * <pre>{@code
 * if (race.begin()) { openConnection(); }
 * if (race.write()) { send(); }
 * if (race.secondUseful() == Move.DROP_FIRST) { first.cancel(); goOnWith(second); }
 * }</pre>
 *
 * <p>Invariants: a second attempt is begun once at most, and written only while the first has
 * neither brought useful output nor ended; of two attempts exactly one goes on; while one is in
 * progress the end of the other does not end the request. Thread safety: not thread-safe.
 *
 * @since 0.8
 */
public final class HedgeRace {

  private State state = State.ALONE;
  private boolean begun;

  private enum State {
    /** Only the request's own attempt is in progress, without useful output. */
    ALONE,
    /** The second attempt waits for its connection. */
    OPENING,
    /** Both attempts are written and have no useful output. */
    BOTH,
    /** It is decided which attempt goes on. */
    DECIDED
  }

  /** What follows from an event of one attempt. */
  public enum Move {
    /** Nothing; the other attempt, if there is one, stays as it is. */
    NONE,
    /** The second attempt is cancelled. */
    DROP_SECOND,
    /** The first attempt is cancelled, and the request goes on with the second. */
    DROP_FIRST,
    /** The first attempt has ended, and the request goes on with the second. */
    GO_ON_WITH_SECOND
  }

  /** Begins the second attempt; false when there was one, or none is needed. */
  public boolean begin() {
    if (!mayBegin()) {
      return false;
    }
    begun = true;
    state = State.OPENING;
    return true;
  }

  /** Returns true while a second attempt may be begun. */
  public boolean mayBegin() {
    return !begun && state == State.ALONE;
  }

  /** Returns true while both attempts are written and neither goes on yet. */
  public boolean runsBoth() {
    return state == State.BOTH;
  }

  /** Records that the second attempt is written; false when it must not be. */
  public boolean write() {
    if (state != State.OPENING) {
      return false;
    }
    state = State.BOTH;
    return true;
  }

  /** Records useful output of the first attempt. */
  public Move firstUseful() {
    Move move = hasSecond() ? Move.DROP_SECOND : Move.NONE;
    state = State.DECIDED;
    return move;
  }

  /** Records useful output of the second attempt. */
  public Move secondUseful() {
    if (state != State.BOTH) {
      return Move.NONE;
    }
    state = State.DECIDED;
    return Move.DROP_FIRST;
  }

  /** Records that the first attempt has ended without a useful response. */
  public Move firstFailed() {
    if (state == State.BOTH) {
      state = State.DECIDED;
      return Move.GO_ON_WITH_SECOND;
    }
    // One that is not written is no faster than a retry, which has rules of its own.
    Move move = state == State.OPENING ? Move.DROP_SECOND : Move.NONE;
    state = state == State.OPENING ? State.ALONE : state;
    return move;
  }

  /** Records that the second attempt has failed or must not be written. */
  public void secondFailed() {
    state = hasSecond() ? State.ALONE : state;
  }

  /** Records that the request has ended. */
  public Move requestEnded() {
    return firstUseful();
  }

  private boolean hasSecond() {
    return state == State.OPENING || state == State.BOTH;
  }
}
