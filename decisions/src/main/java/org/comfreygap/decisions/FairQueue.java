package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.comfreygap.settings.Priority;

/**
 * The queue in front of an endpoint: deficit round robin over customers, in tokens, inside each
 * priority class.
 *
 * <p>Work is grouped by adapter. Only groups marked ready (adapter resident) are served; the others
 * wait for their load, which {@link #waitingForLoad} orders: urgent first, then customers in turn.
 * Every eighth turn goes to a class whose oldest item waits longer than the ageing time, so that no
 * class starves. While several customers are active, a customer whose demand exceeds the equal
 * share of the bound leaves capacity for the usual concurrency of the others and its variation, so
 * that a flood by one customer does not make the others wait for its requests to end.
 *
 * <p>When full, deferrable work is shed first, and within a class the newest work of the customer
 * with the most queued tokens.
 *
 * <pre>{@code
 * FairQueue.Offer<Attempt> offer = queue.offer(item, nowNanos);
 * Optional<FairQueue.Item<Attempt>> next = queue.poll(nowNanos, free, limit, attempt -> true);
 * }</pre>
 *
 * <p>Invariant: the number and the tokens of queued items stay within the bounds. Thread safety:
 * none; the caller holds the lock.
 *
 * @param <T> payload
 * @since 0.1
 */
public final class FairQueue<T> {

  /** Tokens a customer may spend in one turn of the round robin. */
  public static final long QUANTUM_TOKENS = 1_024;

  /** One turn in this many goes to work older than the ageing time. */
  static final int AGED_TURN_INTERVAL = 8;

  // The number of requests that customers within their share run at once varies about its mean
  // like a Poisson count, whose standard deviation is the square root of the mean.
  private static final double RESERVE_DEVIATIONS = 2;
  // A short burst of a customer within its share stays below this multiple of the equal share.
  private static final double EXCESS_FACTOR = 2;
  private static final int MIN_SHARED_LIMIT = 4;
  private static final Duration SHARE_LIFETIME = Duration.ofMillis(5);
  private static final Duration MEAN_TIME = Duration.ofSeconds(5);
  private static final Duration ACTIVE_TIME = Duration.ofSeconds(10);

  private final int maxItems;
  private final long maxTokens;
  private final long ageingNanos;
  private final Map<Priority, ClassQueue<T>> classes = new EnumMap<>(Priority.class);
  private final Map<String, Item<T>> items = new HashMap<>();
  private final Map<String, Customer> customers = new HashMap<>();
  private final Set<String> ready = new HashSet<>();
  private final Map<String, Integer> queuedByAdapter = new HashMap<>();
  private long tokens;
  private long polls;
  private long loads;
  private Share share;

  /**
   * Creates an empty queue.
   *
   * @param maxItems most queued items
   * @param maxTokens most queued tokens; a single larger item is taken when nothing else is queued
   * @param ageing wait after which a class gets a guaranteed share of the turns
   */
  public FairQueue(int maxItems, long maxTokens, Duration ageing) {
    this.maxItems = maxItems;
    this.maxTokens = maxTokens;
    this.ageingNanos = ageing.toNanos();
    for (Priority priority : Priority.values()) {
      classes.put(priority, new ClassQueue<>());
    }
  }

  /**
   * Result of offering an item.
   *
   * @param accepted false when the item was refused
   * @param shed items that were removed to make room
   */
  public record Offer<T>(boolean accepted, List<Item<T>> shed) {}

  /** Queues {@code item}, or refuses it when all queued work takes precedence. */
  public Offer<T> offer(Item<T> item, long nowNanos) {
    item.enqueuedAtNanos = nowNanos;
    Customer customer = touch(item.customer, nowNanos);
    List<Item<T>> shed = List.of();
    while (full(item)) {
      Optional<Item<T>> victim = victim(item);
      if (victim.isEmpty()) {
        return new Offer<>(false, shed);
      }
      shed = shed.isEmpty() ? new ArrayList<>() : shed;
      remove(victim.get().id);
      shed.add(victim.get());
    }
    insert(item);
    customer.queued++;
    return new Offer<>(true, shed);
  }

