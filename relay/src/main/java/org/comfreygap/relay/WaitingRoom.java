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
 * least each {@link #PERIOD}. Thread safety: used on the event loop only.
 */
final class WaitingRoom {

  /** Below the time that a caller notices; places become free without a word to this gateway. */
  static final Duration PERIOD = Duration.ofMillis(20);

  /**
   * Least time between two offers. Every status of a sidecar is a change; with 40 endpoints there
   * are some hundred a second, and an offer compares all endpoints for each request that waits.
   */
  static final Duration LEAST_SPACING = Duration.ofMillis(8);

  private final EventLoop loop;
  private final List<Exchange> waiting = new ArrayList<>();
  private boolean scheduled;
  private boolean offerScheduled;
  private long offeredNanos;

  WaitingRoom(EventLoop loop) {
    this.loop = loop;
    this.offeredNanos = System.nanoTime() - LEAST_SPACING.toNanos();
  }

  void add(Exchange exchange) {
    int at = waiting.size();
    while (at > 0 && waiting.get(at - 1).rank() > exchange.rank()) {
      at--;
    }
    waiting.add(at, exchange);
    schedule();
  }

  void remove(Exchange exchange) {
    waiting.remove(exchange);
  }

  int size() {
    return waiting.size();
  }

  /** Offers places to those who wait, now or very soon, as something may have become free. */
  void offer() {
    if (waiting.isEmpty() || offerScheduled) {
      return;
    }
    long left = LEAST_SPACING.toNanos() - (System.nanoTime() - offeredNanos);
    if (left <= 0) {
      offerNow();
      return;
    }
    offerScheduled = true;
    loop.schedule(this::offerLater, left, TimeUnit.NANOSECONDS);
  }

  private void offerLater() {
    offerScheduled = false;
    offerNow();
  }

  private void offerNow() {
    offeredNanos = System.nanoTime();
    List<Exchange> all = new ArrayList<>(waiting);
    waiting.clear();
    all.forEach(Exchange::place);
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::periodic, PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void periodic() {
    scheduled = false;
    offerNow();
    if (!waiting.isEmpty()) {
      schedule();
    }
  }
}
