package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.comfreygap.settings.Priority;

/**
 * The credit that a gateway holds for one customer, granted by control in tokens.
 *
 * <p>A request reserves its prompt plus its maximum output before it runs; unused tokens are
 * refunded when it ends. A request without enough credit waits for a short time, first come, first
 * served within its priority class, and is refused when control reports that no credit will be
 * available in time.
 *
 * <pre>{@code
 * Ticket ticket = credit.reserve(tokens, Priority.NORMAL, now);
 * if (ticket.state() == State.GRANTED) { run(); credit.settle(ticket, tokensUsed, now); }
 * }</pre>
 *
 * <p>Invariant: tokens reserved never exceed tokens granted and not expired; a token is reported
 * exactly once as used, returned or (by silence) expired. Thread safety: not thread-safe.
 *
 * @since 0.1
 */
public final class CustomerCredit {

  /** Longest wait for credit; covers the election of a control leader. */
  public static final Duration MAX_WAIT = Duration.ofMillis(1_000);

  /** Most requests that wait at once by default. */
  public static final int DEFAULT_MAX_WAITING = 1_024;

  /** Credit that stays unused for this time is returned, since another gateway may need it. */
  public static final Duration IDLE_RETURN = Duration.ofMillis(200);

  /** Credit that expires within this time is returned, since an exchange may take that long. */
  public static final Duration EXPIRY_MARGIN = Duration.ofMillis(400);

  /** Period of expected demand for which credit is held, so that most requests need no exchange. */
  public static final Duration HORIZON = Duration.ofMillis(250);

  /** Time after the last request for which the reserve for the next ones is held. */
  public static final Duration RESERVE_TIME = Duration.ofSeconds(5);

  /** Time after a shortage in which no reserve is held, so that other gateways get the tokens. */
  public static final Duration SHORTAGE_TIME = Duration.ofSeconds(2);

  private static final int RESERVED_REQUESTS = 2;
  private static final double DEMAND_DECAY_NANOS = 1e9;

  private final Deque<Grant> grants = new ArrayDeque<>();
  private final List<Deque<Ticket>> waiting = new ArrayList<>();
  private final Deque<Ticket> decided = new ArrayDeque<>();
  private final int maxWaiting;
  private int waitingCount;
  private long waitingTokens;
  private long held;
  private long debt;
  private long used;
  private long refunded;
  private double demand;
  private long demandAtNanos;
  private long lastUseNanos;
  private boolean everUsed;
  private long reserveBound;
  private long overdraft;
  private double typicalTokens;
  private boolean shortage;
  private long shortAtNanos;
  private int open;

  /**
   * Creates credit without any grant, for at most {@link #DEFAULT_MAX_WAITING} waiting requests.
   */
  public CustomerCredit() {
    this(DEFAULT_MAX_WAITING);
  }

  /**
   * Creates credit without any grant.
   *
   * @param maxWaiting most requests that wait at once
   */
  public CustomerCredit(int maxWaiting) {
    this.maxWaiting = maxWaiting;
    for (int i = 0; i < Priority.values().length; i++) {
      waiting.add(new ArrayDeque<>());
    }
  }

  /** State of a reservation. */
  public enum State {
    WAITING,
    GRANTED,
    REFUSED,
    SETTLED
  }

  /**
   * Report to control and request for more credit.
   *
   * @param used tokens reserved since the last exchange
   * @param returned granted tokens returned
   * @param refunded reserved tokens of finished requests that turned out unused
   * @param requested tokens requested now
   * @param priority most urgent waiting class, or the most deferrable one when none waits
   * @param minUseful smallest grant that serves a waiting request; 0 when none waits. A smaller
   *     grant would serve no request and be missing at another gateway.
   */
  public record Item(
      long used, long returned, long refunded, long requested, Priority priority, long minUseful) {}

  /**
   * Reserves {@code tokens}, or queues the request.
   *
   * @return a ticket that is granted, waiting, or refused when too many wait
   */
  public Ticket reserve(long tokens, Priority priority, long nowNanos) {
    return reserve(tokens, priority, MAX_WAIT, nowNanos);
  }

