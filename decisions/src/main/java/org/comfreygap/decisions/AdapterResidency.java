package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Tracks which adapters an engine holds and which are in use, and chooses the next command to the
 * engine.
 *
 * <p>An adapter in use is pinned and never unloaded. Commands go to the engine one at a time. After
 * a command with an unknown result and after a new boot the engine's state is read before the next
 * command. An adapter whose unload may still take effect is neither served nor loaded for {@link
 * #LATE_UNLOAD_TIME}. After a start of the sidecar every resident adapter counts as pinned until
 * the engine reports that it runs nothing of the earlier sidecar.
 *
 * <p>The victim is the resident adapter with the lowest popularity: a count of requests that halves
 * every {@link #HALF_LIFE}. The count outlives eviction, so a rarely used adapter does not displace
 * a popular one that happens to be idle, as least-recently-used eviction would.
 *
 * <pre>{@code
 * if (residency.tryPin(attemptId, adapter, nowNanos)) { dispatch(); }
 * Optional<AdapterResidency.Command> command = residency.begin(requested, queued, nowNanos);
 * }</pre>
 *
 * <p>Invariant: a pinned adapter is never the target of an unload command, and at most one command
 * is in progress. Thread safety: none; the caller holds the lock under which it also dispatches.
 *
 * @since 0.1
 */
public final class AdapterResidency {

  /** Time after which a past request counts half towards popularity. */
  public static final Duration HALF_LIFE = Duration.ofSeconds(120);

  /**
   * Longest time in which an unload command can still reach the engine after its connection failed.
   */
  public static final Duration LATE_UNLOAD_TIME = Duration.ofSeconds(5);

  private static final int HISTORY_PER_SLOT = 16;
  private static final int MIN_HISTORY = 1_024;

  private final Map<String, Resident> residents = new HashMap<>();
  private final Map<String, String> pins = new HashMap<>();
  private final Map<String, Long> unsafeUntil = new HashMap<>();
  private final LinkedHashMap<String, Popularity> history;
  private int slots;
  private Optional<Command> inProgress = Optional.empty();
  private Optional<String> draining = Optional.empty();
  private boolean stateKnown;
  private boolean restartPins = true;
  private long epoch;

  /** Creates the state of an engine that has not been read yet. */
  public AdapterResidency(int slots) {
    this.slots = slots;
    this.history =
        new LinkedHashMap<>(64, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Popularity> eldest) {
            return size() > Math.max(MIN_HISTORY, HISTORY_PER_SLOT * AdapterResidency.this.slots);
          }
        };
  }

  /** Kind of a command to the engine. */
  public enum Kind {
    LOAD,
    UNLOAD
  }

  /** A command to the engine. */
  public record Command(Kind kind, String adapter) {}

  /** Result of a command. */
  public enum Result {
    /** The engine acknowledged it. */
    DONE,
    /** The engine refused it and changed nothing. */
    REFUSED,
    /** No response, or an inconclusive one; the engine's state must be read. */
    UNKNOWN
  }

  /** Sets the number of slots. */
  public void slots(int count) {
    slots = count;
  }

  /** Returns the token to pass to {@link #stateRead}; taken when the read is sent. */
  public long readToken() {
    return epoch;
  }

  /**
   * Applies a state read.
   *
   * @param token value of {@link #readToken} when the read was sent
   * @param resident adapters the engine holds
   * @param foreignRunning true when the engine runs work this sidecar did not start
   * @return false when a command began or ended since the read was sent, which makes its result
   *     inconclusive
   */
  public boolean stateRead(
      long token, Collection<String> resident, boolean foreignRunning, long nowNanos) {
    if (token != epoch || inProgress.isPresent()) {
      return false;
    }
    residents.keySet().retainAll(new HashSet<>(resident));
    for (String adapter : resident) {
      residents.computeIfAbsent(adapter, a -> new Resident());
    }
    draining = draining.filter(residents::containsKey);
    stateKnown = true;
    if (restartPins && !foreignRunning) {
      restartPins = false;
    }
    return true;
  }

  /** Records a new boot: the engine is empty, but its state must be read before any command. */
  public void newBoot() {
    residents.clear();
    pins.clear();
    draining = Optional.empty();
    stateKnown = false;
    // Nothing survives an engine restart, so nothing of an earlier sidecar can still run.
    restartPins = false;
    unsafeUntil.clear();
    epoch++;
  }

  /** Requires the state to be read before the next command, for example after an unusable reply. */
  public void requireStateRead() {
    stateKnown = false;
    epoch++;
  }

  /** Returns true while the engine's state must be read before the next command. */
  public boolean stateUnknown() {
    return !stateKnown || restartPins;
  }

  /** Returns true when work for {@code adapter} may be dispatched. */
  public boolean usable(String adapter, long nowNanos) {
    expireUnsafe(nowNanos);
    Resident known = residents.get(adapter);
    return known != null && !draining(adapter) && !beingUnloaded(adapter) && safe(adapter);
  }

  /** Pins {@code adapter} for an attempt if it is usable. */
  public boolean tryPin(String attemptId, String adapter, long nowNanos) {
    if (!usable(adapter, nowNanos)) {
      return false;
    }
    if (pins.putIfAbsent(attemptId, adapter) == null) {
      residents.get(adapter).pins++;
    }
    return true;
  }

  /** Counts a request for {@code adapter} towards its popularity. */
  public void requested(String adapter, long nowNanos) {
    history.computeIfAbsent(adapter, a -> new Popularity(nowNanos)).add(nowNanos);
  }

  /** Releases the pin of an attempt that no longer runs at the engine. */
  public void unpin(String attemptId) {
    String adapter = pins.remove(attemptId);
    Resident known = adapter == null ? null : residents.get(adapter);
    if (known != null && known.pins > 0) {
      known.pins--;
    }
  }

  /** Returns true when {@code adapter} must not be unloaded now. */
  public boolean pinned(String adapter) {
    Resident known = residents.get(adapter);
    return known != null && (known.pins > 0 || restartPins);
  }

  /**
   * Begins the next command towards making {@code requested} resident; empty when the state must be
   * read first, a command is in progress, every resident adapter is in use, or no command is
   * needed.
   *
   * @param queued tests whether work waits for a resident adapter; such an adapter is evicted only
   *     by draining
   */
  public Optional<Command> begin(String requested, Predicate<String> queued, long nowNanos) {
    if (!loadable(requested, nowNanos)) {
      return Optional.empty();
    }
    Optional<Command> command =
        residents.size() < slots
            ? Optional.of(new Command(Kind.LOAD, requested))
            : victim(queued, nowNanos).map(adapter -> new Command(Kind.UNLOAD, adapter));
    if (command.isPresent()) {
      inProgress = command;
      epoch++;
    }
    return command;
  }

  /** Returns true when {@link #begin} would return a command. */
  public boolean canBegin(String requested, Predicate<String> queued, long nowNanos) {
    return loadable(requested, nowNanos)
        && (residents.size() < slots || victim(queued, nowNanos).isPresent());
  }

  /**
   * Closes the least popular adapter in use to new work, so that it can be unloaded once its
   * attempts end. Call this when work has waited long for an adapter that gets no slot.
   */
  public void drainOne(long nowNanos) {
    if (draining.isPresent() || restartPins || !stateKnown || residents.size() < slots) {
      return;
    }
    draining = leastPopular(adapter -> !pinned(adapter), nowNanos);
    if (draining.isEmpty()) {
      draining = leastPopular(adapter -> true, nowNanos);
    }
  }

  /** Admits work for a draining adapter again; call this when no other adapter needs its slot. */
  public void stopDraining() {
    draining = Optional.empty();
  }

  /** Returns true when {@code adapter} occupies a slot, even if no work may be dispatched to it. */
  public boolean holds(String adapter) {
    return residents.containsKey(adapter);
  }

  /** Ends the command in progress. */
  public void ended(Result result, long nowNanos) {
    Command command =
        inProgress.orElseThrow(() -> new IllegalStateException("no command is in progress"));
    inProgress = Optional.empty();
    epoch++;
    if (result == Result.UNKNOWN) {
      stateKnown = false;
    }
    boolean unload = command.kind == Kind.UNLOAD;
    if (unload && result != Result.REFUSED) {
      residents.remove(command.adapter);
      draining = draining.filter(adapter -> !adapter.equals(command.adapter));
    }
    if (unload && result == Result.UNKNOWN) {
      unsafeUntil.put(command.adapter, nowNanos + LATE_UNLOAD_TIME.toNanos());
    }
    if (!unload && result == Result.DONE) {
      residents.computeIfAbsent(command.adapter, a -> new Resident());
    }
    if (result == Result.REFUSED) {
      stateKnown = false;
    }
  }

  /** Returns the command in progress. */
  public Optional<Command> inProgress() {
    return inProgress;
  }

  /** Returns the adapters that may be dispatched to, in order of name. */
  public Set<String> usableAdapters(long nowNanos) {
    expireUnsafe(nowNanos);
    Set<String> names = new TreeSet<>(residents.keySet());
    names.removeIf(adapter -> !usable(adapter, nowNanos));
    return names;
  }

  /** Returns the number of slots that hold no adapter. */
  public int freeSlots() {
    return Math.max(0, slots - residents.size());
  }

  private boolean loadable(String requested, long nowNanos) {
    expireUnsafe(nowNanos);
    return stateKnown
        && inProgress.isEmpty()
        && !residents.containsKey(requested)
        && safe(requested)
        && slots > 0;
  }

  private boolean draining(String adapter) {
    return draining.isPresent() && draining.get().equals(adapter);
  }

  private boolean beingUnloaded(String adapter) {
    return inProgress.isPresent()
        && inProgress.get().kind == Kind.UNLOAD
        && inProgress.get().adapter.equals(adapter);
  }

  private boolean safe(String adapter) {
    return unsafeUntil.isEmpty() || !unsafeUntil.containsKey(adapter);
  }

  /**
   * Ends the wait for unloads that can no longer take effect; a state read must show whether they
   * did.
   */
  private void expireUnsafe(long nowNanos) {
    if (unsafeUntil.isEmpty()) {
      return;
    }
    boolean expired =
        unsafeUntil
            .entrySet()
            .removeIf(
                entry -> {
                  boolean elapsed = entry.getValue() - nowNanos <= 0;
                  if (elapsed) {
                    residents.remove(entry.getKey());
                  }
                  return elapsed;
                });
    if (expired) {
      requireStateRead();
    }
  }

  private Optional<String> victim(Predicate<String> queued, long nowNanos) {
    if (restartPins) {
      return Optional.empty();
    }
    if (draining.isPresent() && !pinned(draining.get())) {
      return draining;
    }
    return leastPopular(adapter -> !pinned(adapter) && !queued.test(adapter), nowNanos);
  }

  private Optional<String> leastPopular(Predicate<String> candidate, long nowNanos) {
    String best = null;
    double lowest = Double.POSITIVE_INFINITY;
    for (String adapter : residents.keySet()) {
      if (candidate.test(adapter)) {
        Popularity popularity = history.get(adapter);
        double value = popularity == null ? 0 : popularity.at(nowNanos);
        // The name breaks ties, so that equal input gives equal decisions.
        if (value < lowest || (value == lowest && adapter.compareTo(best) < 0)) {
          lowest = value;
          best = adapter;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private static final class Resident {

    private int pins;
  }

  /** A request count that decays exponentially. */
  private static final class Popularity {

    private double count;
    private long atNanos;

    Popularity(long nowNanos) {
      atNanos = nowNanos;
    }

    void add(long nowNanos) {
      count = at(nowNanos) + 1;
      atNanos = nowNanos;
    }

    double at(long nowNanos) {
      double halves = (double) (nowNanos - atNanos) / HALF_LIFE.toNanos();
      return count * Math.pow(0.5, Math.max(0, halves));
    }
  }
}
