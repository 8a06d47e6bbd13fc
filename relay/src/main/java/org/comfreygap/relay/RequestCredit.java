package org.comfreygap.relay;

import java.util.Optional;
import org.comfreygap.decisions.CustomerCredit.State;

/**
 * The credit that one request reserves of the customer for which it is sent.
 *
 * <p>Tokens are settled with the account that they were reserved of, also when the key has another
 * holder by then or the customer is gone. Before the request is sent for another customer, it needs
 * a reservation of that one.
 *
 * <p>Invariant: what was reserved is settled or withdrawn once, when the request has ended or is
 * charged to another customer. Thread safety: used on the event loop only.
 */
final class RequestCredit {

  private final CreditManager credit;
  private final AttemptHistory history;
  private int runsBefore;
  private Optional<String> customer = Optional.empty();
  private Optional<CreditReservation> reservation = Optional.empty();

  RequestCredit(CreditManager credit, AttemptHistory history) {
    this.credit = credit;
    this.history = history;
  }

  /**
   * Returns true when the request is charged to the customer of a decision, or to none where that
   * has none.
   */
  boolean covers(RouteDecision decision) {
    return customer.equals(decision.customerId());
  }

  /**
   * Charges the request to the customer of a decision from here on, while no attempt is in
   * progress. What was reserved of another customer before is settled.
   *
   * @param table tables of the decision; customers without limits in them are not charged
   * @param decided run once the reservation is granted or refused, perhaps before this returns
   */
  void reserve(RouteDecision decision, RouteTable table, long nowNanos, Runnable decided) {
    settle(false, nowNanos);
    runsBefore = history.runs();
    customer = decision.customerId();
    reservation =
        customer
            .filter(table::hasLimits)
            .map(
                limited ->
                    credit.reserve(
                        limited,
                        decision.tokens(),
                        decision.priority(),
                        RequestTimeouts.creditTimeout(decision.route()),
                        nowNanos,
                        decided));
    if (!isWaiting()) {
      decided.run();
    }
  }

  /** Returns true while control has not decided. */
  boolean isWaiting() {
    return reservation.filter(taken -> taken.state() == State.WAITING).isPresent();
  }

  /** Returns why the request is refused, if its reservation was. */
  Optional<Refusal> refusal(long nowNanos) {
    return reservation
        .filter(taken -> taken.state() == State.REFUSED)
        .map(refused -> credit.refusal(refused, nowNanos));
  }

  /**
   * Settles the reservation: its tokens are given back if the request cannot have run since.
   *
   * @param running true when an attempt that was written is in progress
   */
  void settle(boolean running, long nowNanos) {
    boolean used = running || history.runs() > runsBefore;
    Optional<CreditReservation> taken = reservation;
    reservation = Optional.empty();
    taken.ifPresent(reserved -> credit.settle(reserved, used, nowNanos));
  }

  /** Returns the state of the credit that a decision asks for, for the log. */
  String describe(RouteDecision decision, long nowNanos) {
    return reservation
        .map(taken -> credit.describe(taken.customer(), nowNanos))
        .orElseGet(
            () ->
                decision
                    .customerId()
                    .map(known -> credit.describe(known, nowNanos))
                    .orElse(CreditManager.NO_ACCOUNT));
  }
}