  /**
   * Reserves {@code tokens}, or queues the request for at most {@code longestWait}.
   *
   * @return a ticket that is granted, waiting, or refused when too many wait
   */
  public Ticket reserve(long tokens, Priority priority, Duration longestWait, long nowNanos) {
    expire(nowNanos);
    recordDemand(tokens, nowNanos);
    Ticket ticket = new Ticket(tokens, priority, nowNanos, nowNanos + longestWait.toNanos());
    if (!hasWaitingBefore(priority) && held - debt + overdraft >= tokens) {
      take(tokens, nowNanos);
      ticket.state = State.GRANTED;
      open++;
    } else if (waitingCount >= maxWaiting && !displaceLessUrgent(priority)) {
      ticket.state = State.REFUSED;
      ticket.retryAfterMillis = MAX_WAIT.toMillis();
    } else {
      waiting.get(priority.ordinal()).addLast(ticket);
      waitingCount++;
      waitingTokens += tokens;
    }
    return ticket;
  }

  /** Removes a waiting ticket from the queue; other tickets are unaffected. */
  public void abandon(Ticket ticket) {
    if (ticket.state == State.WAITING) {
      waiting.get(ticket.priority.ordinal()).remove(ticket);
      forget(ticket);
      ticket.state = State.REFUSED;
    }
  }

  /**
   * Ends the use of a granted ticket.
   *
   * @param tokensUsed tokens the request used; 0 when it did not run
   */
  public void settle(Ticket ticket, long tokensUsed, long nowNanos) {
    if (ticket.state != State.GRANTED) {
      return;
    }
    ticket.state = State.SETTLED;
    open--;
    if (tokensUsed <= ticket.tokens) {
      // Unused borrowed tokens were never granted, so they reduce the debt and are not refunded.
      long unused = ticket.tokens - tokensUsed;
      long borrowed = Math.min(debt, unused);
      debt -= borrowed;
      refunded += unused - borrowed;
      return;
    }
    // The endpoint used more than was reserved: the excess is paid out of the next credit.
    debt += tokensUsed - ticket.tokens;
    expire(nowNanos);
    payDebt();
  }

  /**
   * Adds granted tokens and serves waiting requests.
   *
   * @param expiresAtNanos monotonic time at which the unused part expires
   * @param retryAfterMillis earliest time at which control can grant more, 0 when unknown
   */
  public void granted(long tokens, long expiresAtNanos, long retryAfterMillis, long nowNanos) {
    if (tokens > 0 && expiresAtNanos - nowNanos > 0) {
      grants.addLast(new Grant(tokens, expiresAtNanos));
      held += tokens;
      payDebt();
    }
    advance(nowNanos);
    if (retryAfterMillis > 0) {
      shortage = true;
      shortAtNanos = nowNanos;
      refuseWaiting(nowNanos, retryAfterMillis);
    }
  }

  /**
   * Sets the maximum reserve: tokens held for future requests beyond the current demand. Without a
   * reserve every request of a customer with little traffic waits for an exchange.
   */
  public void reserveBound(long tokens) {
    reserveBound = tokens;
  }

  /**
   * Sets how many tokens may be spent before control has granted them. They are paid out of the
   * next grants, so that the fleet exceeds a limit by at most this much at each gateway, and only
   * once. Without it a request waits for an exchange whenever this gateway holds too little.
   */
  public void overdraft(long tokens) {
    overdraft = tokens;
  }

  /** Serves waiting requests and refuses those whose wait has expired. */
  public void advance(long nowNanos) {
    expire(nowNanos);
    for (Deque<Ticket> queue : waiting) {
      while (!queue.isEmpty() && held - debt + overdraft >= queue.peekFirst().tokens) {
        Ticket ticket = queue.pollFirst();
        forget(ticket);
        take(ticket.tokens, nowNanos);
        ticket.state = State.GRANTED;
        open++;
        decided.addLast(ticket);
      }
      if (!queue.isEmpty()) {
        break;
      }
    }
    refuseWaiting(nowNanos, 0);
  }

  /** Returns the next ticket that was granted or refused while it waited, or empty. */
  public Optional<Ticket> nextDecided() {
    return Optional.ofNullable(decided.pollFirst());
  }

