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
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.comfreygap.decisions.CustomerCredit;
import org.comfreygap.decisions.CustomerCredit.State;
import org.comfreygap.decisions.CustomerCredit.Ticket;
import org.comfreygap.decisions.LimitTolerance;
import org.comfreygap.decisions.OutageForecast;
import org.comfreygap.decisions.RetryAfterSchedule;
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
import org.comfreygap.settings.Documents.Customer;
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
  private final Map<String, CustomerCredit> accounts = new HashMap<>();
  private final Map<Ticket, Consumer<Ticket>> waiting = new HashMap<>();
  private final Map<String, RetryAfterSchedule> retrySchedules = new HashMap<>();
  private final Map<String, Long> rates = new HashMap<>();
  private final OutageForecast outage = new OutageForecast(TYPICAL_OUTAGE);
  private final BlockingQueue<CreditExchange> outgoing = new ArrayBlockingQueue<>(1);
  private final RepeatingTask exchangeThread;
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
   * Reserves tokens; {@code decided} is called once the ticket is granted or refused: at once where
   * that is known, otherwise within {@code maxWait}.
   */
  Ticket reserve(
      String customer,
      long tokens,
      Priority priority,
      Duration maxWait,
      long nowNanos,
      Consumer<Ticket> decided) {
    CustomerCredit credit = accounts.computeIfAbsent(customer, name -> newAccount());
    Ticket ticket = credit.reserve(tokens, priority, maxWait, nowNanos);
    if (ticket.state() == State.WAITING) {
      waiting.put(ticket, decided);
      scheduleExchange(nowNanos);
    } else {
      decided.accept(ticket);
    }
    notifyDecided(credit);
    return ticket;
  }

  /** Returns the refusal of a request whose ticket was refused. */
  Refusal refusal(String customer, Ticket refused, long nowNanos) {
    return refused.overLimit()
        ? Refusal.overLimit(retryDelay(customer, refused, nowNanos).toMillis())
        : timeoutRefusal(nowNanos);
  }

  /** Returns the refusal of a request for which control did not decide on credit in time. */
  Refusal timeoutRefusal(long nowNanos) {
    outage.outageObserved(exchanging ? sentNanos : nowNanos);
    return Refusal.CREDIT_TIMEOUT.withRetryAfter(outage.retryAfter(nowNanos));
  }

  /** Withdraws a ticket that is still waiting. */
  void abandon(String customer, Ticket ticket) {
    if (waiting.remove(ticket) != null) {
      accounts.get(customer).abandon(ticket);
    }
  }

  /** Settles a granted ticket; {@code used} is 0 when the request did not run. */
  void settle(String customer, Ticket ticket, long used, long nowNanos) {
    accounts.get(customer).settle(ticket, used, nowNanos);
  }

  /** Returns the state of a customer's credit at this gateway, for the log. */
  String describe(Optional<Customer> customer, long nowNanos) {
    CustomerCredit credit = customer.map(known -> accounts.get(known.id())).orElse(null);
    return credit == null
        ? "none"
        : "held:"
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

  /** Returns the time after which a refused request should be retried. */
  private Duration retryDelay(String customer, Ticket refused, long nowNanos) {
    double share = rates.getOrDefault(customer, 0L) / (double) Math.max(1, gatewayCount.getAsInt());
    Duration earliest = Duration.ofMillis(refused.retryAfterMillis());
    if (share <= 0) {
      return earliest;
    }
    return retrySchedules
        .computeIfAbsent(customer, name -> new RetryAfterSchedule())
        .next(refused.tokens(), share, earliest, nowNanos);
  }

  /**
   * Creates an account with the fixed part of the tolerance, as limits are unknown before a grant.
   */
  private CustomerCredit newAccount() {
    CustomerCredit credit = new CustomerCredit();
    credit.overdraft(tolerance.borrowable(0, 0, gatewayCount.getAsInt()));
    return credit;
  }

  private void scheduleExchange(long nowNanos) {
    if (exchangeScheduled) {
      return;
    }
    exchangeScheduled = true;
    long spacing = minInterval(MIN_SPACING, SPACING_PER_GATEWAY);
    long pause = spacing - (nowNanos - exchangedNanos);
    loop.schedule(this::exchange, Math.max(0, pause), TimeUnit.NANOSECONDS);
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
    List<CreditItem> items = new ArrayList<>();
    for (Map.Entry<String, CustomerCredit> account : accounts.entrySet()) {
      if (items.size() < MAX_ITEMS) {
        account.getValue().advance(now);
        account
            .getValue()
            .exchange(now)
            .ifPresent(item -> items.add(CreditItems.toMessage(account.getKey(), item)));
        notifyDecided(account.getValue());
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
    loop.execute(() -> apply(received));
  }

  private void apply(CreditReply reply) {
    exchanging = false;
    long now = System.nanoTime();
    outage.outageEnded(now);
    long reserveParts = RESERVE_BURST_DIVISOR * Math.max(1, gatewayCount.getAsInt());
    for (CreditGrant grant : reply.getGrants()) {
      CustomerCredit credit = accounts.get(grant.getCustomer());
      long expires = sentNanos + TimeUnit.MILLISECONDS.toNanos(grant.getLifetimeMillis());
      rates.put(grant.getCustomer(), grant.getTokensPerSecond());
      credit.reserveBound(grant.getBurstTokens() / reserveParts);
      credit.overdraft(
          tolerance.borrowable(
              grant.getTokensPerSecond(), grant.getBurstTokens(), gatewayCount.getAsInt()));
      credit.granted(grant.getGranted(), expires, grant.getRetryAfterMillis(), now);
      notifyDecided(credit);
    }
    if (!waiting.isEmpty()) {
      scheduleExchange(now);
    }
  }

  private void notifyDecided(CustomerCredit credit) {
    Optional<Ticket> ticket = credit.nextDecided();
    while (ticket.isPresent()) {
      Consumer<Ticket> receiver = waiting.remove(ticket.get());
      if (receiver != null) {
        receiver.accept(ticket.get());
      }
      ticket = credit.nextDecided();
    }
  }
}
