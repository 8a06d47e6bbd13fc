package org.comfreygap.decisions;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.comfreygap.settings.Priority;

/**
 * The token bucket of one customer with its outstanding grants at gateways.
 *
 * <p>Invariant: level + outstanding never exceeds the burst. The level is negative after a limit
 * was lowered below what was outstanding; nothing is granted until the rate has made up for it.
 * Levels are in millionths of a token so that refills at any rate lose nothing. Not thread-safe.
 */
final class CustomerBucket {

  private static final long MICROS = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long WAITER_VALID_NANOS = NANOS_PER_SECOND;
  // Grants below 10 ms of the rate are not worth an exchange. A larger minimum withheld a quarter
  // of a second's tokens from all gateways while the first one waited for them.
  private static final int MIN_GRANT_DIVISOR = 100;
  // One round over all waiting gateways distributes a quarter of a second's tokens, so that
  // requests that wait for at most one second are served in time.
  private static final int ROUND_DIVISOR = 4;
  // A ceiling is committed about one second's tokens ahead, so that exchanges do not wait for a
  // slow disk. A new leader counts these tokens as spent, so the step is at most a quarter of the
  // burst.
  private static final int CEILING_STEP_DIVISOR = 4;

  private final Map<TokenBudget.Holder, Holding> holdings = new HashMap<>();
  // All grants in order of expiry, since all have the same lifetime.
  private final Deque<Grant> grants = new ArrayDeque<>();
  private long rate;
  private long burst;
  private long levelMicros;
  private long refilledNanos;
  private long outstanding;
  private long granted;
  private long ceiling;
  private long pendingCeiling;
  private TokenBudget.Ceiling committed;
  private boolean limitsChanged;
  private boolean proposalRefused;

  /** Starts with a full bucket: no token was ever granted to the customer. */
  CustomerBucket(long rate, long burst, long now) {
    this.rate = rate;
    this.burst = burst;
    this.levelMicros = burst * MICROS;
    this.refilledNanos = now;
  }

  /** Starts from what the previous leader committed, assuming that it granted all of it. */
  static CustomerBucket restored(TokenBudget.Ceiling committed, long rate, long burst, long now) {
    CustomerBucket bucket = new CustomerBucket(rate, burst, now);
    long ahead = committed.ceiling() - committed.granted();
    bucket.granted = committed.ceiling();
    bucket.ceiling = committed.ceiling();
    bucket.pendingCeiling = committed.ceiling();
    bucket.committed = committed;
    bucket.outstanding = committed.outstanding() + ahead;
    Grant unknown = new Grant(null, bucket.outstanding, now);
    bucket.grants.add(unknown);
    bucket.levelMicros = (committed.level() - ahead) * MICROS;
    bucket.capLevel();
    return bucket;
  }

  long rate() {
    return rate;
  }

  long burst() {
    return burst;
  }

  long level() {
    return Math.floorDiv(levelMicros, MICROS);
  }

  long outstanding() {
    return outstanding;
  }

  void limits(long newRate, long newBurst, long now) {
    if (newRate == rate && newBurst == burst) {
      return;
    }
    advance(now);
    rate = newRate;
    burst = newBurst;
    limitsChanged = true;
    capLevel();
  }

  /** Refills up to {@code now} and counts expired grants as spent. */
  void advance(long now) {
    while (!grants.isEmpty()) {
      Grant oldest = grants.peekFirst();
      long end = oldest.grantedNanos + TokenBudget.CONTROL_LIFETIME.toNanos();
      if (oldest.left > 0 && end - now > 0) {
        break;
      }
      grants.removeFirst();
      if (oldest.left > 0) {
        refill(end);
        spend(oldest, oldest.left);
      }
    }
    refill(now);
  }

  /** Applies a gateway's report; amounts beyond its valid grants are already counted as spent. */
  void report(TokenBudget.Holder holder, long used, long returned, long refunded, long now) {
    advance(now);
    Holding holding = holdings.computeIfAbsent(holder, h -> new Holding());
    holding.seenNanos = now;
    holding.allocate(used).forEach(part -> spend(part.grant, part.amount));
    for (Part part : holding.allocate(returned)) {
      part.grant.left -= part.amount;
      outstanding -= part.amount;
      levelMicros += part.amount * MICROS;
    }
    long refund = Math.min(refunded, holding.spent);
    holding.spent -= refund;
    levelMicros += refund * MICROS;
    capLevel();
  }

