package org.comfreygap.relay;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import org.comfreygap.runtime.Field;

/**
 * Names what a caller's connection ends without: the rest of a response that was complete here, and
 * requests that were read whole and got none.
 *
 * <p>Invariants: a response is delivered once its last part was written to the socket; each
 * response that is not, and each request that is dropped after its last part arrived, is recorded
 * by its id, of dropped requests at most {@link #MAX_NAMED} for a connection. Thread safety: used
 * on the event loop only.
 */
final class DeliveryLog {

  /**
   * Time for a caller to read the end of a response. What its socket takes in is not seen here
   * while the buffers of the kernel are full.
   */
  static final Duration LIMIT = Duration.ofSeconds(20);

  /** Time in which a caller that has its response writes the next request. */
  private static final Duration SETTLING_TIME = Duration.ofMillis(200);

  /** Dropped requests of one connection that are named; all of them are counted. */
  private static final int MAX_NAMED = 64;

  private final RelayContext relay;
  private final Deque<Delivery> unwritten = new ArrayDeque<>();
  private Optional<HttpRequest> incomplete = Optional.empty();
  private OptionalLong latestNanos = OptionalLong.empty();
  private int named;

  DeliveryLog(RelayContext relay) {
    this.relay = relay;
  }

  /** A response whose last part was handed to the connection. */
  private record Delivery(String requestId, ChannelFuture written, long sinceNanos) {}

  /** Records that the last part of a response is being written. */
  void completed(String requestId, ChannelFuture written, long nowNanos) {
    latestNanos = OptionalLong.of(nowNanos);
    removeWritten();
    unwritten.addLast(new Delivery(requestId, written, nowNanos));
  }

  /** Returns true while the last part of a response is not written. */
  boolean isPending() {
    return unwritten.stream().anyMatch(one -> !one.written().isDone());
  }

  /** Returns true when no response was handed to the connection just now. */
  boolean isSettled(long nowNanos) {
    return !isPending() && !isWithin(SETTLING_TIME, nowNanos);
  }

  /** Returns true when a slow caller may still be reading the last response. */
  boolean isRecent(long nowNanos) {
    return isWithin(LingeringClose.LIMIT, nowNanos);
  }

  /** Returns true when {@link #LIMIT} has passed since a response that is not written. */
  boolean isOverdue(long nowNanos) {
    removeWritten();
    return !unwritten.isEmpty() && nowNanos - unwritten.peekFirst().sinceNanos() >= LIMIT.toNanos();
  }

  /** Records that a part of a request waits; parts that follow it may be dropped. */
  void queued(HttpObject part) {
    if (part instanceof HttpRequest head) {
      incomplete = Optional.of(head);
    }
    if (part instanceof LastHttpContent) {
      incomplete = Optional.empty();
    }
  }

  /** Releases a part of a request that gets no response. */
  void drop(HttpObject part, String reason) {
    if (part instanceof HttpRequest head) {
      incomplete = Optional.of(head);
    }
    if (part instanceof LastHttpContent) {
      incomplete.ifPresent(head -> recordDropped(head, reason));
      incomplete = Optional.empty();
    }
    ReferenceCountUtil.release(part);
  }

  /**
   * Records that the connection has ended.
   *
   * @param reason why it was closed
   */
  void ended(String reason) {
    removeWritten();
    unwritten.forEach(one -> recordCut(one, reason));
    unwritten.clear();
  }

  private void removeWritten() {
    unwritten.removeIf(one -> one.written().isSuccess());
  }

  private boolean isWithin(Duration span, long nowNanos) {
    return latestNanos.isPresent() && nowNanos - latestNanos.getAsLong() < span.toNanos();
  }

  private void recordCut(Delivery cut, String reason) {
    relay.metrics().count("deliveries", "cut");
    relay
        .events()
        .record(
            RelayEvent.RESPONSE_NOT_DELIVERED,
            Field.of("request", cut.requestId()),
            Field.of("reason", reason));
  }

  private void recordDropped(HttpRequest head, String reason) {
    relay.metrics().count("deliveries", "unanswered");
    named++;
    if (named > MAX_NAMED) {
      return;
    }
    relay
        .events()
        .record(
            RelayEvent.REQUEST_NOT_ANSWERED,
            Field.of("request", idOf(head)),
            Field.of("reason", reason));
  }

  private String idOf(HttpRequest head) {
    try {
      return relay.dialect().readRequest(head).id();
    } catch (MalformedRequestException | IllegalArgumentException e) {
      return "unknown: " + e.getMessage();
    }
  }
}
