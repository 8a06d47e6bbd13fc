package org.comfreygap.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.AdapterSlots.Action;
import org.comfreygap.decisions.AdapterSlots.Command;
import org.comfreygap.decisions.AdapterSlots.Name;

/**
 * Model of one engine: processes prompts sequentially, runs a batch, and holds adapters.
 *
 * <p>An unload waits for the adapter's open requests, and the engine accepts no other command until
 * then. Invariant: at most {@link EngineSpec#adapterSlots} adapters are resident or loading. Thread
 * safety: not thread-safe.
 */
final class ModelEngine {

  private final EngineSpec spec;
  private final Deque<ModelRequest> promptQueue = new ArrayDeque<>();
  private final List<ModelRequest> running = new ArrayList<>();
  private final Map<Name, Double> remainingLoadMillis = new HashMap<>();
  private final Set<Name> resident = new HashSet<>();
  private final Set<Name> copies = new HashSet<>();
  private Optional<Name> unloading = Optional.empty();
  private int loadsFromStore;
  private int loadsFromCopies;

  ModelEngine(EngineSpec spec) {
    this.spec = spec;
  }

  /**
   * Performance data of an engine, from the specifications of the deployments.
   *
   * @param stepMillis duration of one batch step
   * @param stepMillisPerRequest additional step duration per running request
   * @param promptTokensPerMilli prompt tokens processed per millisecond
   * @param loadMillis duration of an adapter's load from the store
   * @param fullSpeedLoads concurrent store loads at full speed over all engines
   */
  record EngineSpec(
      int maxBatch,
      int adapterSlots,
      double stepMillis,
      double stepMillisPerRequest,
      double promptTokensPerMilli,
      double loadMillis,
      int fullSpeedLoads) {

    /** Duration of a load from the engine's local copy, as a share of a load from the store. */
    static final double LOCAL_COPY_LOAD_SHARE = 0.1;

    /** Engines of lianhua-route. */
    static final EngineSpec LIANHUA = new EngineSpec(64, 17, 8.2, 0.05, 25.8, 250, 16);

    /** Engines of glasnik-mreza. */
    static final EngineSpec GLASNIK = new EngineSpec(64, 15, 8.87, 0.05, 19.1, 250, 8);
  }

  Set<Name> resident() {
    return resident;
  }

  Set<Name> loading() {
    return remainingLoadMillis.keySet();
  }

  int running() {
    return running.size();
  }

  int waiting() {
    return promptQueue.size();
  }

  int loadsFromStore() {
    return loadsFromStore;
  }

  int loadsFromCopies() {
    return loadsFromCopies;
  }

  /** Returns true while an unload waits for open requests. */
  boolean blocked() {
    return unloading.isPresent();
  }

  /** Returns the adapters of open requests. */
  Set<Name> inUse() {
    Set<Name> names = new HashSet<>();
    promptQueue.forEach(request -> names.add(request.adapter()));
    running.forEach(request -> names.add(request.adapter()));
    return names;
  }

  /** Restarts the engine: open requests fail; adapters and their local copies are lost. */
  void restart() {
    promptQueue.forEach(ModelRequest::fail);
    running.forEach(ModelRequest::fail);
    promptQueue.clear();
    running.clear();
    resident.clear();
    copies.clear();
    remainingLoadMillis.clear();
    unloading = Optional.empty();
  }

  /** Accepts a request, or refuses one whose adapter is absent or about to be unloaded. */
  boolean accept(ModelRequest request) {
    boolean servable =
        resident.contains(request.adapter())
            && unloading.filter(request.adapter()::equals).isEmpty();
    if (servable) {
      promptQueue.add(request);
    }
    return servable;
  }

  /** Executes a command; returns false when it is refused. */
  boolean execute(Command command) {
    if (unloading.isPresent()) {
      return false;
    }
    Name name = command.name();
    if (command.action() == Action.UNLOAD) {
      if (inUse().contains(name)) {
        unloading = Optional.of(name);
      } else {
        resident.remove(name);
      }
      return true;
    }
    if (resident.size() + remainingLoadMillis.size() >= spec.adapterSlots()
        || remainingLoadMillis.size() >= AdapterSlots.MAX_LOADING) {
      return false;
    }
    boolean copy = copies.contains(name);
    loadsFromCopies += copy ? 1 : 0;
    loadsFromStore += copy ? 0 : 1;
    remainingLoadMillis.put(
        name, spec.loadMillis() * (copy ? EngineSpec.LOCAL_COPY_LOAD_SHARE : 1));
    return true;
  }

  /**
   * Advances the engine by one millisecond.
   *
   * @param loadingOverall loads in progress at all engines
   */
  void advance(long nowMillis, int loadingOverall) {
    double speed = Math.min(1, spec.fullSpeedLoads() / (double) Math.max(1, loadingOverall));
    for (Name name : List.copyOf(remainingLoadMillis.keySet())) {
      double left = remainingLoadMillis.get(name) - speed;
      remainingLoadMillis.put(name, left);
      if (left <= 0) {
        remainingLoadMillis.remove(name);
        resident.add(name);
        copies.add(name);
      }
    }
    advancePrompt(nowMillis);
    advanceBatch();
    if (unloading.isPresent() && !inUse().contains(unloading.get())) {
      resident.remove(unloading.get());
      unloading = Optional.empty();
    }
  }

  private void advancePrompt(long nowMillis) {
    ModelRequest first = promptQueue.peekFirst();
    if (first == null || running.size() >= spec.maxBatch()) {
      return;
    }
    if (first.advancePrompt(spec.promptTokensPerMilli())) {
      promptQueue.removeFirst();
      running.add(first);
      first.start(nowMillis);
    }
  }

  private void advanceBatch() {
    double steps = 1 / (spec.stepMillis() + spec.stepMillisPerRequest() * running.size());
    Iterator<ModelRequest> all = running.iterator();
    while (all.hasNext()) {
      if (all.next().advanceOutput(steps)) {
        all.remove();
      }
    }
  }
}