  /**
   * Removes and returns the next item to run.
   *
   * @param limit running bound in force
   * @param admissible final check of the item whose turn it is; a rejected item blocks only its
   *     group
   */
  public Optional<Item<T>> poll(long nowNanos, int limit, Predicate<T> admissible) {
    if (items.isEmpty()) {
      return Optional.empty();
    }
    Predicate<String> permitted = permitted(nowNanos, limit);
    Item<T> next =
        ++polls % AGED_TURN_INTERVAL == 0 ? pollAged(nowNanos, permitted, admissible) : null;
    for (Priority priority : Priority.values()) {
      if (next == null) {
        next = classes.get(priority).poll(permitted, admissible);
      }
    }
    if (next == null) {
      polls--;
      return Optional.empty();
    }
    forget(next);
    Customer customer = touch(next.customer, nowNanos);
    customer.running++;
    return Optional.of(next);
  }

  /** Records that polled work of {@code customer} no longer runs. */
  public void finished(String customer, long nowNanos) {
    Customer known = customers.get(customer);
    if (known != null && known.running > 0) {
      known.advance(nowNanos);
      known.running--;
    }
  }

  /** Removes the item with the given id, or returns empty when it is not queued. */
  public Optional<Item<T>> remove(String id) {
    Item<T> item = items.get(id);
    if (item == null) {
      return Optional.empty();
    }
    classes.get(item.priority).remove(item);
    forget(item);
    return Optional.of(item);
  }

  /** Marks whether work on {@code adapter} may be served. Work without an adapter always may. */
  public void ready(String adapter, boolean isReady) {
    boolean changed = isReady ? ready.add(adapter) : ready.remove(adapter);
    if (!changed) {
      return;
    }
    classes.values().forEach(queue -> queue.ready(adapter, isReady));
  }

  /**
   * Returns one item for each adapter that queued work waits for, in the order in which to load
   * them: by class, then by the customer's last load, then by arrival.
   */
  public List<Item<T>> waitingForLoad() {
    List<Item<T>> heads = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (Priority priority : Priority.values()) {
      List<Item<T>> ofClass = classes.get(priority).waitingHeads();
      ofClass.sort(
          (a, b) -> {
            int byLoad = Long.compare(lastLoad(a.customer), lastLoad(b.customer));
            return byLoad != 0 ? byLoad : Long.compare(a.enqueuedAtNanos, b.enqueuedAtNanos);
          });
      for (Item<T> head : ofClass) {
        if (seen.add(head.adapter)) {
          heads.add(head);
        }
      }
    }
    return heads;
  }

  /** Records that an adapter was loaded for {@code customer}. */
  public void loadedFor(String customer) {
    Customer known = customers.get(customer);
    if (known != null) {
      known.lastLoad = ++loads;
    }
  }

  /** Returns how many queued items wait on {@code adapter}. */
  public int queuedFor(String adapter) {
    return queuedByAdapter.getOrDefault(adapter, 0);
  }

  /** Returns all queued items, in no particular order. */
  public Collection<Item<T>> queued() {
    return items.values();
  }

  /** Returns the number of queued items. */
  public int size() {
    return items.size();
  }

  /** Returns the tokens of all queued items. */
  public long tokens() {
    return tokens;
  }

  private boolean full(Item<T> item) {
    return items.size() >= maxItems || (tokens > 0 && tokens + item.tokens > maxTokens);
  }

  private Optional<Item<T>> victim(Item<T> newcomer) {
    Priority[] order = Priority.values();
    for (int i = order.length - 1; i >= newcomer.priority.ordinal(); i--) {
      ClassQueue<T> queue = classes.get(order[i]);
      if (!queue.customers.isEmpty()) {
        CustomerQueue<T> largest = queue.largest();
        boolean sameClass = order[i] == newcomer.priority;
        long own = sameClass ? queue.tokensOf(newcomer.customer) + newcomer.tokens : 0;
        boolean refuseNewcomer = sameClass && own >= largest.tokens;
        return refuseNewcomer ? Optional.empty() : Optional.of(largest.newest());
      }
    }
    return Optional.empty();
  }

  private void insert(Item<T> item) {
    items.put(item.id, item);
    tokens += item.tokens;
    queuedByAdapter.merge(item.adapter, 1, Integer::sum);
    classes.get(item.priority).add(item, item.adapter.isEmpty() || ready.contains(item.adapter));
  }

  private void forget(Item<T> item) {
    items.remove(item.id);
    customers.get(item.customer).queued--;
    tokens -= item.tokens;
    queuedByAdapter.computeIfPresent(item.adapter, (a, count) -> count == 1 ? null : count - 1);
  }

