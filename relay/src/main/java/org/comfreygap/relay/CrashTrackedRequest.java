package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * A request with the data by which the crash detector tracks it.
 *
 * <p>Invariant: the fingerprint is computed once, on first use, which must be before the body is
 * released. Thread safety: used on the event loop only.
 */
final class CrashTrackedRequest {

  private final CrashDetector crashes;
  private final HttpRequest head;
  private final ByteBuf body;
  private final Supplier<String> customer;
  private Optional<String> fingerprint = Optional.empty();

  /**
   * Creates the tracking of a request.
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

  /** Returns a hash that is the same for equal requests of one customer. */
  String fingerprint() {
    if (fingerprint.isEmpty()) {
      fingerprint = Optional.of(CrashDetector.fingerprint(customer.get(), head, body));
    }
    return fingerprint.get();
  }

  /** Returns the time left of the request's quarantine, or empty when it is not quarantined. */
  Optional<Duration> quarantineLeft(long nowNanos) {
    return crashes.quarantineLeft(this::fingerprint, nowNanos);
  }

  /** Records that the request was interrupted after it was sent. */
  void interrupted(Endpoint endpoint) {
    crashes.requestInterrupted(endpoint, fingerprint());
  }

  /** Records that the gateway cancelled the attempt at an endpoint. */
  void dropped(Endpoint endpoint) {
    crashes.requestDropped(endpoint, fingerprint());
  }

  /** Records that the request is abandoned; an inactive endpoint may have crashed because of it. */
  void abandoned(Optional<Attempt> attempt) {
    attempt
        .filter(open -> open.inProgress() && open.sent())
        .ifPresent(open -> crashes.requestAbandoned(open.endpoint(), fingerprint()));
  }

  /** Records that the request succeeded. */
  void served() {
    crashes.requestServed(fingerprint());
  }
}
