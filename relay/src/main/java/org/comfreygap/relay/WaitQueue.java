package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.comfreygap.runtime.EventLog;

/**
 * Requests for which no endpoint has capacity, most urgent first, then in the order of arrival.
 *
 * <p>Invariant: the placement of a waiting request is retried soon after a change, and at least
 * every {@link #RETRY_PERIOD}. Thread safety: used on the event loop only.
 */
final class WaitQueue {

  /** Below the time that a caller notices; capacity becomes free without notice to this gateway. */
  static final Duration RETRY_PERIOD = Duration.ofMillis(20);

  /**
   * Minimum time between two retries. Every status of a sidecar is a change; with 40 endpoints
   * there are some hundred a second, and a retry compares all endpoints for each waiting request.
   */
  static final Duration MIN_RETRY_SPACING = Duration.ofMillis(8);

  private final EventLoop loop;
  private final EventLog events;
  private final List<Waiting> waiting = new ArrayList<>();
  private boolean periodicScheduled;
  private boolean retryScheduled;
  private long lastRetryNanos;

  WaitQueue(EventLoop loop, EventLog events) {
    this.loop = loop;
    this.events = events;
    this.lastRetryNanos = System.nanoTime() - MIN_RETRY_SPACING.toNanos();
  }

  private record Waiting(Exchange exchange, String pool) {}

  /** Adds a request that waits for an endpoint of {@code pool}. */
  void add(Exchange exchange, String pool) {
    int at = waiting.size();
    while (at > 0 && waiting.get(at - 1).exchange().rank() > exchange.rank()) {
      at--;
    }
    waiting.add(at, new Waiting(exchange, pool));
    schedulePeriodicRetry();
  }

  void remove(Exchange exchange) {
    waiting.removeIf(one -> one.exchange() == exchange);
  }

  int size() {
    return waiting.size();
  }

  /** Returns the number of requests that wait for an endpoint of {@code pool}. */
  int size(String pool) {
    return (int) waiting.stream().filter(one -> one.pool().equals(pool)).count();
  }

  /** Retries the placement of waiting requests, now or very soon, as capacity may be free. */
  void retryPlacement() {
    if (waiting.isEmpty() || retryScheduled) {
      return;
    }
    long left = MIN_RETRY_SPACING.toNanos() - (System.nanoTime() - lastRetryNanos);
    if (left <= 0) {
      retryNow();
      return;
    }
    retryScheduled = true;
    LoopTasks.schedule(loop, events, "wait-queue", Duration.ofNanos(left), this::runScheduledRetry);
  }

  private void runScheduledRetry() {
    retryScheduled = false;
    retryNow();
  }

  private void retryNow() {
    lastRetryNanos = System.nanoTime();
    List<Waiting> all = new ArrayList<>(waiting);
    waiting.clear();
    all.forEach(one -> LoopTasks.run(events, "placement", one.exchange()::place));
  }

  private void schedulePeriodicRetry() {
    if (!periodicScheduled) {
      periodicScheduled = true;
      LoopTasks.schedule(loop, events, "wait-queue", RETRY_PERIOD, this::runPeriodicRetry);
    }
  }

  private void runPeriodicRetry() {
    periodicScheduled = false;
    retryNow();
    if (!waiting.isEmpty()) {
      schedulePeriodicRetry();
    }
  }
}
