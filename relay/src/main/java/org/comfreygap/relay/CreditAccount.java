package org.comfreygap.relay;

import java.time.Duration;
import org.comfreygap.decisions.CustomerCredit;
import org.comfreygap.decisions.CustomerCredit.Ticket;
import org.comfreygap.decisions.RetryAfterSchedule;

/**
 * The credit of one customer at this gateway, with what control said of its limit.
 *
 * <p>Invariant: it belongs to one customer for good; a reservation keeps its account also after the
 * gateway has dropped it. Thread safety: used on the event loop only.
 */
final class CreditAccount {

  /**
   * Time without a reservation after which an account is dropped. Grants have expired and debts are
   * paid within seconds, and control forgets a gateway after the same time.
   */
  static final Duration RETENTION = Duration.ofSeconds(60);

  private final String customer;
  private final CustomerCredit credit = new CustomerCredit();
  private final RetryAfterSchedule retries = new RetryAfterSchedule();
  private long tokensPerSecond;

  CreditAccount(String customer) {
    this.customer = customer;
  }

  String customer() {
    return customer;
  }

  CustomerCredit credit() {
    return credit;
  }

  /** Sets the limit of the customer over all gateways. */
  void tokensPerSecond(long limit) {
    tokensPerSecond = limit;
  }

  /** Returns the time after which a refused request should be retried. */
  Duration retryDelay(Ticket refused, int gateways, long nowNanos) {
    Duration earliest = Duration.ofMillis(refused.retryAfterMillis());
    double share = tokensPerSecond / (double) Math.max(1, gateways);
    return share <= 0 ? earliest : retries.next(refused.tokens(), share, earliest, nowNanos);
  }

  boolean isIdle(long nowNanos) {
    return credit.isIdle(RETENTION, nowNanos);
  }
}
