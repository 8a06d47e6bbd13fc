package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * One request as the watch for crashes sees it.
 *
 * <p>Invariant: the fingerprint is made when it is first needed, and stays; it has to be asked for
 * before the body is released. Thread safety: used on the event loop only.
 */
final class CrashTrackedRequest {

  private final CrashDetector crashes;
  private final HttpRequest head;
  private final ByteBuf body;
  private final Supplier<String> customer;
  private Optional<String> fingerprint = Optional.empty();

  /**
   * Creates the view of a request.
   *
   * @param customer id of the customer, empty text on a public route; known once a route was chosen
   */
  CrashTrackedRequest(
      CrashDetector crashes, HttpRequest head, ByteBuf body, Supplier<String> customer) {
    this.crashes = crashes;
    this.head = head;
    this.body = body;
    this.customer = customer;
  }

  /** Returns what equal requests of one customer have in common. */
  String fingerprint() {
    if (fingerprint.isEmpty()) {
      fingerprint = Optional.of(CrashDetector.fingerprint(customer.get(), head, body));
    }
    return fingerprint.get();
  }

  /** Returns how long equal requests stay quarantined; empty when they are not. */
  Optional<Duration> quarantineLeft(long nowNanos) {
    return crashes.quarantineLeft(this::fingerprint, nowNanos);
  }

  /** The request was sent and broke off. */
  void interrupted(Endpoint endpoint) {
    crashes.requestInterrupted(endpoint, fingerprint());
  }

  /** The gateway dropped the request at its endpoint. */
  void dropped(Endpoint endpoint) {
    crashes.requestDropped(endpoint, fingerprint());
  }

  /** The request is given up; an endpoint that is silent may have crashed by it. */
  void abandoned(Optional<Attempt> attempt) {
    attempt
        .filter(open -> open.inProgress() && open.sent())
        .ifPresent(open -> crashes.requestAbandoned(open.endpoint(), fingerprint()));
  }

  /** The request was answered well. */
  void served() {
    crashes.served(fingerprint());
  }
}
