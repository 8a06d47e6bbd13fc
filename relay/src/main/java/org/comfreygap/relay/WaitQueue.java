package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
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
  private final List<Exchange> waiting = new ArrayList<>();
  private boolean periodicScheduled;
  private boolean retryScheduled;
  private long lastRetryNanos;

  WaitQueue(EventLoop loop, EventLog events) {
    this.loop = loop;
    this.events = events;
    this.lastRetryNanos = System.nanoTime() - MIN_RETRY_SPACING.toNanos();
  }

  void add(Exchange exchange) {
    int at = waiting.size();
    while (at > 0 && waiting.get(at - 1).rank() > exchange.rank()) {
      at--;
    }
    waiting.add(at, exchange);
    schedulePeriodicRetry();
  }

  void remove(Exchange exchange) {
    waiting.remove(exchange);
  }

  int size() {
    return waiting.size();
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
    loop.schedule(this::runScheduledRetry, left, TimeUnit.NANOSECONDS);
  }

  private void runScheduledRetry() {
    retryScheduled = false;
    retryNow();
  }

  private void retryNow() {
    lastRetryNanos = System.nanoTime();
    List<Exchange> all = new ArrayList<>(waiting);
    waiting.clear();
    all.forEach(exchange -> LoopTasks.run(events, "placement", exchange::place));
  }

  private void schedulePeriodicRetry() {
    if (!periodicScheduled) {
      periodicScheduled = true;
      loop.schedule(this::runPeriodicRetry, RETRY_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
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
