package org.comfreygap.gateway;

import org.comfreygap.decisions.CustomerCredit.Ticket;

/**
 * Credit reserved for a request, with its account.
 *
 * <p>Thread safety: immutable; {@link CreditController} guards the ticket.
 */
record ReservedCredit(CreditController.Account account, Ticket ticket) {}