  private Item<T> pollAged(long nowNanos, Predicate<String> permitted, Predicate<T> admissible) {
    for (int i = Priority.values().length - 1; i > 0; i--) {
      ClassQueue<T> queue = classes.get(Priority.values()[i]);
      long oldest = queue.oldestReady(nowNanos);
      if (nowNanos - oldest > ageingNanos) {
        Item<T> item = queue.poll(permitted, admissible);
        if (item != null) {
          return item;
        }
      }
    }
    return null;
  }

  private Share share(long nowNanos, int limit) {
    boolean fresh = share != null && share.limit == limit;
    if (fresh && nowNanos - share.atNanos < SHARE_LIFETIME.toNanos()) {
      return share;
    }
    customers
        .values()
        .removeIf(
            customer ->
                customer.running + customer.queued == 0
                    && nowNanos - customer.seenAtNanos > ACTIVE_TIME.toNanos());
    share = newShare(nowNanos, limit);
    return share;
  }

  private Share newShare(long nowNanos, int limit) {
    int active = customers.size();
    if (active <= 1 || limit < MIN_SHARED_LIMIT) {
      return new Share(nowNanos, limit, Double.MAX_VALUE, Integer.MAX_VALUE);
    }
    double each = (double) limit / active;
    double within = 0;
    for (Customer customer : customers.values()) {
      customer.advance(nowNanos);
      if (!customer.exceeds(each)) {
        within += Math.min(each, Math.max(customer.demand, customer.running));
      }
    }
    double room = limit - within - RESERVE_DEVIATIONS * Math.sqrt(within);
    return new Share(nowNanos, limit, each, (int) Math.max(Math.floor(each), room));
  }

  private Predicate<String> permitted(long nowNanos, int limit) {
    Share now = share(nowNanos, limit);
    return name -> permits(now, name);
  }

  private boolean permits(Share now, String name) {
    Customer customer = customers.get(name);
    return customer == null || !customer.exceeds(now.equalShare) || customer.running < now.cap;
  }

  private Customer touch(String name, long nowNanos) {
    Customer customer = customers.get(name);
    if (customer == null) {
      customer = new Customer();
      customer.demandAtNanos = nowNanos;
      customers.put(name, customer);
    }
    customer.seenAtNanos = nowNanos;
    customer.advance(nowNanos);
    return customer;
  }

  private long lastLoad(String customer) {
    Customer known = customers.get(customer);
    return known == null ? 0 : known.lastLoad;
  }

  /** A queued item. Not thread-safe. */
  public static final class Item<T> {

    private final String id;
    final String customer;
    private final Priority priority;
    final long tokens;
    final String adapter;
    final boolean isolated;
    final T payload;
    long enqueuedAtNanos;
    CustomerQueue.Group<T> group;
    Item<T> previous;
    Item<T> next;

    /**
     * Creates an item.
     *
     * @param adapter immutable adapter name, or empty when none is needed
     * @param isolated true when the item may have to wait for similar items; it is then grouped
     *     separately so that it blocks no other work
     */
    public Item(
        String id,
        String customer,
        Priority priority,
        long tokens,
        String adapter,
        boolean isolated,
        T payload) {
      this.id = id;
      this.customer = customer;
      this.priority = priority;
      this.tokens = Math.max(1, tokens);
      this.adapter = adapter;
      this.isolated = isolated;
      this.payload = payload;
    }

    /** Returns the id. */
    public String id() {
      return id;
    }

    /** Returns the customer. */
    public String customer() {
      return customer;
    }

    /** Returns the priority class. */
    public Priority priority() {
      return priority;
    }

    /** Returns the adapter, empty when none is needed. */
    public String adapter() {
      return adapter;
    }

    /** Returns the payload. */
    public T payload() {
      return payload;
    }

    /** Returns the monotonic time of arrival. */
    public long enqueuedAtNanos() {
      return enqueuedAtNanos;
    }
  }

  /** State of a customer with recently queued or running work. */
  private static final class Customer {

    private int running;
    private long seenAtNanos;
    private long lastLoad;
    private int queued;

    /** Mean number of requests queued or running over the last seconds. */
    private double demand;

    private long demandAtNanos;

    boolean exceeds(double each) {
      return demand > EXCESS_FACTOR * each;
    }