  /** Returns the report for the next exchange and resets it, or empty when there is none. */
  public Optional<Item> exchange(long nowNanos) {
    expire(nowNanos);
    long target = target(nowNanos);
    long ready = Math.max(target, reserveTarget(nowNanos));
    long returned = 0;
    if (waitingCount == 0) {
      boolean idle = nowNanos - lastUseNanos >= IDLE_RETURN.toNanos();
      long excess = idle ? Math.max(0, held - ready) : 0;
      returned = returnTokens(Math.max(excess, expiringSoon(nowNanos)));
    }
    // Refilling only once less than half of the target is held keeps the number of exchanges low.
    long refill = 2 * held < ready ? ready - held : 0;
    long requested =
        waitingCount > 0 ? waitingTokens + debt + target - Math.min(held, target) : refill + debt;
    if (used == 0 && returned == 0 && refunded == 0 && requested == 0) {
      return Optional.empty();
    }
    Item item = new Item(used, returned, refunded, requested, mostUrgent(), minUseful());
    used = 0;
    refunded = 0;
    return Optional.of(item);
  }

  /** Gives all held tokens back to control; the next {@link #exchange} does not request more. */
  public Optional<Item> close(long nowNanos) {
    expire(nowNanos);
    long returned = returnTokens(held);
    Item item = new Item(used, returned, refunded, 0, Priority.DEFERRABLE, 0);
    used = 0;
    refunded = 0;
    return item.used + item.returned + item.refunded == 0 ? Optional.empty() : Optional.of(item);
  }

  /** Returns the granted tokens that are neither reserved nor expired. */
  public long held(long nowNanos) {
    expire(nowNanos);
    return held;
  }

  /** Returns the tokens that were spent before control granted them. */
  public long debt() {
    return debt;
  }

  /**
   * Returns true when this credit can be dropped: nothing was reserved for {@code time}, no ticket
   * is granted or waits, nothing is held, and all was reported. A debt that is left by then is one
   * of a customer for which control grants nothing any more.
   */
  public boolean isIdle(Duration time, long nowNanos) {
    expire(nowNanos);
    return open == 0
        && waitingCount == 0
        && decided.isEmpty()
        && held == 0
        && used == 0
        && refunded == 0
        && nowNanos - demandAtNanos >= time.toNanos();
  }

  /** Returns how many requests wait. */
  public int waitingCount() {
    return waitingCount;
  }

  /** Refuses the newest waiting request of the least urgent class below {@code priority}. */
  private boolean displaceLessUrgent(Priority priority) {
    for (int i = waiting.size() - 1; i > priority.ordinal(); i--) {
      Ticket last = waiting.get(i).pollLast();
      if (last != null) {
        forget(last);
        last.state = State.REFUSED;
        last.retryAfterMillis = MAX_WAIT.toMillis();
        decided.addLast(last);
        return true;
      }
    }
    return false;
  }

  private boolean hasWaitingBefore(Priority priority) {
    for (int i = 0; i <= priority.ordinal(); i++) {
      if (!waiting.get(i).isEmpty()) {
        return true;
      }
    }
    return false;
  }

  private Priority mostUrgent() {
    for (Priority priority : Priority.values()) {
      if (!waiting.get(priority.ordinal()).isEmpty()) {
        return priority;
      }
    }
    return Priority.DEFERRABLE;
  }

  private void refuseWaiting(long nowNanos, long retryAfterMillis) {
    if (waitingCount == 0) {
      return;
    }
    long useful = nowNanos + Duration.ofMillis(retryAfterMillis).toNanos();
    for (Deque<Ticket> queue : waiting) {
      queue.removeIf(ticket -> refuse(ticket, useful, retryAfterMillis));
    }
  }

  private boolean refuse(Ticket ticket, long usefulNanos, long retryAfterMillis) {
    if (usefulNanos - ticket.deadlineNanos < 0) {
      return false;
    }
    forget(ticket);
    ticket.state = State.REFUSED;
    ticket.overLimit = shortage && shortAtNanos - ticket.requestedNanos >= 0;
    ticket.retryAfterMillis = retryAfterMillis > 0 ? retryAfterMillis : MAX_WAIT.toMillis();
    decided.addLast(ticket);
    return true;
  }

  private void forget(Ticket ticket) {
    waitingCount--;
    waitingTokens -= ticket.tokens;
  }

