package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.comfreygap.decisions.CustomerCredit;
import org.comfreygap.decisions.CustomerCredit.State;
import org.comfreygap.decisions.CustomerCredit.Ticket;
import org.comfreygap.decisions.LimitTolerance;
import org.comfreygap.decisions.OutageForecast;
import org.comfreygap.protocol.generated.CreditExchange;
import org.comfreygap.protocol.generated.CreditGrant;
import org.comfreygap.protocol.generated.CreditItem;
import org.comfreygap.protocol.generated.CreditReply;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailableException;
import org.comfreygap.runtime.CreditItems;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.RepeatingTask;
import org.comfreygap.settings.Priority;

/**
 * Manages the credit of all customers at this gateway and exchanges it with control.
 *
 * <p>Invariant: exchanges are sent one at a time with increasing sequence numbers; an exchange
 * without a reply is repeated unchanged, and the lifetime of its grants starts when it is first
 * sent. Thread safety: used on the event loop only, except for the thread that calls control.
 */
final class CreditManager implements AutoCloseable {

  /**
   * Minimum time between exchanges while no request waits; with the check period it becomes 0.1 s.
   */
  static final Duration PERIOD = Duration.ofMillis(90);

  /** Time between checks of whether an exchange is due. */
  static final Duration CHECK_PERIOD = Duration.ofMillis(50);

  /** Minimum time between exchanges while requests wait, which limits control's load in a flood. */
  static final Duration MIN_SPACING = Duration.ofMillis(10);

  /** Minimum time between exchanges per gateway, which limits the leader's call rate. */
  static final Duration PERIOD_PER_GATEWAY = Duration.ofMillis(5);

  /** The same while requests wait: at most 1,000 calls a second with 35 gateways. */
  static final Duration SPACING_PER_GATEWAY = Duration.ofMillis(1);

  /** What {@link #describe} returns for a customer without an account. */
  static final String NO_ACCOUNT = "none";

  private static final Duration EXCHANGE_TIMEOUT = Duration.ofMillis(1_500);
  // Control waits up to 150 ms for a commit; a leader that takes longer is stuck or gone.
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(250);
  // Exchanges are repeated until the next leader responds; an election takes 0.3 to 0.6 s.
  private static final Duration TYPICAL_OUTAGE = Duration.ofMillis(400);
  private static final int MAX_ITEMS = 1_000;
  // All gateways together hold at most 1/8 of a customer's burst in reserve for future requests.
  private static final long RESERVE_BURST_DIVISOR = 8;

  private final EventLoop loop;
  private final ControlClient control;
  private final EventLog events;
  private final String gatewayId;
  private final String startId;
  private final IntSupplier gatewayCount;
  private final LimitTolerance tolerance;
  private final CreditAccounts accounts = new CreditAccounts();
  private final Map<Ticket, Runnable> waiting = new HashMap<>();
  private final OutageForecast outage = new OutageForecast(TYPICAL_OUTAGE);
  private final BlockingQueue<CreditExchange> outgoing = new ArrayBlockingQueue<>(1);
  private final RepeatingTask exchangeThread;
  private volatile int accountCount;
  private boolean exchanging;
  private boolean exchangeScheduled;
  private long sequence;
  private long sentNanos;
  private long exchangedNanos;

  CreditManager(
      EventLoop loop,
      ControlClient control,
      EventLog events,
      String gatewayId,
      String startId,
      IntSupplier gatewayCount,
      LimitTolerance tolerance) {
    this.tolerance = tolerance;
    this.loop = loop;
    this.control = control;
    this.events = events;
    this.gatewayId = gatewayId;
    this.startId = startId;
    this.gatewayCount = gatewayCount;
    this.exchangedNanos = System.nanoTime();
    this.exchangeThread = RepeatingTask.continuous("credit-exchange", this::sendNext);
    LoopTasks.repeat(loop, events, "credit", CHECK_PERIOD, CHECK_PERIOD, this::exchange);
  }

  /**
   * Reserves tokens of a customer.
   *
   * @param decided run when a reservation that is waiting on return was granted or refused, within
   *     {@code maxWait}
   */
  CreditReservation reserve(
      String customer,
      long tokens,
      Priority priority,
      Duration maxWait,
      long nowNanos,
      Runnable decided) {
    CreditAccount account = accounts.find(customer).orElseGet(() -> newAccount(customer));
    Ticket ticket = account.credit().reserve(tokens, priority, maxWait, nowNanos);
    if (ticket.state() == State.WAITING) {
      waiting.put(ticket, decided);
      scheduleExchange(nowNanos);
    }
    // The reservation may have displaced a less urgent one that was waiting.
    notifyDecided(account);
    return new CreditReservation(account, ticket);
  }

  /** Returns the refusal of a request whose reservation was refused. */
  Refusal refusal(CreditReservation refused, long nowNanos) {
    Ticket ticket = refused.ticket();
    return ticket.overLimit()
        ? Refusal.overLimit(
            refused.account().retryDelay(ticket, gatewayCount.getAsInt(), nowNanos).toMillis())
        : timeoutRefusal(nowNanos);
  }

  /** Returns the refusal of a request for which control did not decide on credit in time. */
  Refusal timeoutRefusal(long nowNanos) {
    outage.outageObserved(exchanging ? sentNanos : nowNanos);
    return Refusal.CREDIT_TIMEOUT.withRetryAfter(outage.retryAfter(nowNanos));
  }

