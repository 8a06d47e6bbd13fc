package org.comfreygap.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Semaphore;

/**
 * The naive policy's state of one endpoint: a limit on concurrent requests, first come first
 * served, and the resident adapters in order of last use.
 *
 * <p>Thread safety: all methods are synchronized; {@code permits} is thread-safe.
 *
 * @since 0.1
 */
final class NaiveEndpoint {

  final String url;
  final String zone;
  final Semaphore permits;

  private final int slots;
  private final Map<String, AdapterUse> resident = new LinkedHashMap<>(16, 0.75f, true);

  NaiveEndpoint(String url, String zone, int maxBatch, int slots) {
    this.url = url;
    this.zone = zone;
    this.slots = slots;
    this.permits = new Semaphore(maxBatch, true);
  }

  /** Waits for a slot with the adapter; the caller loads it if {@link AdapterUse#mustLoad}. */
  synchronized AdapterUse acquire(String adapter) throws InterruptedException {
    while (true) {
      AdapterUse use = resident.get(adapter);
      if (use != null && use.state == State.READY) {
        use.users++;
        return use;
      }
      if (use == null && (resident.size() < slots || evictable().isPresent())) {
        AdapterUse added = new AdapterUse(adapter);
        if (resident.size() >= slots) {
          added.victim = evictable().get();
          resident.remove(added.victim);
        }
        added.users++;
        resident.put(adapter, added);
        return added;
      }
      wait();
    }
  }

  synchronized void completeLoad(AdapterUse use, boolean done) {
    use.state = done ? State.READY : State.FAILED;
    if (!done) {
      resident.remove(use.adapter, use);
    }
    notifyAll();
  }

  synchronized void release(AdapterUse use) {
    use.users--;
    notifyAll();
  }

  /** Replaces the known residents by those that the engine reports, after a failed request. */
  synchronized void resident(Set<String> names) {
    resident.values().removeIf(use -> use.state == State.READY && !names.contains(use.adapter));
    for (String name : names) {
      AdapterUse known = resident.computeIfAbsent(name, AdapterUse::new);
      known.state = known.state == State.LOADING && known.users > 0 ? known.state : State.READY;
    }
    notifyAll();
  }

  private Optional<String> evictable() {
    return resident.values().stream()
        .filter(use -> use.users == 0 && use.state == State.READY)
        .map(use -> use.adapter)
        .findFirst();
  }

  /** Load state of an adapter at an endpoint. */
  enum State {
    LOADING,
    READY,
    FAILED
  }

  /** An adapter at an endpoint and the number of its requests. Guarded by the endpoint. */
  static final class AdapterUse {

    final String adapter;
    private State state = State.LOADING;
    private String victim = "";
    private int users;

    AdapterUse(String adapter) {
      this.adapter = adapter;
    }

    boolean mustLoad() {
      return state == State.LOADING;
    }

    String victim() {
      return victim;
    }
  }
}
