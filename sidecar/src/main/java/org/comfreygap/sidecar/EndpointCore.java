package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;
import org.comfreygap.decisions.AdapterResidency;
import org.comfreygap.decisions.AttemptRegistry;
import org.comfreygap.decisions.ColdStartRamp;
import org.comfreygap.decisions.FairQueue;
import org.comfreygap.protocol.generated.EndpointReport;
import org.comfreygap.settings.Documents.ColdStart;
import org.comfreygap.settings.Documents.Endpoint;

/**
 * State of the endpoint and its attempts, guarded by the single lock under which residency is
 * checked and attempts are dispatched.
 *
 * <p>Invariant: the policies and the map of live attempts are used only inside {@link #runLocked}
 * and {@link #computeLocked}; actions passed to {@link #runAfterUnlock} run after the lock is
 * released. Thread safety: any thread may call.
 */
@Singleton
final class EndpointCore {

  /** Maximum queued items; at 5 ms per short request this is a wait of about 2.5 s. */
  static final int MAX_QUEUED = 512;

  /** Maximum queued tokens. */
  static final long MAX_QUEUED_TOKENS = 4_000_000;

  /** Maximum number of remembered attempt ids; at about 200 bytes each this is 6 MB. */
  static final int MAX_IDS = 32_768;

  /** How long the id of an ended attempt is remembered. */
  static final Duration ID_RETENTION = Duration.ofSeconds(60);

  private static final Duration AGEING = Duration.ofSeconds(3);
  private static final int SLOTS_BEFORE_SETTINGS = 1;

  final FairQueue<Attempt> queue = new FairQueue<>(MAX_QUEUED, MAX_QUEUED_TOKENS, AGEING);
  final AttemptRegistry<Attempt> registry = new AttemptRegistry<>(MAX_IDS, ID_RETENTION);
  final AdapterResidency residency = new AdapterResidency(SLOTS_BEFORE_SETTINGS);
  final ColdStartRamp ramp = new ColdStartRamp(1, 1, Duration.ofSeconds(60));

  /** Attempts that are queued, running or possibly still running at the endpoint. */
  final Map<String, Attempt> liveAttempts = new LinkedHashMap<>();

  private final String endpoint;
  private final ReentrantLock lock = new ReentrantLock();
  private final Semaphore loadSignal = new Semaphore(0);
  private final Semaphore probeSignal = new Semaphore(0);
  private List<Runnable> deferredActions = new ArrayList<>();
  private Set<String> usableAdapters = Set.of();
  private List<String> usableNames = List.of();
  private long reportSequence;
  private final Deque<Attempt> endedAttempts = new ArrayDeque<>();
  private LongConsumer dispatchQueued = now -> {};
  private BootListener bootListener = (boot, now) -> {};
  private volatile boolean reachable;
  private volatile boolean configured;

  @Inject
  EndpointCore(SidecarSettings settings) {
    this.endpoint = settings.endpoint();
  }

  /** Runs {@code action} with the current time under the lock, then the deferred actions. */
  void runLocked(LongConsumer action) {
    computeLocked(
        now -> {
          action.accept(now);
          return null;
        });
  }

  /** Runs {@code action} under the lock, then the deferred actions, and returns its result. */
  <R> R computeLocked(LongFunction<R> action) {
    List<Runnable> due;
    R result;
    lock.lock();
    try {
      result = action.apply(System.nanoTime());
      // The next holder of the lock must not add to the list that is run here, or its actions would
      // run twice.
      due = deferredActions.isEmpty() ? List.of() : deferredActions;
      deferredActions = deferredActions.isEmpty() ? deferredActions : new ArrayList<>();
    } finally {
      lock.unlock();
    }
    due.forEach(Runnable::run);
    return result;
  }

  /** Runs {@code effect} after the lock is released. Under the lock. */
  void runAfterUnlock(Runnable effect) {
    deferredActions.add(effect);
  }

  /** Applies the settings of the endpoint. */
  void configure(Endpoint settings) {
    runLocked(
        now -> {
          ColdStart coldStart = settings.coldStart();
          ramp.configure(
              settings.maxBatch(),
              coldStart.initialConcurrency(),
              Duration.ofNanos((long) (coldStart.rampSeconds() * 1e9)));
          residency.slots(settings.slots());
          configured = true;
        });
  }

  /** Returns true once the settings of the endpoint are known. */
  boolean configured() {
    return configured;
  }

  /** Sets the listener that is called, under the lock, when a boot ends. */
  void setBootListener(BootListener listener) {
    bootListener = listener;
  }

