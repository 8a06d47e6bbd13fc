package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Duration;
import java.util.Optional;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.RepeatingTask;

/**
 * Periodic tasks of the leader: advances time in the policies, commits credit ceilings before they
 * are needed, closes ledger entries of gateways that are gone, and polls the platform's list of
 * instances.
 *
 * <p>Thread safety: {@link #start} and {@link #close} are called once.
 */
@Singleton
final class LeaderDuties implements AutoCloseable {

  private static final Duration PERMIT_PERIOD = Duration.ofMillis(10);
  private static final Duration CREDIT_PERIOD = Duration.ofMillis(200);
  private static final Duration MEMBERSHIP_PERIOD = Duration.ofMillis(200);
  private static final Duration LEDGER_PERIOD = Duration.ofSeconds(1);

  private final Leadership leadership;
  private final CreditController credit;
  private final PermitController permits;
  private final MembershipController membership;
  private final LedgerController ledger;
  private final PlatformListPoller platformList;
  private final Closer closer = new Closer();

  @Inject
  LeaderDuties(
      Leadership leadership,
      CreditController credit,
      PermitController permits,
      MembershipController membership,
      LedgerController ledger,
      PlatformListPoller platformList) {
    this.leadership = leadership;
    this.credit = credit;
    this.permits = permits;
    this.membership = membership;
    this.ledger = ledger;
    this.platformList = platformList;
  }

  /** A periodic task of the leader. */
  private interface Duty {
    void run(LeaderTerm term) throws Exception;
  }

  void start() {
    every("load-permits", PERMIT_PERIOD, permits::maintain);
    every("credit-ceilings", CREDIT_PERIOD, credit::maintain);
    every("membership", MEMBERSHIP_PERIOD, membership::maintain);
    every("request-ledger", LEDGER_PERIOD, ledger::maintain);
    platformList.period().ifPresent(period -> every("platform-list", period, platformList::poll));
  }

  @Override
  public void close() {
    closer.close();
    platformList.close();
  }

  private void every(String name, Duration period, Duty duty) {
    closer.register(
        RepeatingTask.every(
            name,
            period,
            () -> {
              Optional<LeaderTerm> term = leadership.current();
              if (term.isPresent()) {
                duty.run(term.get());
              }
            }));
  }
}