    /** Updates the mean; call this before the counts change. */
    void advance(long nowNanos) {
      double share = 1 - Math.exp(-(double) (nowNanos - demandAtNanos) / MEAN_TIME.toNanos());
      demand += (running + queued - demand) * share;
      demandAtNanos = nowNanos;
    }
  }

  /**
   * How many requests a customer may run at once.
   *
   * @param each equal share of the running bound
   * @param cap bound for a customer whose demand is far above the equal share: the capacity that
   *     the others leave free even when they run more than usual, but at least the equal share
   */
  private record Share(long atNanos, int limit, double equalShare, int cap) {}

  /** The customers of one priority class, in round-robin order. */
  private static final class ClassQueue<T> {

    private final Map<String, CustomerQueue<T>> customers = new HashMap<>();
    private final Deque<CustomerQueue<T>> ring = new ArrayDeque<>();

    void add(Item<T> item, boolean isReady) {
      CustomerQueue<T> queue = customers.get(item.customer);
      if (queue == null) {
        queue = new CustomerQueue<>(item.customer);
        customers.put(item.customer, queue);
        ring.addLast(queue);
      }
      queue.add(item, isReady);
    }

    void remove(Item<T> item) {
      CustomerQueue<T> queue = customers.get(item.customer);
      queue.remove(item);
      if (queue.groups.isEmpty()) {
        customers.remove(item.customer);
        ring.remove(queue);
      }
    }

    Item<T> poll(Predicate<String> permitted, Predicate<T> admissible) {
      long fewestRounds = Long.MAX_VALUE;
      boolean firstInTurn = !ring.isEmpty() && ring.peekFirst().inTurn;
      for (int i = ring.size(); i > 0; i--) {
        CustomerQueue<T> queue = ring.peekFirst();
        queue.candidate = permitted.test(queue.name) ? queue.head(admissible) : null;
        if (queue.candidate != null) {
          if (!queue.inTurn) {
            queue.inTurn = true;
            queue.deficit += QUANTUM_TOKENS;
          }
          if (queue.deficit >= queue.candidate.tokens) {
            return take(queue);
          }
          fewestRounds = Math.min(fewestRounds, queue.roundsNeeded());
        }
        queue.inTurn = false;
        ring.addLast(ring.pollFirst());
      }
      if (fewestRounds == Long.MAX_VALUE) {
        // Nothing can be served, so the turn does not move on.
        if (!ring.isEmpty()) {
          ring.peekFirst().inTurn = firstInTurn;
        }
        return null;
      }
      // Every candidate costs more than its deficit: the rounds that would serve none are skipped.
      for (CustomerQueue<T> queue : ring) {
        if (queue.candidate != null) {
          queue.deficit += (fewestRounds - 1) * QUANTUM_TOKENS;
        }
      }
      return poll(permitted, admissible);
    }

    void ready(String adapter, boolean isReady) {
      customers.values().forEach(queue -> queue.ready(adapter, isReady));
    }

    CustomerQueue<T> largest() {
      CustomerQueue<T> largest = null;
      for (CustomerQueue<T> queue : ring) {
        if (largest == null || queue.tokens > largest.tokens) {
          largest = queue;
        }
      }
      return largest;
    }

    long tokensOf(String customer) {
      CustomerQueue<T> queue = customers.get(customer);
      return queue == null ? 0 : queue.tokens;
    }

    long oldestReady(long nowNanos) {
      long oldest = nowNanos;
      for (CustomerQueue<T> queue : ring) {
        for (CustomerQueue.Group<T> group : queue.readyGroups) {
          if (group.head.enqueuedAtNanos - oldest < 0) {
            oldest = group.head.enqueuedAtNanos;
          }
        }
      }
      return oldest;
    }

    List<Item<T>> waitingHeads() {
      List<Item<T>> heads = new ArrayList<>();
      for (CustomerQueue<T> queue : ring) {
        for (CustomerQueue.Group<T> group : queue.groups.values()) {
          if (!group.isReady) {
            heads.add(group.head);
          }
        }
      }
      return heads;
    }

    private Item<T> take(CustomerQueue<T> queue) {
      Item<T> item = queue.candidate;
      queue.deficit -= item.tokens;
      queue.remove(item);
      if (queue.groups.isEmpty()) {
        customers.remove(queue.name);
        ring.removeFirst();
      }
      return item;
    }
  }
}
