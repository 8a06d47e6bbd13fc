package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.comfreygap.decisions.PartQuarantine;
import org.comfreygap.decisions.SuspectRequest;
import org.comfreygap.runtime.ClockReading;
import org.comfreygap.settings.RequestKind;

/**
 * A request with the data by which the crash detector tracks it and its runs are counted.
 *
 * <p>The customer is that of the newest decision, which does not change while an attempt is in
 * progress: a crash and a run count for the customer for which the request was sent.
 *
 * <p>Invariant: the fingerprint is computed once for a customer, on first use, which must be before
 * the body is released. Thread safety: used on the event loop only.
 */
final class CrashTrackedRequest {

  private final CrashDetector crashes;
  private final UsageCounter usage;
  private final HttpRequest head;
  private final ByteBuf body;
  private final List<String> parts;
  private final Supplier<String> customer;
  private Optional<String> fingerprint = Optional.empty();

  /**
   * Creates the tracking of a request.
   *
   * @param parts ids of the parts of its prompt that other requests may have too
   * @param customer id of the customer, empty text on a public route; known once a route was chosen
   */
  CrashTrackedRequest(
      CrashDetector crashes,
      UsageCounter usage,
      HttpRequest head,
      ByteBuf body,
      List<String> parts,
      Supplier<String> customer) {
    this.crashes = crashes;
    this.usage = usage;
    this.head = head;
    this.body = body;
    this.parts = parts;
    this.customer = customer;
  }

  /** Records that the request is one of another customer from here on. */
  void customerChanged() {
    fingerprint = Optional.empty();
  }

  /** Returns a hash that is the same for equal requests of one customer. */
  String fingerprint() {
    if (fingerprint.isEmpty()) {
      fingerprint = Optional.of(CrashDetector.fingerprint(customer.get(), head, body));
    }
    return fingerprint.get();
  }

  /** Returns the ban of parts that the request's prompt holds, if there is one. */
  Optional<PartQuarantine.Ban> partBan(long nowNanos) {
    return crashes.partBan(parts, nowNanos);
  }

  /** Returns the refusal of the request while it is quarantined, or a part of its prompt banned. */
  Optional<Refusal> refusal(long nowNanos) {
    Optional<PartQuarantine.Ban> ban = partBan(nowNanos);
    if (ban.isPresent()) {
      return Optional.of(Refusal.partBanned(Duration.ofNanos(ban.get().untilNanos() - nowNanos)));
    }
    return crashes.quarantineLeft(this::fingerprint, nowNanos).map(Refusal::quarantined);
  }

  /**
   * Returns true when the request, or one equal to it, may have crashed one of the endpoints, or a
   * part of its prompt is suspected of that.
   */
  boolean isSuspect(Collection<Endpoint> endpoints, long nowNanos) {
    return crashes.isSuspect(suspect(), endpoints, nowNanos);
  }

  /** Records that the first event of an attempt's response was received. */
  void began() {
    crashes.responseBegan(parts);
    usage.began(customer.get(), ClockReading.now());
  }

  /**
   * Records that the head of the response to an attempt that ran was received; a stream begins with
   * its first event. A failure of the endpoint's own is a run too.
   */
  void headReceived(RequestKind kind) {
    if (kind != RequestKind.STREAM) {
      usage.began(customer.get(), ClockReading.now());
    }
  }

  /**
   * Records that the request was interrupted after it was sent.
   *
   * @param begun true when a complete event of this attempt's response was received
   */
  void interrupted(Endpoint endpoint, boolean begun) {
    crashes.requestInterrupted(endpoint, suspect(), begun);
  }

  /** Records that the gateway cancelled the attempt at an endpoint. */
  void dropped(Endpoint endpoint, boolean begun) {
    crashes.requestDropped(endpoint, suspect(), begun);
  }

  /** Records that the request is abandoned; an inactive endpoint may have crashed because of it. */
  void abandoned(Optional<Attempt> attempt, boolean begun) {
    attempt
        .filter(open -> open.inProgress() && open.sent())
        .ifPresent(open -> crashes.requestAbandoned(open.endpoint(), suspect(), begun));
  }

  /** Records that the request succeeded. */
  void served() {
    crashes.requestServed(fingerprint());
  }

  private SuspectRequest suspect() {
    return new SuspectRequest(fingerprint(), parts);
  }
}