  /** Records a reply that names the boot of the endpoint. Under the lock. */
  void recordReply(String bootId, long sentAtNanos, long now) {
    String before = ramp.bootId();
    if (ramp.replied(bootId, sentAtNanos)) {
      bootListener.onBootEnded(before, now);
    }
  }

  /** Records a state read. Under the lock. */
  void recordState(EngineClient.EngineState state, long now) {
    String before = ramp.bootId();
    if (ramp.observed(
        state.bootId(), state.uptimeMillis(), state.sentAtNanos(), state.receivedAtNanos())) {
      bootListener.onBootEnded(before, now);
    }
  }

  /** Sets the action that dispatches queued attempts. */
  void setDispatcher(LongConsumer action) {
    dispatchQueued = action;
  }

  /** Dispatches the queued attempts that may run now. Under the lock. */
  void dispatchQueued(long now) {
    dispatchQueued.accept(now);
  }

  /** Marks an attempt as ended for the gateway. Under the lock. */
  void endAttempt(Attempt attempt, long now) {
    attempt.state = Attempt.State.ENDED;
    attempt.endedAtNanos = now;
    registry.ended(attempt.id(), now);
    endedAttempts.addLast(attempt);
    if (!attempt.mayRunAtEndpoint) {
      liveAttempts.remove(attempt.id());
    }
  }

  /** Returns the ended attempts whose output is still held, oldest first. Under the lock. */
  Collection<Attempt> endedAttempts() {
    return endedAttempts;
  }

  /** Drops the output of attempts that ended before {@code beforeNanos}. Under the lock. */
  void releaseEnded(long beforeNanos, Consumer<Attempt> released) {
    while (!endedAttempts.isEmpty() && endedAttempts.peekFirst().endedAtNanos - beforeNanos < 0) {
      Attempt attempt = endedAttempts.pollFirst();
      registry.release(attempt.id());
      released.accept(attempt);
    }
  }

  /**
   * Updates the set of adapters that the queue may dispatch; call after each change of residency.
   * Under the lock.
   */
  void syncReadyAdapters(long nowNanos) {
    Set<String> current = residency.usableAdapters(nowNanos);
    if (current.equals(usableAdapters)) {
      return;
    }
    for (String adapter : usableAdapters) {
      if (!current.contains(adapter)) {
        queue.ready(adapter, false);
      }
    }
    for (String adapter : current) {
      queue.ready(adapter, true);
    }
    usableAdapters = new HashSet<>(current);
    usableNames = List.copyOf(current);
  }

  /** Returns the report for a last frame. Under the lock. */
  EndpointReport reportLocked(long nowNanos) {
    EndpointReport report =
        new EndpointReport(
            endpoint,
            ramp.bootId(),
            ++reportSequence,
            queue.size(),
            ramp.running(),
            ramp.expectedLimit(nowNanos),
            residency.freeSlots(),
            usableNames);
    residency
        .inProgress()
        .filter(command -> command.kind() == AdapterResidency.Kind.LOAD)
        .ifPresent(command -> report.setLoading(List.of(command.adapter())));
    return report.setReady(reachable);
  }

  /** Returns the report for a heartbeat. */
  Optional<EndpointReport> report() {
    return computeLocked(now -> Optional.of(reportLocked(now)));
  }

  /** Sets whether the endpoint is reachable. Returns true when the value changed. */
  boolean reachable(boolean now) {
    boolean changed = reachable != now;
    reachable = now;
    return changed;
  }

  /** Returns true while the endpoint responds to state or health calls. */
  boolean reachable() {
    return reachable;
  }

  /** Wakes the loader. */
  void wakeLoader() {
    if (loadSignal.availablePermits() == 0) {
      loadSignal.release();
    }
  }

  /** Wakes the monitor for an immediate state read. */
  void wakeMonitor() {
    if (probeSignal.availablePermits() == 0) {
      probeSignal.release();
    }
  }

  /** Waits until {@link #wakeLoader} is called or {@code timeout} has elapsed. */
  void awaitLoadWork(Duration timeout) throws InterruptedException {
    await(loadSignal, timeout);
  }

  /** Waits until {@link #wakeMonitor} is called or {@code timeout} has elapsed. */
  void awaitProbe(Duration timeout) throws InterruptedException {
    await(probeSignal, timeout);
  }

  /** Called under the lock when a boot of the endpoint has ended. */
  interface BootListener {

    /** Handles the end of {@code bootId}; the ramp already has the next boot. */
    void onBootEnded(String bootId, long now);
  }

  private static void await(Semaphore signal, Duration timeout) throws InterruptedException {
    if (signal.tryAcquire(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
      signal.drainPermits();
    }
  }
}
