package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.settings.Priority;

/**
 * Limits adapter loads over the whole fleet to the capacity of the weight store.
 *
 * <pre>{@code
 * permits.enqueue(request, now);
 * List<Request> granted = permits.grant(now);
 * }</pre>
 *
 * <p>Invariants: over any interval of t seconds at most {@code fullSpeedLoads + loadsPerSecond * t}
 * permits are granted; at most {@code maxInFlight} are held at once; an adapter version has at most
 * one; a permit expires. Urgent requests go first, and within a priority the customers take turns.
 * Loads that are not urgent keep to the concurrency at which the store runs at full speed. A new
 * leader grants nothing until heartbeats have reported which loads are running. The time is
 * monotonic. Not thread-safe.
 *
 * @since 0.1
 */
public final class LoadPermits {

  /** Lifetime of a permit. */
  public static final Duration LIFETIME = Duration.ofSeconds(10);

  /** Time after a leader's start in which it learns of running loads and grants nothing. */
  public static final Duration SETTLING = Duration.ofMillis(1_500);

  /** A load that takes longer than this is stalled and no longer slows the others down. */
  private static final Duration FULL_SPEED_TIME = Duration.ofSeconds(1);

  private static final Duration USUAL_LOAD = Duration.ofMillis(250);
  private static final int MAX_QUEUED = 10_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final long startNanos;
  private final Map<Priority, Map<String, Deque<Request>>> queues = new HashMap<>();
  private final Map<String, Request> queued = new HashMap<>();
  private final Map<String, Permit> held = new LinkedHashMap<>();
  private final Map<String, Permit> heldByVersion = new HashMap<>();
  private Limits limits;
  // Time up to which the store's rate is used; may be ahead of now by the allowed burst.
  private long rateNanos;

  /**
   * Creates permits with an empty queue.
   *
   * @param startNanos monotonic time at which this leadership began
   */
  public LoadPermits(Limits limits, long startNanos) {
    this.limits = limits;
    this.startNanos = startNanos;
    this.rateNanos = startNanos + burstNanos() + intervalNanos();
    for (Priority priority : Priority.values()) {
      queues.put(priority, new LinkedHashMap<>());
    }
  }

  /** Capacity of the weight store. */
  public record Limits(double loadsPerSecond, int fullSpeedLoads, int maxInFlight) {

    /** Used while no limits are set: slow enough for any store. */
    public static final Limits DEFAULT = new Limits(2, 1, 8);
  }

  /**
   * A request to load an adapter version at an endpoint.
   *
   * @param adapterVersion immutable name {@code team/adapter@version}
   */
  public record Request(
      String permitId,
      String endpoint,
      String adapterVersion,
      String customer,
      Priority priority) {}

  /** Why a request has no permit yet and when to request it again. */
  public record Refusal(long retryAfterNanos, Optional<String> loadingAt) {}

  /** Replaces the limits. */
  public void limits(Limits replacement) {
    limits = replacement;
  }

  /**
   * Queues a request; returns false when the queue is full. A repeated permit id is queued once.
   */
  public boolean enqueue(Request request, long now) {
    expire(now);
    if (held.containsKey(request.permitId) || queued.containsKey(request.permitId)) {
      return true;
    }
    if (queued.size() >= MAX_QUEUED) {
      return false;
    }
    queued.put(request.permitId, request);
    queues
        .get(request.priority)
        .computeIfAbsent(request.customer, c -> new ArrayDeque<>())
        .addLast(request);
    return true;
  }

  /** Grants what may be granted now and returns it in order. */
  public List<Request> grant(long now) {
    expire(now);
    List<Request> granted = new ArrayList<>();
    for (Priority priority : Priority.values()) {
      Optional<Request> next = next(priority, now);
      while (next.isPresent()) {
        hold(next.get(), now);
        granted.add(next.get());
        next = next(priority, now);
      }
    }
    return granted;
  }

  /** Returns the nanoseconds for which a permit is still valid, or empty when it is not held. */
  public Optional<Long> remaining(String permitId, long now) {
    expire(now);
    return Optional.ofNullable(held.get(permitId)).map(permit -> permit.endNanos - now);
  }

