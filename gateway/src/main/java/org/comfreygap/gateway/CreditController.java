package org.comfreygap.gateway;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import org.comfreygap.decisions.CustomerCredit;
import org.comfreygap.decisions.CustomerCredit.State;
import org.comfreygap.decisions.CustomerCredit.Ticket;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.protocol.generated.CreditExchange;
import org.comfreygap.protocol.generated.CreditGrant;
import org.comfreygap.protocol.generated.CreditItem;
import org.comfreygap.protocol.generated.CreditReply;
import org.comfreygap.protocol.generated.MemberState;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailableException;
import org.comfreygap.runtime.CreditItems;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.MembershipAgent;
import org.comfreygap.runtime.RepeatingTask;
import org.comfreygap.settings.Priority;

/**
 * Holds the credit of all customers at this gateway and exchanges it with control.
 *
 * <p>Invariant: exchanges are sent one at a time with increasing sequence numbers; an exchange
 * without a reply is resent unchanged, and the lifetime of its grants starts when it was first
 * sent. Thread safety: any thread may reserve and settle; each account has its own lock.
 */
@Singleton
final class CreditController implements AutoCloseable {

  private static final Duration EXCHANGE_PERIOD = Duration.ofMillis(100);
  // Limits the rate of exchanges while requests wait, so that a customer over its rate costs
  // little.
  private static final Duration MIN_EXCHANGE_INTERVAL = Duration.ofMillis(10);
  private static final Duration EXCHANGE_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);
  // Grants have expired and debts are paid by then; control forgets a gateway after the same time.
  private static final Duration ACCOUNT_RETENTION = Duration.ofSeconds(60);
  private static final Duration WAIT_TOLERANCE = Duration.ofMillis(50);
  private static final int MAX_ITEMS_PER_EXCHANGE = 1_000;
  // All gateways together hold at most 1/8 of a customer's burst in reserve for future requests.
  private static final long BURST_RESERVE_DIVISOR = 8;
  // Requests of one customer that wait for credit occupy at most 1/8 of the workers, so that a
  // customer over its rate leaves workers to others.
  private static final int WAITING_WORKERS_DIVISOR = 8;

  private final GatewaySettings settings;
  private final ProcessStart start;
  private final ControlClient control;
  private final MembershipAgent agent;
  private final EventLog events;
  private final GatewayMetrics metrics;
  private final Map<String, Account> accounts = new ConcurrentHashMap<>();
  private final ReentrantLock exchangeRequestLock = new ReentrantLock();
  private final Condition exchangeRequestedCondition = exchangeRequestLock.newCondition();
  private final int maxWaiting;
  private boolean exchangeRequested;
  private long sequence;
  private Optional<CreditExchange> pendingExchange = Optional.empty();
  private long pendingSentAtNanos;
  private RepeatingTask exchangeThread;

  @Inject
  CreditController(
      GatewaySettings settings,
      ProcessStart start,
      ControlClient control,
      MembershipAgent agent,
      EventLog events,
      GatewayMetrics metrics) {
    this.settings = settings;
    this.start = start;
    this.control = control;
    this.agent = agent;
    this.events = events;
    this.metrics = metrics;
    this.maxWaiting = Math.max(1, settings.workers() / WAITING_WORKERS_DIVISOR);
  }

  /** The credit of one customer and the threads that wait for it; its monitor guards both. */
  static final class Account {

    private final CustomerCredit credit;
    private final Map<Ticket, Thread> waitingThreads = new HashMap<>();
    private boolean dropped;

    private Account(int maxWaiting) {
      this.credit = new CustomerCredit(maxWaiting);
    }

    private void wakeDecidedWaiters() {
      Optional<Ticket> ticket = credit.nextDecided();
      while (ticket.isPresent()) {
        Thread thread = waitingThreads.remove(ticket.get());
        if (thread != null) {
          LockSupport.unpark(thread);
        }
        ticket = credit.nextDecided();
      }
    }
  }

  /** Starts the periodic exchange with control. */
  void start() {
    exchangeThread = RepeatingTask.continuous("credit-exchange", this::exchangeOnce);
  }

  /**
   * Reserves credit, waiting up to {@link CustomerCredit#MAX_WAIT} plus a small tolerance.
   *
   * @throws RequestRefused when no credit is granted in time
   */
  ReservedCredit reserve(String customer, long tokens, Priority priority) throws RequestRefused {
    ReservedCredit reserved = reserveOrQueue(customer, tokens, priority);
    Ticket ticket = reserved.ticket();
    if (ticket.state() == State.WAITING) {
      metrics.recordCreditWait();
      awaitDecision(reserved.account(), ticket);
    }
    if (ticket.state() != State.GRANTED) {
      metrics.recordCreditRefusal();
      throw RequestRefused.notRun(CallerError.RATE_LIMITED, "the customer exceeds its rate limit")
          .withRetryAfter(Math.max(1, ticket.retryAfterMillis()));
    }
    return reserved;
  }

  /** Reserves credit for a further attempt of a request without waiting; empty when refused. */
  Optional<ReservedCredit> reserveForRetry(
      ReservedCredit previous, long tokens, Priority priority) {
    Account account = previous.account();
    synchronized (account) {
      Ticket ticket = account.credit.reserve(tokens, priority, System.nanoTime());
      account.credit.abandon(ticket);
      return ticket.state() == State.GRANTED
          ? Optional.of(new ReservedCredit(account, ticket))
          : Optional.empty();
    }
  }

  /** Settles reserved credit with the tokens used. */
  void settle(ReservedCredit reserved, Outcome outcome, long tokensUsed) {
    long used = outcome == Outcome.NOT_RUN ? 0 : tokensUsed;
    synchronized (reserved.account()) {
      reserved.account().credit.settle(reserved.ticket(), used, System.nanoTime());
    }
  }

  /** Stops the exchange thread and returns all credit to control. */
  @Override
  public void close() {
    if (exchangeThread == null) {
      return;
    }
    exchangeThread.close();
    try {
      if (pendingExchange.isPresent()) {
        send(CLOSE_TIMEOUT);
      }
      pendingExchange = collectExchange(true);
      if (pendingExchange.isPresent()) {
        send(CLOSE_TIMEOUT);
      }
    } catch (ControlUnavailableException e) {
      events.record(GatewayEvent.CREDIT_EXCHANGE_FAILED, Field.of("cause", e.getMessage()));
    }
  }

  private ReservedCredit reserveOrQueue(String customer, long tokens, Priority priority) {
    while (true) {
      Account account = accounts.computeIfAbsent(customer, c -> new Account(maxWaiting));
      synchronized (account) {
        // One that was dropped since is in no exchange any more.
        if (!account.dropped) {
          Ticket ticket = account.credit.reserve(tokens, priority, System.nanoTime());
          if (ticket.state() == State.WAITING) {
            account.waitingThreads.put(ticket, Thread.currentThread());
          }
          // The reservation may have displaced a less urgent request that was waiting.
          account.wakeDecidedWaiters();
          return new ReservedCredit(account, ticket);
        }
      }
    }
  }

  private void awaitDecision(Account account, Ticket ticket) {
    requestExchange();
    long end = System.nanoTime() + CustomerCredit.MAX_WAIT.plus(WAIT_TOLERANCE).toNanos();
    boolean waiting = true;
    while (waiting) {
      LockSupport.parkNanos(this, end - System.nanoTime());
      synchronized (account) {
        boolean expired = end - System.nanoTime() <= 0 || Thread.currentThread().isInterrupted();
        if (expired && ticket.state() == State.WAITING) {
          account.credit.abandon(ticket);
          account.waitingThreads.remove(ticket);
        }
        waiting = ticket.state() == State.WAITING;
      }
    }
  }

  private void requestExchange() {
    exchangeRequestLock.lock();
    try {
      exchangeRequested = true;
      exchangeRequestedCondition.signal();
    } finally {
      exchangeRequestLock.unlock();
    }
  }

  private void exchangeOnce() throws InterruptedException {
    exchangeRequestLock.lock();
    try {
      long remainingNanos = EXCHANGE_PERIOD.toNanos();
      while (!exchangeRequested && remainingNanos > 0) {
        remainingNanos = exchangeRequestedCondition.awaitNanos(remainingNanos);
      }
      exchangeRequested = false;
    } finally {
      exchangeRequestLock.unlock();
    }
    if (pendingExchange.isEmpty()) {
      pendingExchange = collectExchange(false);
      pendingSentAtNanos = System.nanoTime();
    }
    if (pendingExchange.isPresent()) {
      try {
        send(EXCHANGE_TIMEOUT);
      } catch (ControlUnavailableException e) {
        events.record(GatewayEvent.CREDIT_EXCHANGE_FAILED, Field.of("cause", e.getMessage()));
      }
      TimeUnit.NANOSECONDS.sleep(MIN_EXCHANGE_INTERVAL.toNanos());
    }
  }

  private void send(Duration timeout) throws ControlUnavailableException {
    CreditExchange exchange = pendingExchange.orElseThrow();
    CreditReply reply = control.callLeader(timeout, client -> client.exchangeCredit(exchange));
    pendingExchange = Optional.empty();
    long now = System.nanoTime();
    long reserveParts = BURST_RESERVE_DIVISOR * liveGateways();
    for (CreditGrant grant : reply.getGrants()) {
      Account account = accounts.get(grant.getCustomer());
      if (account != null) {
        long expires =
            pendingSentAtNanos + TimeUnit.MILLISECONDS.toNanos(grant.getLifetimeMillis());
        synchronized (account) {
          account.credit.reserveBound(grant.getBurstTokens() / reserveParts);
          account.credit.granted(grant.getGranted(), expires, grant.getRetryAfterMillis(), now);
          account.wakeDecidedWaiters();
        }
      }
    }
  }

  private long liveGateways() {
    long live =
        agent.members().stream()
            .filter(member -> member.getIdentity().getKind() == ProcessKind.GATEWAY)
            .filter(member -> member.getState() == MemberState.LIVE)
            .count();
    return Math.max(1, live);
  }

  /** Drops the accounts of customers without requests, as names of customers come and go. */
  private void dropIdle(long nowNanos) {
    accounts
        .values()
        .removeIf(
            account -> {
              synchronized (account) {
                account.dropped = account.credit.isIdle(ACCOUNT_RETENTION, nowNanos);
                return account.dropped;
              }
            });
  }

  private Optional<CreditExchange> collectExchange(boolean closing) {
    List<CreditItem> items = new ArrayList<>();
    long now = System.nanoTime();
    dropIdle(now);
    for (Map.Entry<String, Account> entry : accounts.entrySet()) {
      if (items.size() >= MAX_ITEMS_PER_EXCHANGE) {
        break;
      }
      Account account = entry.getValue();
      synchronized (account) {
        account.credit.advance(now);
        account.wakeDecidedWaiters();
        (closing ? account.credit.close(now) : account.credit.exchange(now))
            .ifPresent(item -> items.add(CreditItems.toMessage(entry.getKey(), item)));
      }
    }
    if (items.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new CreditExchange(settings.processId(), start.startId(), ++sequence, items));
  }
}
