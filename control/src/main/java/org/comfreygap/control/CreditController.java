package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.comfreygap.decisions.TokenBudget;
import org.comfreygap.protocol.generated.CreditExchange;
import org.comfreygap.protocol.generated.CreditGrant;
import org.comfreygap.protocol.generated.CreditItem;
import org.comfreygap.protocol.generated.CreditReply;
import org.comfreygap.protocol.generated.InvalidCall;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.settings.Priority;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Distributes customer credit at the leader and commits the credit ceilings.
 *
 * <p>Invariant: no reply grants tokens beyond a committed ceiling, and none is sent after the
 * leader lease ended. Thread safety: any thread may call; the budget is guarded by its own monitor.
 */
@Singleton
final class CreditController {

  private static final Logger LOG = LoggerFactory.getLogger(CreditController.class);

  private static final int MAX_ITEMS = 1_000;
  private static final Duration MAX_COMMIT_WAIT = Duration.ofMillis(150);
  private static final long MAX_TOKENS = 10_000_000_000L;

  private final Leadership leadership;
  private final LimitsUpdater limitsUpdater;

  @Inject
  CreditController(Leadership leadership, ControlState state, ControlSettings settings) {
    this.leadership = leadership;
    this.limitsUpdater = new LimitsUpdater(state, settings.file().limitTolerance());
  }

  CreditReply exchange(CreditExchange request) throws NotLeader, InvalidCall {
    List<TokenBudget.Item> items = parseItems(request);
    LeaderTerm term = leadership.require();
    TokenBudget budget = term.budget();
    CompletableFuture<?> commit = null;
    synchronized (budget) {
      long now = System.nanoTime();
      limitsUpdater.update(term, now);
      applyProposedCeilings(term);
      commitCeilings(term, budget.ceilingsFor(items, now));
      if (budget.waitsForCeiling(items)) {
        commit = term.ceilingCommit();
      }
    }
    awaitCommit(commit);
    Optional<TokenBudget.Response> answer;
    TokenBudget.Holder holder =
        new TokenBudget.Holder(request.getGatewayId(), request.getStartId());
    synchronized (budget) {
      if (!leadership.holdsLease(term)) {
        throw leadership.notLeader();
      }
      applyProposedCeilings(term);
      answer = budget.exchange(holder, request.getSequence(), items, System.nanoTime());
    }
    TokenBudget.Response found =
        answer.orElseThrow(
            () ->
                new InvalidCall(
                    "given sequence " + request.getSequence() + ", expected a higher one"));
    return reply(request.getSequence(), found);
  }

  /**
   * Commits ceilings before they are needed and applies changed limits; called a few times a
   * second.
   */
  void maintain(LeaderTerm term) {
    synchronized (term.budget()) {
      long now = System.nanoTime();
      limitsUpdater.update(term, now);
      applyProposedCeilings(term);
      commitCeilings(term, term.budget().ceilingsAhead(now));
      term.budget().forgetIdle(now);
    }
  }

  private void commitCeilings(LeaderTerm term, List<TokenBudget.Ceiling> due) {
    if (due.isEmpty()) {
      return;
    }
    term.ceilingCommit(
        leadership
            .propose(term, millis -> new Command.CommitCeilings(millis, due))
            .whenComplete(
                (applied, failure) ->
                    (failure == null ? term.committedCeilings() : term.refusedCeilings())
                        .add(due)));
  }

  private static void applyProposedCeilings(LeaderTerm term) {
    List<TokenBudget.Ceiling> committed = term.committedCeilings().poll();
    while (committed != null) {
      term.budget().committed(committed);
      committed = term.committedCeilings().poll();
    }
    List<TokenBudget.Ceiling> refused = term.refusedCeilings().poll();
    while (refused != null) {
      term.budget().refused(refused);
      refused = term.refusedCeilings().poll();
    }
  }

  /**
   * Waits at most {@link #MAX_COMMIT_WAIT} for a commit: customers whose ceiling is high enough
   * must not wait for a slow disk, and the others still receive grants up to the committed ceiling.
   */
  private void awaitCommit(CompletableFuture<?> commit) throws NotLeader {
    if (commit == null) {
      return;
    }
    try {
      commit.get(MAX_COMMIT_WAIT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      LOG.debug(
          "credit ceilings were not committed within {}; the exchange continues under the committed"
              + " ceilings",
          MAX_COMMIT_WAIT,
          e);
    } catch (ExecutionException e) {
      throw leadership.notLeader();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw leadership.notLeader();
    }
  }

  private static List<TokenBudget.Item> parseItems(CreditExchange request) throws InvalidCall {
    if (request.getItemsSize() > MAX_ITEMS) {
      throw new InvalidCall(
          "given " + request.getItemsSize() + " items, expected at most " + MAX_ITEMS);
    }
    List<TokenBudget.Item> items = new ArrayList<>(request.getItemsSize());
    Set<String> customers = new HashSet<>();
    for (CreditItem item : request.getItems()) {
      if (!customers.add(item.getCustomer())) {
        throw new InvalidCall(
            "given customer " + item.getCustomer() + " twice, expected one item per customer");
      }
      items.add(
          new TokenBudget.Item(
              item.getCustomer(),
              checkTokens(item.getUsed()),
              checkTokens(item.getReturned()),
              checkTokens(item.getRefunded()),
              checkTokens(item.getWanted()),
              Priority.valueOf(item.getPriority().name()),
              checkTokens(item.getLeast())));
    }
    return items;
  }

  private static long checkTokens(long given) throws InvalidCall {
    if (given < 0 || given > MAX_TOKENS) {
      throw new InvalidCall("given " + given + " tokens, expected 0 to " + MAX_TOKENS);
    }
    return given;
  }

  private static CreditReply reply(long sequence, TokenBudget.Response answer) {
    long lifetimeMillis = TimeUnit.NANOSECONDS.toMillis(answer.lifetimeNanos());
    List<CreditGrant> grants = new ArrayList<>(answer.grants().size());
    for (TokenBudget.Granted grant : answer.grants()) {
      grants.add(
          new CreditGrant(
              grant.customer(),
              grant.tokens(),
              lifetimeMillis,
              TimeUnit.NANOSECONDS.toMillis(grant.retryAfterNanos()),
              grant.rate(),
              grant.burst()));
    }
    return new CreditReply(sequence, grants);
  }
}
