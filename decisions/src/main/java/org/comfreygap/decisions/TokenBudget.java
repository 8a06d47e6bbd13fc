package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.settings.Priority;

/**
 * Control's side of customer credit: shares out each customer's tokens among the gateways.
 *
 * <pre>{@code
 * List<Ceiling> due = budget.ceilingsFor(items, now);
 * commit(due);
 * budget.committed(due);
 * Answer answer = budget.exchange(holder, sequence, items, now);
 * }</pre>
 *
 * <p>Invariants, for each customer: level + outstanding grants never exceeds the burst, also across
 * a change of leader; nothing is granted past the committed ceiling; an exchange is applied once,
 * however often it is sent; a grant that is neither used nor returned before its expiry is spent. A
 * gateway gets only what it wants now; when tokens are short, the more urgent and then the longer
 * waiting gateway goes first. The time is monotonic. Not thread-safe.
 *
 * @since 0.1
 */
public final class TokenBudget {

  /** Lifetime of a grant at the gateway, from the moment it sent the exchange. */
  public static final Duration GATEWAY_LIFETIME = Duration.ofSeconds(2);

  /** Lifetime of a grant at control; longer, so that no gateway uses one that control has spent. */
  public static final Duration CONTROL_LIFETIME = Duration.ofSeconds(3);

  static final Duration SHORTEST_RETRY = Duration.ofMillis(5);
  static final Duration HOLDER_IDLE = Duration.ofSeconds(60);
  private static final int MAX_HOLDERS = 4_096;

  private final Map<String, CustomerBucket> buckets = new HashMap<>();
  private final Map<Holder, Session> sessions = new HashMap<>();
  private final Map<String, Ceiling> inherited = new HashMap<>();
  private final Set<String> closed = new HashSet<>();

  /** Starts from the committed ceilings; those of customers without limits are kept aside. */
  public TokenBudget(Collection<Ceiling> committed) {
    committed.forEach(ceiling -> inherited.put(ceiling.customer(), ceiling));
  }

  /** The start of a gateway process. */
  public record Holder(String gatewayId, String startId) implements Comparable<Holder> {

    private static final Comparator<Holder> ORDER =
        Comparator.comparing(Holder::gatewayId).thenComparing(Holder::startId);

    @Override
    public int compareTo(Holder other) {
      return ORDER.compare(this, other);
    }
  }

  /**
   * What a gateway reports and asks for one customer, in tokens.
   *
   * @param used used since the last exchange, out of earlier grants
   * @param returned granted tokens given back unused
   * @param refunded tokens that count as used but were not needed in the end
   * @param wanted tokens wanted now
   * @param priority that of the most urgent waiting request
   * @param least least part of the wanted tokens that is of use; 0 when any part is
   */
  public record Item(
      String customer,
      long used,
      long returned,
      long refunded,
      long requested,
      Priority priority,
      long minUseful) {

    /** Describes an item of which any part is of use. */
    public Item(
        String customer,
        long used,
        long returned,
        long refunded,
        long requested,
        Priority priority) {
      this(customer, used, returned, refunded, requested, priority, 0);
    }
  }

  /**
   * What a gateway receives for one customer.
   *
   * @param retryAfterNanos when less than wanted was granted: time until asking again is useful
   */
  public record Granted(
      String customer, long tokens, long retryAfterNanos, long rate, long burst) {}

  /**
   * Answer to an exchange.
   *
   * @param lifetimeNanos lifetime of the grants from the moment the exchange was first sent, also
   *     when the answer is that to a repeat
   */
  public record Response(List<Granted> grants, long lifetimeNanos) {}

  /**
   * A committed bound on the tokens granted to a customer since the beginning.
   *
   * @param granted tokens granted when the record was made
   * @param ceiling most tokens that may be granted under this record
   * @param level level of the bucket when the record was made
   * @param outstanding tokens granted, not expired and not reported when the record was made
   */
  public record Ceiling(
      String customer, long granted, long ceiling, long level, long outstanding) {}

  /** Sets a customer's limits; the first call for a customer opens its bucket. */
  public void limits(String customer, long rate, long burst, long now) {
    closed.remove(customer);
    CustomerBucket bucket = buckets.get(customer);
    if (bucket != null) {
      bucket.limits(rate, burst, now);
      return;
    }
    Ceiling committed = inherited.remove(customer);
    buckets.put(
        customer,
        committed == null
            ? new CustomerBucket(rate, burst, now)
            : CustomerBucket.restored(committed, rate, burst, now));
  }

