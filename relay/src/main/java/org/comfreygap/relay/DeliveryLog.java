package org.comfreygap.relay;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import org.comfreygap.runtime.Field;

/**
 * Names what a caller's connection ends without: the rest of a response that was complete here, and
 * requests that were read whole and got none.
 *
 * <p>Invariants: a response is delivered once its last part was written to the socket; every
 * request that is dropped after its last part arrived is recorded by its id. Thread safety: used on
 * the event loop only.
 */
final class DeliveryLog {

  /**
   * Time for a caller to read the end of a response. What its socket takes in is not seen here
   * while the buffers of the kernel are full.
   */
  static final Duration LIMIT = Duration.ofSeconds(20);

  /** Time in which a caller that has its response writes the next request. */
  private static final Duration SETTLING_TIME = Duration.ofMillis(200);

  private final RelayContext relay;
  private Optional<Delivery> latest = Optional.empty();
  private Optional<HttpRequest> dropped = Optional.empty();

  DeliveryLog(RelayContext relay) {
    this.relay = relay;
  }

  /** A response whose last part was handed to the connection. */
  private record Delivery(String requestId, ChannelFuture written, long sinceNanos) {}

  /** Records that the last part of a response is being written. */
  void completed(String requestId, ChannelFuture written, long nowNanos) {
    latest = Optional.of(new Delivery(requestId, written, nowNanos));
  }

  /** Returns true while the last part of a response is not written. */
  boolean isPending() {
    return latest.filter(one -> !one.written().isDone()).isPresent();
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
    return isPending() && nowNanos - latest.get().sinceNanos() >= LIMIT.toNanos();
  }

  /** Releases a part of a request that gets no response. */
  void drop(HttpObject part, String reason) {
    if (part instanceof HttpRequest head) {
      dropped = Optional.of(head);
    }
    if (part instanceof LastHttpContent) {
      dropped.ifPresent(head -> recordDropped(head, reason));
      dropped = Optional.empty();
    }
    ReferenceCountUtil.release(part);
  }

  /**
   * Records that the connection has ended.
   *
   * @param reason why it was closed
   */
  void ended(String reason) {
    latest
        .filter(one -> !one.written().isSuccess())
        .ifPresent(
            one -> {
              relay.metrics().count("deliveries", "cut");
              relay
                  .events()
                  .record(
                      RelayEvent.RESPONSE_NOT_DELIVERED,
                      Field.of("request", one.requestId()),
                      Field.of("reason", reason));
            });
    latest = Optional.empty();
  }

  private boolean isWithin(Duration span, long nowNanos) {
    return latest.filter(one -> nowNanos - one.sinceNanos() < span.toNanos()).isPresent();
  }

  private void recordDropped(HttpRequest head, String reason) {
    relay.metrics().count("deliveries", "unanswered");
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
    } catch (MalformedRequestException e) {
      return "unknown: " + e.getMessage();
    }
  }
}
