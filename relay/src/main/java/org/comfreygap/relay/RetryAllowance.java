package org.comfreygap.relay;

import java.util.Optional;

/**
 * The retry that the budget of a pool allowed to one request.
 *
 * <p>Invariant: a retry is counted at the pool it is written to, at the time of the write. Thread
 * safety: used on the event loop only.
 */
final class RetryAllowance {

  private final RelayContext relay;
  private Optional<Counted> counted = Optional.empty();

  RetryAllowance(RelayContext relay) {
    this.relay = relay;
  }

  private record Counted(String pool, long nanos) {}

  /** Counts a retry if the budget of the pool allows it. */
  boolean obtain(String pool, long nowNanos) {
    boolean allowed = relay.tryRetry(pool, nowNanos);
    counted = allowed ? Optional.of(new Counted(pool, nowNanos)) : Optional.empty();
    return allowed;
  }

  /**
   * Counts the retry, if the next attempt is one, at {@code nowNanos}; may be called again while
   * the attempt is not written.
   *
   * @param refused run when the budget allows the retry no longer
   * @return true when the attempt may be written
   */
  boolean use(String pool, long nowNanos, Runnable refused) {
    if (counted.isEmpty()) {
      return true;
    }
    Counted last = counted.get();
    boolean allowed =
        last.pool().equals(pool)
            ? relay.recountRetry(pool, last.nanos(), nowNanos)
            : relay.tryRetry(pool, nowNanos);
    counted = allowed ? Optional.of(new Counted(pool, nowNanos)) : Optional.empty();
    if (!allowed) {
      refused.run();
    }
    return allowed;
  }
}
