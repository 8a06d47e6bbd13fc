package org.comfreygap.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The accounts of the customers whose requests came to this gateway lately.
 *
 * <p>Invariant: customers that come and go for ever do not add up, as accounts without any use for
 * {@link CreditAccount#RETENTION} are dropped. Thread safety: used on one thread only.
 */
final class CreditAccounts {

  private final Map<String, CreditAccount> accounts = new HashMap<>();

  /** Returns the account of a customer, which is created without any credit if there is none. */
  CreditAccount open(String customer) {
    return accounts.computeIfAbsent(customer, CreditAccount::new);
  }

  /** Returns the account of a customer, unless there is none or it was dropped. */
  Optional<CreditAccount> find(String customer) {
    return Optional.ofNullable(accounts.get(customer));
  }

  /** Returns the accounts that there are now; more may be opened while the list is read. */
  List<CreditAccount> all() {
    return List.copyOf(accounts.values());
  }

  /** Drops the accounts that are not used any more. */
  void dropIdle(long nowNanos) {
    accounts.values().removeIf(account -> account.isIdle(nowNanos));
  }
}
