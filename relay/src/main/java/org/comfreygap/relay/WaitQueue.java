package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Requests for which no endpoint has room, most urgent first, then in the order of arrival.
 *
 * <p>Invariant: a request that waits is offered a place again soon after something changed, and at
 * least each {@link #RETRY_PERIOD}. Thread safety: used on the event loop only.
 */
final class WaitQueue {

  /** Below the time that a caller notices; places become free without a word to this gateway. */
  static final Duration RETRY_PERIOD = Duration.ofMillis(20);

  /**
   * Least time between two offers. Every status of a sidecar is a change; with 40 endpoints there
   * are some hundred a second, and an offer compares all endpoints for each request that waits.
   */
  static final Duration MIN_RETRY_SPACING = Duration.ofMillis(8);

  private final EventLoop loop;
  private final List<Exchange> waiting = new ArrayList<>();
  private boolean periodicScheduled;
  private boolean retryScheduled;
  private long lastRetryNanos;

  WaitQueue(EventLoop loop) {
    this.loop = loop;
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

  /** Offers places to those who wait, now or very soon, as something may have become free. */
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
    all.forEach(Exchange::place);
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
