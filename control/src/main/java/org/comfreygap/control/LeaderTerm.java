package org.comfreygap.control;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.EndpointLeases;
import org.comfreygap.decisions.LoadPermits;
import org.comfreygap.decisions.MembershipView;
import org.comfreygap.decisions.RequestLedger;
import org.comfreygap.decisions.TokenBudget;
import org.comfreygap.protocol.generated.ProcessIdentity;

/**
 * What a leader keeps in memory for one term.
 *
 * <p>Invariant: it is built anew for each term, from the replicated state and conservative
 * assumptions about what the previous leader granted. Thread safety: each policy is guarded by its
 * own monitor.
 */
final class LeaderTerm {

  /** Far above 370 gateways, 920 sidecars and 7 control instances. */
  private static final int MAX_PROCESSES = 5_000;

  private final long term;
  private final long startNanos;
  private final long startLogMillis;
  private final TokenBudget budget;
  private final LoadPermits permits;
  private final MembershipView<ProcessIdentity> members;
  private final EndpointLeases leases;
  private final ConcurrentHashMap<RequestLedger.Owner, Long> ownerLastContactNanos =
      new ConcurrentHashMap<>();
  private final Queue<List<TokenBudget.Ceiling>> committedCeilings = new ConcurrentLinkedQueue<>();
  private volatile CompletableFuture<?> ceilingCommit = CompletableFuture.completedFuture(null);

  LeaderTerm(long term, long startNanos, ControlState state) {
    this.term = term;
    this.startNanos = startNanos;
    this.startLogMillis = state.logMillis();
    this.budget = new TokenBudget(state.ceilings());
    this.permits = new LoadPermits(LoadPermits.Limits.DEFAULT, startNanos);
    this.members = new MembershipView<>(term, startNanos, MAX_PROCESSES);
    this.leases = new EndpointLeases(startNanos);
  }

  long term() {
    return term;
  }

  /** Returns the time of the log at {@code nowNanos}; monotonic time alone moves it. */
  long logMillis(long nowNanos) {
    return startLogMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
  }

  TokenBudget budget() {
    return budget;
  }

  LoadPermits permits() {
    return permits;
  }

  MembershipView<ProcessIdentity> members() {
    return members;
  }

  EndpointLeases leases() {
    return leases;
  }

  /** Returns when each gateway process last entered or closed a request. */
  ConcurrentHashMap<RequestLedger.Owner, Long> ownerLastContactNanos() {
    return ownerLastContactNanos;
  }

  /**
   * Returns the committed ceilings that the budget does not know yet. The threads of the log only
   * add to it, since they must not wait for the monitor of the budget.
   */
  Queue<List<TokenBudget.Ceiling>> committedCeilings() {
    return committedCeilings;
  }

  /** Returns the newest commit of credit ceilings. */
  CompletableFuture<?> ceilingCommit() {
    return ceilingCommit;
  }

  void ceilingCommit(CompletableFuture<?> newest) {
    ceilingCommit = newest;
  }
}