  /**
   * Grants up to {@code requested} tokens, or none when fewer than {@code minUseful} are available.
   */
  long grant(
      TokenBudget.Holder holder, long requested, long minUseful, Priority priority, long now) {
    Holding holding = holdings.computeIfAbsent(holder, h -> new Holding());
    holding.seenNanos = now;
    if (requested <= 0) {
      holding.stopWaiting();
      return 0;
    }
    holding.startWaiting(priority, now);
    Contention contention = contention(holder, holding, now);
    long free = Math.min(Math.max(0, level()), ceiling - granted) - contention.reservedBefore;
    long amount = Math.min(requested, free);
    holding.minUseful = Math.min(requested, minUseful);
    long minimum = Math.min(Math.min(requested, minGrant()), Math.max(1, contention.share));
    if (amount < Math.max(minimum, Math.min(holding.minUseful, burst))) {
      holding.requested = requested;
      return 0;
    }
    levelMicros -= amount * MICROS;
    outstanding += amount;
    granted += amount;
    Grant grant = new Grant(holding, amount, now);
    grants.addLast(grant);
    holding.add(grant);
    holding.granted(amount, requested - amount, contention.share, now);
    return amount;
  }

  /**
   * Returns the nanoseconds after which another exchange is useful: when the minimum grant is
   * available beyond the tokens reserved for gateways that go first. A gateway refuses requests
   * that cannot wait that long, so this must not be the time until all of {@code unmet} is
   * available.
   */
  long retryAfterNanos(TokenBudget.Holder holder, long unmet, long now) {
    Contention contention = contention(holder, holdings.get(holder), now);
    long part = Math.max(Math.min(unmet, minGrant()), holdings.get(holder).minUseful);
    long useful = contention.reservedBefore + part;
    long missing = Math.min(burst, useful) - level();
    long millis = missing <= 0 ? 0 : Math.min(60_000, (missing * 1_000 + rate - 1) / rate);
    return Math.max(TokenBudget.SHORTEST_RETRY.toNanos(), millis * 1_000_000);
  }

  /**
   * Returns the ceiling to commit before {@code requested} can be granted, or null if none is due.
   */
  TokenBudget.Ceiling dueCeiling(String customer, long requested, boolean background, long now) {
    advance(now);
    long step = ceilingStep();
    long headroom = pendingCeiling - granted;
    long needed = Math.min(requested, Math.max(0, level()));
    boolean raise = headroom < needed || (background && headroom < step * 3 / 4);
    boolean stale = background && committed != null && levelShortfall() > 2 * step;
    boolean changed = limitsChanged && committed != null;
    if (!raise && !stale && !changed && !proposalRefused) {
      return null;
    }
    limitsChanged = false;
    proposalRefused = false;
    pendingCeiling = Math.max(pendingCeiling, granted + Math.max(needed, step));
    return new TokenBudget.Ceiling(customer, granted, pendingCeiling, level(), outstanding);
  }

  /** Records that {@code record} is committed. */
  void committed(TokenBudget.Ceiling record) {
    committed = record;
    ceiling = Math.max(ceiling, record.ceiling());
  }

  /**
   * Records that a proposed ceiling was refused, so that it is due again. A later record never has
   * a lower ceiling, since one proposed before may still be committed.
   */
  void refused() {
    proposalRefused = true;
  }

  boolean ceilingBlocks(long requested) {
    return ceiling - granted < Math.min(requested, Math.max(0, level()));
  }

  /**
   * Returns true when the customer has been active, so that its ceiling must be kept ahead of need.
   */
  boolean active() {
    return committed != null || pendingCeiling > 0;
  }

  void forgetIdleHolders(long now) {
    Iterator<Holding> all = holdings.values().iterator();
    while (all.hasNext()) {
      Holding holding = all.next();
      holding.grants.removeIf(grant -> grant.left == 0);
      if (holding.grants.isEmpty() && now - holding.seenNanos > TokenBudget.HOLDER_IDLE.toNanos()) {
        all.remove();
      }
    }
  }

  private long minGrant() {
    return Math.max(1, rate / MIN_GRANT_DIVISOR);
  }

