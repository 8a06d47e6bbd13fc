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
 * In-memory state of a leader for one term.
 *
 * <p>Invariant: it is rebuilt for each term from the replicated state and conservative assumptions
 * about the grants of the previous leader. Thread safety: each policy is guarded by its own
 * monitor.
 */
final class LeaderTerm {

  /** Far above the expected 370 gateways, 920 sidecars and 7 control instances. */
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
  private final Queue<List<TokenBudget.Ceiling>> refusedCeilings = new ConcurrentLinkedQueue<>();
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

  /** Returns the log time at {@code nowNanos}; it advances only by the monotonic clock. */
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

  /** Returns the monotonic time at which each gateway process last began a ledger entry. */
  ConcurrentHashMap<RequestLedger.Owner, Long> ownerLastContactNanos() {
    return ownerLastContactNanos;
  }

  /**
   * Returns the queue of committed ceilings that are not yet applied to the budget. The threads of
   * the log only add to the queue, since they must not wait for the monitor of the budget.
   */
  Queue<List<TokenBudget.Ceiling>> committedCeilings() {
    return committedCeilings;
  }

  /** Returns the queue of ceilings whose proposal failed and of which the budget does not know. */
  Queue<List<TokenBudget.Ceiling>> refusedCeilings() {
    return refusedCeilings;
  }

  /** Returns the most recent commit of credit ceilings. */
  CompletableFuture<?> ceilingCommit() {
    return ceilingCommit;
  }

  void ceilingCommit(CompletableFuture<?> newest) {
    ceilingCommit = newest;
  }
}
