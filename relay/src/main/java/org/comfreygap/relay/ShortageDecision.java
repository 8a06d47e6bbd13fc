package org.comfreygap.relay;

import java.util.Optional;
import org.comfreygap.decisions.RepeatPolicy;

/**
 * Decides whether a request for which no endpoint was found waits for one or is refused.
 *
 * <p>Thread safety: stateless.
 */
final class ShortageDecision {

  private ShortageDecision() {}

  /**
   * Returns the refusal; empty when the request is to wait.
   *
   * @param placementDeadlineNanos time by which an attempt has to be sent
   * @param deadlineNanos time by which the response has to be complete
   */
  static Optional<Refusal> refusal(
      RelayContext relay,
      String pool,
      Placement.Shortage shortage,
      long placementDeadlineNanos,
      long deadlineNanos,
      long nowNanos) {
    if (shortage == Placement.Shortage.ALL_LIMITED) {
      return Optional.of(relay.limits().refusal(pool, relay.directory().pool(pool), nowNanos));
    }
    boolean expired =
        nowNanos - placementDeadlineNanos >= 0
            || deadlineNanos - nowNanos < RepeatPolicy.MIN_REMAINING_TIME.toNanos();
    boolean hopeless =
        shortage == Placement.Shortage.NONE_OPEN
            && relay.outages().expectedEmptyUntil(pool, placementDeadlineNanos, nowNanos);
    if (!expired && !hopeless) {
      return Optional.empty();
    }
    return Optional.of(
        shortage == Placement.Shortage.ALL_FULL
            ? Refusal.FULL
            : relay.outages().noEndpoint(relay.tables().get().pool(pool), nowNanos));
  }
}
