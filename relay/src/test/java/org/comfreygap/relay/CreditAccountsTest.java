package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.comfreygap.decisions.CustomerCredit.Ticket;
import org.comfreygap.settings.Priority;
import org.junit.jupiter.api.Test;

/** Tests which accounts of customers a gateway keeps. */
class CreditAccountsTest {

  private static final long HOUR = Duration.ofHours(1).toNanos();
  private static final long LIFETIME = Duration.ofSeconds(2).toNanos();
  private static final int HOURS_OF_A_YEAR = 8_760;

  private final CreditAccounts accounts = new CreditAccounts();

  /** Guards against a gateway whose memory grows with each name that a customer ever had. */
  @Test
  void dropsAccountsOfNamesThatAreGone() {
    for (int hour = 0; hour < HOURS_OF_A_YEAR; hour++) {
      long now = hour * HOUR;
      CreditAccount account = accounts.open("main/name-" + hour);
      account.credit().granted(1_000, now + LIFETIME, 0, now);
      Ticket ticket = account.credit().reserve(100, Priority.NORMAL, now);
      account.credit().settle(ticket, hour % 2 * 100, now);
      account.credit().exchange(now);
      accounts.dropIdle(now);
    }

    assertThat(accounts.all()).hasSizeLessThanOrEqualTo(2);
  }

  /** Guards against a refund that is lost because the stream that brings it took long. */
  @Test
  void keepsAccountUntilItsLastRequestIsSettledAndReported() {
    CreditAccount account = accounts.open("main/customer");
    account.credit().granted(1_000, LIFETIME, 0, 0);
    Ticket ticket = account.credit().reserve(100, Priority.NORMAL, 0);
    account.credit().exchange(0);
    accounts.dropIdle(HOUR);
    assertThat(accounts.find("main/customer")).isPresent();

    account.credit().settle(ticket, 0, HOUR);
    accounts.dropIdle(HOUR);
    assertThat(accounts.find("main/customer")).isPresent();
    assertThat(account.credit().exchange(HOUR).orElseThrow().refunded()).isEqualTo(100);

    accounts.dropIdle(HOUR);
    assertThat(accounts.find("main/customer")).isEmpty();
  }

  /** A customer that is removed while it owes tokens gets no grant that would pay them. */
  @Test
  void dropsAccountWithDebtThatNobodyPays() {
    CreditAccount account = accounts.open("main/customer");
    account.credit().overdraft(500);
    Ticket ticket = account.credit().reserve(100, Priority.NORMAL, 0);
    account.credit().settle(ticket, 100, 0);
    accounts.dropIdle(CreditAccount.RETENTION.toNanos() - 1);
    assertThat(accounts.find("main/customer")).isPresent();

    accounts.dropIdle(CreditAccount.RETENTION.toNanos());
    assertThat(accounts.find("main/customer")).isEmpty();
  }
}
