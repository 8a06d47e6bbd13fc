package org.comfreygap.relay;

import org.comfreygap.decisions.CustomerCredit.State;
import org.comfreygap.decisions.CustomerCredit.Ticket;

/**
 * Tokens that a request has reserved, with the account that they belong to.
 *
 * <p>Thread safety: immutable; {@link CreditManager} changes the state of the ticket on the event
 * loop.
 */
record CreditReservation(CreditAccount account, Ticket ticket) {

  /** Returns the id of the customer whose tokens these are. */
  String customer() {
    return account.customer();
  }

  State state() {
    return ticket.state();
  }
}
