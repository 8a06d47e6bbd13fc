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
 * A model of one engine: it reads prompts one after the other, runs a batch, and holds adapters.
 *
 * <p>An unload waits for the runs of its adapter, and the engine takes no other order until then.
 * Invariant: at most {@link EngineSpec#adapterSlots} adapters are held or coming. Thread safety:
 * not thread-safe.
 */
final class ModelEngine {

  private final EngineSpec sheet;
  private final Deque<ModelRequest> promptQueue = new ArrayDeque<>();
  private final List<ModelRequest> running = new ArrayList<>();
  private final Map<Name, Double> remainingLoadMillis = new HashMap<>();
  private final Set<Name> resident = new HashSet<>();
  private final Set<Name> copies = new HashSet<>();
  private Optional<Name> unloading = Optional.empty();
  private int loadsFromStore;
  private int loadsFromCopies;

  ModelEngine(EngineSpec sheet) {
    this.sheet = sheet;
  }

  /**
   * Figures of an engine, from the sheets of the deployments.
   *
   * @param stepMillis time of one step of a batch
   * @param stepMillisEach what each running request adds to it
   * @param tokensPerMilli prompt tokens read in a millisecond
   * @param loadMillis load of an adapter from the store
   * @param storeAtOnce loads at full speed over all engines
   */
  record EngineSpec(
      int maxBatch,
      int adapterSlots,
      double stepMillis,
      double stepMillisPerRequest,
      double promptTokensPerMilli,
      double loadMillis,
      int fullSpeedLoads) {

    /** Share of the load time when the engine has a copy of its own. */
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

  /** Returns true while an unload waits for runs. */
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

  /** Starts anew, with neither adapters nor copies of them. */
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

  /** Takes a request; one for an adapter that is absent or about to go is refused. */
  boolean accept(ModelRequest request) {
    boolean serves =
        resident.contains(request.adapter())
            && unloading.filter(request.adapter()::equals).isEmpty();
    if (serves) {
      promptQueue.add(request);
    }
    return serves;
  }

  /** Carries out an order, or refuses it. */
  boolean execute(Command order) {
    if (unloading.isPresent()) {
      return false;
    }
    Name name = order.name();
    if (order.action() == Action.UNLOAD) {
      if (inUse().contains(name)) {
        unloading = Optional.of(name);
      } else {
        resident.remove(name);
      }
      return true;
    }
    if (resident.size() + remainingLoadMillis.size() >= sheet.adapterSlots()
        || remainingLoadMillis.size() >= AdapterSlots.MAX_LOADING) {
      return false;
    }
    boolean copy = copies.contains(name);
    loadsFromCopies += copy ? 1 : 0;
    loadsFromStore += copy ? 0 : 1;
    remainingLoadMillis.put(
        name, sheet.loadMillis() * (copy ? EngineSpec.LOCAL_COPY_LOAD_SHARE : 1));
    return true;
  }

  /**
   * Lets a millisecond pass.
   *
   * @param comingOverall loads that are under way at all engines
   */
  void advance(long nowMillis, int comingOverall) {
    double speed = Math.min(1, sheet.fullSpeedLoads() / (double) Math.max(1, comingOverall));
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
    if (first == null || running.size() >= sheet.maxBatch()) {
      return;
    }
    if (first.advancePrompt(sheet.promptTokensPerMilli())) {
      promptQueue.removeFirst();
      running.add(first);
      first.start(nowMillis);
    }
  }

  private void advanceBatch() {
    double steps = 1 / (sheet.stepMillis() + sheet.stepMillisPerRequest() * running.size());
    Iterator<ModelRequest> all = running.iterator();
    while (all.hasNext()) {
      if (all.next().advanceOutput(steps)) {
        all.remove();
      }
    }
  }
}
