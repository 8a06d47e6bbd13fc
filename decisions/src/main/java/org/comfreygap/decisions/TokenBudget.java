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
 * Distributes each customer's tokens among the gateways; the control side of customer credit.
 *
 * <pre>{@code
 * List<Ceiling> due = budget.ceilingsFor(items, now);
 * commit(due);
 * budget.committed(due);
 * Response response = budget.exchange(holder, sequence, items, now);
 * }</pre>
 *
 * <p>Invariants, for each customer: level + outstanding grants never exceeds the burst, also across
 * a change of leader; nothing is granted past the committed ceiling; an exchange is applied once,
 * however often it is sent; a grant that is neither used nor returned before its expiry is spent. A
 * gateway gets no more than it requests now; when tokens are short, more urgent gateways go first,
 * then those that have waited longer. The time is monotonic. Not thread-safe.
 *
 * @since 0.1
 */
public final class TokenBudget {

  /** Lifetime of a grant at the gateway, from the moment it sent the exchange. */
  public static final Duration GATEWAY_LIFETIME = Duration.ofSeconds(2);

  /**
   * Lifetime of a grant at control; longer, so that no gateway uses a grant that control has
   * counted as spent.
   */
  public static final Duration CONTROL_LIFETIME = Duration.ofSeconds(3);

  static final Duration SHORTEST_RETRY = Duration.ofMillis(5);
  static final Duration HOLDER_IDLE = Duration.ofSeconds(60);
  private static final int MAX_HOLDERS = 4_096;

  private final Map<String, CustomerBucket> buckets = new HashMap<>();
  private final Map<Holder, Session> sessions = new HashMap<>();
  private final Map<String, Ceiling> inherited = new HashMap<>();
  private final Set<String> closed = new HashSet<>();

  /**
   * Starts from the committed ceilings; those of customers without limits are kept until limits are
   * set.
   */
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
   * A gateway's report and request for one customer, in tokens.
   *
   * @param used used since the last exchange, out of earlier grants
   * @param returned granted tokens returned unused
   * @param refunded tokens reported as used that were not needed
   * @param requested tokens requested now
   * @param priority priority of the most urgent waiting request
   * @param minUseful smallest useful grant; 0 when any amount is useful
   */
  public record Item(
      String customer,
      long used,
      long returned,
      long refunded,
      long requested,
      Priority priority,
      long minUseful) {

    /** Creates an item for which any grant is useful. */
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
   * The grant to a gateway for one customer.
   *
   * @param retryAfterNanos when less than requested was granted: time until another exchange is
   *     useful
   */
  public record Granted(
      String customer, long tokens, long retryAfterNanos, long rate, long burst) {}

  /**
   * Response to an exchange.
   *
   * @param lifetimeNanos lifetime of the grants from the moment the exchange was first sent, also
   *     when the response repeats an earlier one
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

  /** Records that the ceilings are committed; call this in the order of the log. */
  public void committed(Collection<Ceiling> ceilings) {
    for (Ceiling ceiling : ceilings) {
      CustomerBucket bucket = buckets.get(ceiling.customer());
      if (bucket != null) {
        bucket.committed(ceiling);
      }
    }
  }

  /**
   * Records that the ceilings were not committed, as far as the proposer knows, so that they become
   * due again.
   */
  public void refused(Collection<Ceiling> ceilings) {
    for (Ceiling ceiling : ceilings) {
      CustomerBucket bucket = buckets.get(ceiling.customer());
      if (bucket != null) {
        bucket.refused();
      }
    }
  }

  /**
   * Applies an exchange.
   *
   * @param sequence increases with each exchange of a holder; a repeat of the newest one gets the
   *     same response
   * @return empty when the sequence is older than the newest one, or there are too many holders
   */
  public Optional<Response> exchange(Holder holder, long sequence, List<Item> items, long now) {
    Session session = sessions.get(holder);
    if (session != null && sequence <= session.sequence) {
      return sequence == session.sequence ? Optional.of(session.response) : Optional.empty();
    }
    if (session == null && sessions.size() >= MAX_HOLDERS) {
      return Optional.empty();
    }
    List<Granted> grants = new ArrayList<>(items.size());
    for (Item item : items) {
      grants.add(exchangeOne(holder, item, now));
    }
    Response response = new Response(List.copyOf(grants), GATEWAY_LIFETIME.toNanos());
    sessions.put(holder, new Session(sequence, response, now));
    return Optional.of(response);
  }

  /** Drops the state of gateways without contact for a minute. */
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

  private record Session(long sequence, Response response, long atNanos) {}
}