  /** Removes a request that has waited long enough from the queue. */
  public Refusal withdraw(String permitId, long now) {
    Request request = queued.remove(permitId);
    if (request == null) {
      return new Refusal(USUAL_LOAD.toNanos(), Optional.empty());
    }
    Map<String, Deque<Request>> queue = queues.get(request.priority);
    Deque<Request> waiting = queue.get(request.customer);
    waiting.remove(request);
    if (waiting.isEmpty()) {
      queue.remove(request.customer);
    }
    Optional<String> loadingAt =
        Optional.ofNullable(heldByVersion.get(request.adapterVersion))
            .map(permit -> permit.request.endpoint);
    return new Refusal(retryAfterNanos(now), loadingAt);
  }

  /** Ends a permit; returns false when it is not held. */
  public boolean release(String permitId) {
    Permit permit = held.remove(permitId);
    if (permit == null) {
      return false;
    }
    heldByVersion.remove(permit.request.adapterVersion, permit);
    return true;
  }

  /**
   * Records the loads that an endpoint reports as running, so that a new leader counts the loads
   * that its predecessor permitted.
   */
  public void observed(String endpoint, Collection<String> loading, long now) {
    held.values().stream()
        .filter(permit -> permit.observed && permit.request.endpoint.equals(endpoint))
        .filter(permit -> !loading.contains(permit.request.adapterVersion))
        .map(permit -> permit.request.permitId)
        .toList()
        .forEach(this::release);
    for (String version : loading) {
      if (!heldByVersion.containsKey(version) && !settled(now)) {
        Request request =
            new Request(
                "observed/" + endpoint + "/" + version, endpoint, version, "", Priority.URGENT);
        put(new Permit(request, now, now + LIFETIME.toNanos(), true));
      }
    }
  }

  /** Returns the number of permits held. */
  public int inFlight(long now) {
    expire(now);
    return held.size();
  }

  /** Returns the number of queued requests. */
  public int queued() {
    return queued.size();
  }

  private Optional<Request> next(Priority priority, long now) {
    if (!settled(now) || held.size() >= limits.maxInFlight || rateNanos - burstNanos() > now) {
      return Optional.empty();
    }
    if (priority != Priority.URGENT && atFullSpeed(now) >= limits.fullSpeedLoads) {
      return Optional.empty();
    }
    for (Deque<Request> waiting : queues.get(priority).values()) {
      for (Request request : waiting) {
        if (!heldByVersion.containsKey(request.adapterVersion)) {
          return Optional.of(request);
        }
      }
    }
    return Optional.empty();
  }

  private void hold(Request request, long now) {
    queued.remove(request.permitId);
    Map<String, Deque<Request>> queue = queues.get(request.priority);
    Deque<Request> waiting = queue.remove(request.customer);
    waiting.remove(request);
    if (!waiting.isEmpty()) {
      // The customer goes to the end of the round.
      queue.put(request.customer, waiting);
    }
    rateNanos = Math.max(rateNanos, now) + intervalNanos();
    put(new Permit(request, now, now + LIFETIME.toNanos(), false));
  }

  private void put(Permit permit) {
    held.put(permit.request.permitId, permit);
    heldByVersion.put(permit.request.adapterVersion, permit);
  }

  private long atFullSpeed(long now) {
    return held.values().stream()
        .filter(permit -> now - permit.grantedNanos < FULL_SPEED_TIME.toNanos())
        .count();
  }

  private void expire(long now) {
    Iterator<Permit> oldest = held.values().iterator();
    while (oldest.hasNext()) {
      Permit permit = oldest.next();
      if (permit.endNanos - now > 0) {
        return;
      }
      oldest.remove();
      heldByVersion.remove(permit.request.adapterVersion, permit);
    }
  }

  private long retryAfterNanos(long now) {
    long rate = Math.max(0, rateNanos - burstNanos() - now) + queued.size() * intervalNanos();
    return Math.min(LIFETIME.toNanos(), Math.max(USUAL_LOAD.toNanos(), rate));
  }

  private boolean settled(long now) {
    return now - startNanos >= SETTLING.toNanos();
  }

  private long intervalNanos() {
    return (long) (NANOS_PER_SECOND / limits.loadsPerSecond);
  }

  private long burstNanos() {
    return (limits.fullSpeedLoads - 1) * intervalNanos();
  }

  private record Permit(Request request, long grantedNanos, long endNanos, boolean observed) {}
}