  private long ceilingStep() {
    return Math.max(1, Math.min(burst / CEILING_STEP_DIVISOR, rate));
  }

  private long levelShortfall() {
    return level() - (committed.level() - (committed.ceiling() - committed.granted()));
  }

  private Contention contention(TokenBudget.Holder holder, Holding own, long now) {
    int waiters = 1;
    for (Map.Entry<TokenBudget.Holder, Holding> other : holdings.entrySet()) {
      waiters += other.getValue() != own && other.getValue().waiting(now) ? 1 : 0;
    }
    long share = Math.max(1, Math.min(burst, rate / ROUND_DIVISOR) / waiters);
    long reserved = 0;
    for (Map.Entry<TokenBudget.Holder, Holding> entry : holdings.entrySet()) {
      Holding other = entry.getValue();
      if (other != own
          && other.waiting(now)
          && other.precedes(own, entry.getKey().compareTo(holder))) {
        boolean moreUrgent = other.priority.before(own.priority);
        reserved += Math.min(other.requested, moreUrgent ? burst : share);
      }
    }
    return new Contention(share, reserved);
  }

  private void refill(long now) {
    long elapsed = now - refilledNanos;
    if (elapsed <= 0) {
      return;
    }
    refilledNanos = now;
    long room = (burst - outstanding) * MICROS - levelMicros;
    if (room <= 0) {
      return;
    }
    // A bucket fills within burst / rate seconds; the bound keeps the product below 2^63.
    long seconds = Math.min(elapsed / NANOS_PER_SECOND, room / MICROS / rate + 1);
    long rest = elapsed % NANOS_PER_SECOND;
    long added = seconds * rate * MICROS + rest * rate / 1_000;
    levelMicros += Math.min(room, added);
  }

  private void capLevel() {
    levelMicros = Math.min(levelMicros, (burst - outstanding) * MICROS);
  }

  private void spend(Grant grant, long amount) {
    grant.left -= amount;
    outstanding -= amount;
    if (grant.holding != null) {
      grant.holding.spent += amount;
    }
  }

  private record Contention(long share, long reservedBefore) {}

  private record Part(Grant grant, long amount) {}

  private static final class Grant {

    private final Holding holding;
    private final long grantedNanos;
    private long left;

    Grant(Holding holding, long amount, long now) {
      this.holding = holding;
      this.left = amount;
      this.grantedNanos = now;
    }
  }

  private static final class Holding {

    private final Deque<Grant> grants = new ArrayDeque<>();
    private long spent;
    private long requested;
    private long minUseful;
    private long waitingSince;
    private long grantedWhileWaiting;
    private long seenNanos;
    private Priority priority = Priority.NORMAL;

    java.util.List<Part> allocate(long amount) {
      java.util.List<Part> parts = new java.util.ArrayList<>();
      long left = amount;
      while (left > 0 && !grants.isEmpty()) {
        Grant oldest = grants.peekFirst();
        long part = Math.min(left, oldest.left);
        if (part > 0) {
          parts.add(new Part(oldest, part));
          left -= part;
        }
        if (part == oldest.left) {
          grants.removeFirst();
        }
      }
      return parts;
    }

    void add(Grant grant) {
      while (!grants.isEmpty() && grants.peekFirst().left == 0) {
        grants.removeFirst();
      }
      grants.addLast(grant);
    }

    boolean waiting(long now) {
      return requested > 0 && now - seenNanos <= WAITER_VALID_NANOS;
    }

    void startWaiting(Priority newPriority, long now) {
      priority = newPriority;
      if (requested <= 0) {
        waitingSince = now;
        grantedWhileWaiting = 0;
      }
    }

    void stopWaiting() {
      requested = 0;
    }

    void granted(long amount, long unmet, long share, long now) {
      requested = unmet;
      grantedWhileWaiting += amount;
      if (grantedWhileWaiting >= share) {
        // It had its turn; gateways that waited longer go first.
        waitingSince = now;
        grantedWhileWaiting = 0;
      }
    }

    boolean precedes(Holding other, int tie) {
      if (priority != other.priority) {
        return priority.before(other.priority);
      }
      long difference = waitingSince - other.waitingSince;
      return difference != 0 ? difference < 0 : tie < 0;
    }
  }
}