  /**
   * Grants nothing to a customer until its limits are set again. Its bucket stays, since a full one
   * at its return would let it exceed its rate.
   */
  public void close(String customer) {
    closed.add(customer);
  }

  /** Returns the ceilings to commit before the items can be granted in full. */
  public List<Ceiling> ceilingsFor(List<Item> items, long now) {
    List<Ceiling> due = new ArrayList<>();
    for (Item item : items) {
      CustomerBucket bucket = buckets.get(item.customer());
      if (bucket != null && item.requested() > 0) {
        addDue(due, bucket.dueCeiling(item.customer(), item.requested(), false, now));
      }
    }
    return due;
  }

  /** Returns true when a grant for one of the items waits for a ceiling to be committed. */
  public boolean waitsForCeiling(List<Item> items) {
    return items.stream()
        .anyMatch(
            item ->
                item.requested() > 0
                    && buckets.containsKey(item.customer())
                    && buckets.get(item.customer()).ceilingBlocks(item.requested()));
  }

  /**
   * Returns the ceilings to commit ahead of need, and those whose committed level has fallen behind
   * so far that a new leader would refuse requests that are within rate.
   */
  public List<Ceiling> ceilingsAhead(long now) {
    List<Ceiling> due = new ArrayList<>();
    buckets.forEach(
        (customer, bucket) -> {
          if (bucket.active()) {
            addDue(due, bucket.dueCeiling(customer, 0, true, now));
          }
        });
    return due;
  }

  /** Takes note that the ceilings are committed; to be called in the order of the log. */
  public void committed(Collection<Ceiling> ceilings) {
    for (Ceiling ceiling : ceilings) {
      CustomerBucket bucket = buckets.get(ceiling.customer());
      if (bucket != null) {
        bucket.committed(ceiling);
      }
    }
  }

  /**
   * Applies an exchange.
   *
   * @param sequence rises with each exchange of a holder; the newest one again gets its first
   *     answer
   * @return empty when the sequence is older than the newest one, or there are too many holders
   */
  public Optional<Response> exchange(Holder holder, long sequence, List<Item> items, long now) {
    Session session = sessions.get(holder);
    if (session != null && sequence <= session.sequence) {
      return sequence == session.sequence ? Optional.of(session.answer) : Optional.empty();
    }
    if (session == null && sessions.size() >= MAX_HOLDERS) {
      return Optional.empty();
    }
    List<Granted> grants = new ArrayList<>(items.size());
    for (Item item : items) {
      grants.add(exchangeOne(holder, item, now));
    }
    Response answer = new Response(List.copyOf(grants), GATEWAY_LIFETIME.toNanos());
    sessions.put(holder, new Session(sequence, answer, now));
    return Optional.of(answer);
  }

  /** Drops what is kept about gateways that have been silent for a minute. */
  public void forgetIdle(long now) {
    sessions.values().removeIf(session -> now - session.atNanos > HOLDER_IDLE.toNanos());
    buckets.values().forEach(bucket -> bucket.forgetIdleHolders(now));
  }

  /** Returns the tokens in a customer's bucket at {@code now}; negative while a debt is paid. */
  public long level(String customer, long now) {
    CustomerBucket bucket = buckets.get(customer);
    bucket.advance(now);
    return bucket.level();
  }

  /** Returns the tokens granted to a customer, not reported and not expired at {@code now}. */
  public long outstanding(String customer, long now) {
    CustomerBucket bucket = buckets.get(customer);
    bucket.advance(now);
    return bucket.outstanding();
  }

  private Granted exchangeOne(Holder holder, Item item, long now) {
    CustomerBucket bucket = buckets.get(item.customer());
    if (bucket == null || closed.contains(item.customer())) {
      return new Granted(item.customer(), 0, Duration.ofSeconds(1).toNanos(), 0, 0);
    }
    bucket.report(holder, item.used(), item.returned(), item.refunded(), now);
    long tokens = bucket.grant(holder, item.requested(), item.minUseful(), item.priority(), now);
    long unmet = item.requested() - tokens;
    long retryAfter = unmet > 0 ? bucket.retryAfterNanos(holder, unmet, now) : 0;
    return new Granted(item.customer(), tokens, retryAfter, bucket.rate(), bucket.burst());
  }

  private static void addDue(List<Ceiling> due, Ceiling ceiling) {
    if (ceiling != null) {
      due.add(ceiling);
    }
  }

  private record Session(long sequence, Response answer, long atNanos) {}
}