  /**
   * Withdraws a reservation that is waiting, or settles one that was granted.
   *
   * @param used false when the request did not run, so that its tokens are given back
   */
  void settle(CreditReservation reserved, boolean used, long nowNanos) {
    CustomerCredit credit = reserved.account().credit();
    Ticket ticket = reserved.ticket();
    waiting.remove(ticket);
    if (ticket.state() == State.WAITING) {
      credit.abandon(ticket);
    } else {
      credit.settle(ticket, used ? ticket.tokens() : 0, nowNanos);
    }
  }

  /** Returns the number of customers that have an account here. */
  int accountCount() {
    return accountCount;
  }

  /** Returns the state of a customer's credit at this gateway, for the log. */
  String describe(String customer, long nowNanos) {
    return accounts
        .find(customer)
        .map(account -> describe(account.credit(), nowNanos))
        .orElse(NO_ACCOUNT);
  }

  private String describe(CustomerCredit credit, long nowNanos) {
    return "held:"
        + credit.held(nowNanos)
        + ",debt:"
        + credit.debt()
        + ",waiting:"
        + credit.waitingCount()
        + ",exchangedMillisAgo:"
        + TimeUnit.NANOSECONDS.toMillis(nowNanos - exchangedNanos)
        + ",exchanging:"
        + exchanging;
  }

  @Override
  public void close() {
    exchangeThread.close();
  }

  /**
   * Creates an account with the fixed part of the tolerance, as limits are unknown before a grant.
   */
  private CreditAccount newAccount(String customer) {
    CreditAccount account = accounts.open(customer);
    account.credit().overdraft(tolerance.borrowable(0, 0, gatewayCount.getAsInt()));
    return account;
  }

  private void scheduleExchange(long nowNanos) {
    if (exchangeScheduled) {
      return;
    }
    exchangeScheduled = true;
    long spacing = minInterval(MIN_SPACING, SPACING_PER_GATEWAY);
    long pause = spacing - (nowNanos - exchangedNanos);
    LoopTasks.schedule(
        loop, events, "credit", Duration.ofNanos(Math.max(0, pause)), this::exchange);
  }

  private void exchange() {
    exchangeScheduled = false;
    if (exchanging) {
      return;
    }
    long now = System.nanoTime();
    if (waiting.isEmpty() && now - exchangedNanos < minInterval(PERIOD, PERIOD_PER_GATEWAY)) {
      return;
    }
    accounts.dropIdle(now);
    accountCount = accounts.all().size();
    List<CreditItem> items = new ArrayList<>();
    // A request that is told of its credit may reserve that of another customer.
    for (CreditAccount account : accounts.all()) {
      if (items.size() < MAX_ITEMS) {
        account.credit().advance(now);
        account
            .credit()
            .exchange(now)
            .ifPresent(item -> items.add(CreditItems.toMessage(account.customer(), item)));
        notifyDecided(account);
      }
    }
    if (!items.isEmpty()) {
      exchanging = true;
      sentNanos = now;
      exchangedNanos = now;
      outgoing.add(new CreditExchange(gatewayId, startId, ++sequence, items));
    }
  }

  private long minInterval(Duration minimum, Duration perGateway) {
    return Math.max(minimum.toNanos(), perGateway.toNanos() * gatewayCount.getAsInt());
  }

  /** Runs on the exchange thread. */
  private void sendNext() throws InterruptedException {
    CreditExchange exchange = outgoing.take();
    Optional<CreditReply> reply = Optional.empty();
    while (reply.isEmpty()) {
      try {
        reply =
            Optional.of(
                control.callLeader(
                    EXCHANGE_TIMEOUT, ATTEMPT_TIMEOUT, client -> client.exchangeCredit(exchange)));
      } catch (ControlUnavailableException e) {
        events.record(RelayEvent.CREDIT_EXCHANGE_FAILED, Field.of("cause", e.getMessage()));
        TimeUnit.MILLISECONDS.sleep(MIN_SPACING.toMillis());
      }
    }
    CreditReply received = reply.get();
    LoopTasks.execute(loop, events, "credit-granted", () -> apply(received));
  }

  private void apply(CreditReply reply) {
    exchanging = false;
    long now = System.nanoTime();
    outage.outageEnded(now);
    long reserveParts = RESERVE_BURST_DIVISOR * Math.max(1, gatewayCount.getAsInt());
    for (CreditGrant grant : reply.getGrants()) {
      // The account may have been dropped since the exchange was sent; the grant expires then.
      accounts
          .find(grant.getCustomer())
          .ifPresent(account -> apply(grant, account, reserveParts, now));
    }
    if (!waiting.isEmpty()) {
      scheduleExchange(now);
    }
  }

  private void apply(CreditGrant grant, CreditAccount account, long reserveParts, long now) {
    CustomerCredit credit = account.credit();
    long expires = sentNanos + TimeUnit.MILLISECONDS.toNanos(grant.getLifetimeMillis());
    account.tokensPerSecond(grant.getTokensPerSecond());
    credit.reserveBound(grant.getBurstTokens() / reserveParts);
    credit.overdraft(
        tolerance.borrowable(
            grant.getTokensPerSecond(), grant.getBurstTokens(), gatewayCount.getAsInt()));
    credit.granted(grant.getGranted(), expires, grant.getRetryAfterMillis(), now);
    notifyDecided(account);
  }

  /** Tells the requests whose reservations were decided; an error of one keeps none from it. */
  private void notifyDecided(CreditAccount account) {
    Optional<Ticket> ticket = account.credit().nextDecided();
    while (ticket.isPresent()) {
      Optional.ofNullable(waiting.remove(ticket.get()))
          .ifPresent(receiver -> LoopTasks.run(events, "credit-decided", receiver));
      ticket = account.credit().nextDecided();
    }
  }
}
