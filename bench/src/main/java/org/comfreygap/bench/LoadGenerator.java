package org.comfreygap.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.comfreygap.bench.CallResult.Verdict;

/**
 * Sends a load plan to one or more systems at once, open-loop: each request leaves at its planned
 * time, whether or not earlier requests have completed.
 *
 * <p>Thread safety: one thread calls {@link #run}; {@link Target} methods may be called from any
 * thread.
 *
 * @since 0.1
 */
final class LoadGenerator implements AutoCloseable {

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(null, task, "caller", 256 * 1_024);
            thread.setDaemon(true);
            return thread;
          });

  /** Sends the plan from {@code startMicros} on and returns when the last request is sent. */
  void run(List<PlannedRequest> plan, long startMicros, List<Target> targets)
      throws InterruptedException {
    for (PlannedRequest planned : plan) {
      long wait = startMicros + planned.atMicros() - Clock.micros();
      if (wait > 0) {
        TimeUnit.MICROSECONDS.sleep(wait);
      }
      for (Target target : targets) {
        target.open.incrementAndGet();
        threads.execute(() -> target.send(planned));
      }
    }
  }

  /** Waits until no request is open or the timeout has elapsed. */
  void drain(List<Target> targets, long timeoutMillis) throws InterruptedException {
    long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
    while (targets.stream().anyMatch(target -> target.open.get() > 0)
        && System.nanoTime() < deadline) {
      Thread.sleep(20);
    }
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }

  /** A system under load, with the results of its requests. */
  static final class Target {

    private final Caller caller;
    private final Gateways gateways;
    private final Keys keys;
    private final AtomicInteger open = new AtomicInteger();
    private final ConcurrentLinkedQueue<CallResult> results = new ConcurrentLinkedQueue<>();
    private final Map<Long, CallResult> pendingResults = new ConcurrentHashMap<>();
    private final AtomicLong sendCount = new AtomicLong();

    Target(Caller caller, Gateways gateways, Keys keys) {
      this.caller = caller;
      this.gateways = gateways;
      this.keys = keys;
    }

    int open() {
      return open.get();
    }

    /** Returns the results of requests sent since a time; open requests count as timed out. */
    List<CallResult> resultsSince(long micros) {
      List<CallResult> all = new ArrayList<>(results);
      all.addAll(pendingResults.values());
      all.removeIf(result -> result.sentMicros() < micros);
      return all;
    }

    /** Sends a request that is not part of the plan and discards its result. */
    void sendUnrecorded(PlannedRequest planned) {
      Thread thread =
          new Thread(
              () -> caller.send(planned, gateways.urls(), gateways.next(), keys.keyFor(planned)));
      thread.setDaemon(true);
      thread.start();
    }

    private void send(PlannedRequest planned) {
      int gateway = gateways.next();
      long number = sendCount.incrementAndGet();
      long now = Clock.micros();
      pendingResults.put(
          number,
          new CallResult(planned, gateway, now, 0, now, 0, "", Verdict.TIMED_OUT, "still open"));
      try {
        results.add(caller.send(planned, gateways.urls(), gateway, keys.keyFor(planned)));
      } finally {
        pendingResults.remove(number);
        open.decrementAndGet();
      }
    }
  }

  /** Chooses the gateway of each request, as the platform's load balancer does. */
  interface Gateways {

    List<String> urls();

    int next();
  }

  /** Returns the key of each request. */
  interface Keys {

    String keyFor(PlannedRequest planned);
  }
}