  private void take(long tokens, long nowNanos) {
    // Held tokens up to the debt are reserved for paying it; tokens that the rest cannot cover are
    // borrowed.
    long paid = Math.min(tokens, Math.max(0, held - debt));
    remove(paid);
    used += paid;
    debt += tokens - paid;
    lastUseNanos = nowNanos;
    everUsed = true;
  }

  private void payDebt() {
    long paid = Math.min(debt, held);
    if (paid > 0) {
      remove(paid);
      used += paid;
      debt -= paid;
    }
  }

  private long minUseful() {
    for (Deque<Ticket> queue : waiting) {
      if (!queue.isEmpty()) {
        return Math.max(1, queue.peekFirst().tokens + debt - held - overdraft);
      }
    }
    return 0;
  }

  private long returnTokens(long tokens) {
    remove(tokens);
    return tokens;
  }

  private void remove(long tokens) {
    held -= tokens;
    long left = tokens;
    while (left > 0) {
      Grant first = grants.peekFirst();
      long part = Math.min(left, first.tokens);
      first.tokens -= part;
      left -= part;
      if (first.tokens == 0) {
        grants.pollFirst();
      }
    }
  }

  private void expire(long nowNanos) {
    Grant first = grants.peekFirst();
    while (first != null && first.expiresAtNanos - nowNanos <= 0) {
      held -= first.tokens;
      grants.pollFirst();
      first = grants.peekFirst();
    }
  }

  private long expiringSoon(long nowNanos) {
    long tokens = 0;
    for (Grant grant : grants) {
      if (grant.expiresAtNanos - nowNanos <= EXPIRY_MARGIN.toNanos()) {
        tokens += grant.tokens;
      }
    }
    return tokens;
  }

  private void recordDemand(long tokens, long nowNanos) {
    demand = demandNow(nowNanos) + tokens / (DEMAND_DECAY_NANOS / 1e9);
    demandAtNanos = nowNanos;
    typicalTokens = Math.max(tokens, 0.9 * typicalTokens);
  }

  private long reserveTarget(long nowNanos) {
    boolean active = everUsed && nowNanos - lastUseNanos < RESERVE_TIME.toNanos();
    boolean scarce = shortage && nowNanos - shortAtNanos < SHORTAGE_TIME.toNanos();
    return active && !scarce
        ? zeroIfBelowOneRequest(Math.min(reserveBound, (long) (RESERVED_REQUESTS * typicalTokens)))
        : 0;
  }

  private double demandNow(long nowNanos) {
    long age = Math.max(0, nowNanos - demandAtNanos);
    return demand == 0 ? 0 : demand * Math.exp(-age / DEMAND_DECAY_NANOS);
  }

  private long target(long nowNanos) {
    return zeroIfBelowOneRequest((long) (demandNow(nowNanos) * HORIZON.toNanos() / 1e9));
  }

  /** Returns 0 for less than one typical request: so few tokens would only be missing elsewhere. */
  private long zeroIfBelowOneRequest(long tokens) {
    return tokens < typicalTokens ? 0 : tokens;
  }

  /** A reservation. Its state changes only through the methods of {@link CustomerCredit}. */
  public static final class Ticket {

    private final long tokens;
    private final Priority priority;
    private final long requestedNanos;
    private final long deadlineNanos;
    private boolean overLimit;
    private State state = State.WAITING;
    private long retryAfterMillis;

    private Ticket(long tokens, Priority priority, long askedNanos, long deadlineNanos) {
      this.tokens = tokens;
      this.priority = priority;
      this.requestedNanos = askedNanos;
      this.deadlineNanos = deadlineNanos;
    }

    /** Returns the reserved or requested tokens. */
    public long tokens() {
      return tokens;
    }

    /** Returns the state. */
    public State state() {
      return state;
    }

    /**
     * Returns, for a refused ticket, true when control reported a shortage while it waited; false
     * when control did not respond or too many requests waited.
     */
    public boolean overLimit() {
      return overLimit;
    }

    /** Returns, for a refused ticket, the milliseconds after which another attempt is useful. */
    public long retryAfterMillis() {
      return retryAfterMillis;
    }
  }

  private static final class Grant {

    private long tokens;
    private final long expiresAtNanos;

    Grant(long tokens, long expiresAtNanos) {
      this.tokens = tokens;
      this.expiresAtNanos = expiresAtNanos;
    }
  }
}
