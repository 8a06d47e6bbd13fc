package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.settings.RequestKind;

/**
 * Receives the response to the second attempt of a request and holds it until it is useful: a head
 * that is no failure, and of a stream its first event. From then on it hands everything on.
 *
 * <p>Invariants: the request gets nothing of this attempt before it goes on with it, and then every
 * byte in order; nothing is held after that or after {@link #drop}. Thread safety: used on the
 * event loop only.
 */
final class SecondAttempt implements Attempt.Owner {

  private final HedgedAttempts.Request request;
  private final Listener listener;
  private final Attempt attempt;
  private final boolean streamed;
  private final EventSplitter events;
  private final HeldBuffer held;
  private Optional<HttpResponse> head = Optional.empty();
  private Optional<ResponseHead> stated = Optional.empty();
  private boolean handedOver;

  /**
   * Creates a second attempt that is not started.
   *
   * @param first the attempt that it is begun beside
   */
  SecondAttempt(
      RelayContext relay,
      HedgedAttempts.Request request,
      Listener listener,
      HedgedAttempts.First first,
      Endpoint endpoint,
      long nowNanos) {
    this.request = request;
    this.listener = listener;
    this.attempt = first.attempt().beside(endpoint, this, nowNanos);
    this.streamed = first.kind() == RequestKind.STREAM;
    this.events = new EventSplitter(relay.heldBytes());
    this.held = new HeldBuffer(EventSplitter.MAX_EVENT_BYTES, relay.heldBytes());
  }

  /** Is notified of what happens to a second attempt before it is handed over. */
  interface Listener {

    /** Returns the request to send, or empty when the second attempt must not be sent. */
    Optional<FullHttpRequest> buildSecond(Endpoint endpoint, long nowNanos);

    /** Called when the response is useful. */
    void secondUseful();

    /**
     * Called when the attempt has failed or its response must not be used.
     *
     * @param dropped true when it was given up here, false when it ended by itself
     */
    void secondFailed(Attempt.Failure failure, boolean dropped);
  }

  Attempt attempt() {
    return attempt;
  }

  /** Hands on what was received and all that follows. */
  void handOver() {
    handedOver = true;
    events.dropRemainder();
    if (head.isPresent()) {
      request.onHead(head.get(), stated.orElseThrow());
    }
    if (held.size() > 0) {
      request.onContent(held.takeAll());
    }
  }

  /** Cancels the attempt, whose response is not used. */
  void drop() {
    attempt.cancel();
    events.dropRemainder();
    held.takeAll().release();
  }

  @Override
  public Optional<FullHttpRequest> buildRequest(Endpoint endpoint, long nowNanos) {
    return listener.buildSecond(endpoint, nowNanos);
  }

  @Override
  public boolean readCaller() {
    return request.readCaller();
  }

  @Override
  public RequestGuard guard() {
    return request.guard();
  }

  @Override
  public Optional<AdapterSlots.Name> adapter() {
    return request.adapter();
  }

  @Override
  public String requestId() {
    return request.requestId();
  }

  @Override
  public void onHead(HttpResponse response, ResponseHead metadata) {
    if (handedOver) {
      request.onHead(response, metadata);
      return;
    }
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (success && !metadata.signed()) {
      fail("a successful response without the endpoint's proof");
    } else if (!isUseful(response)) {
      attempt.cancel();
      String reason = "status " + response.status();
      listener.secondFailed(new Attempt.Failure(Outcome.RAN, reason, Optional.empty()), true);
    } else {
      head = Optional.of(response);
      stated = Optional.of(metadata);
      if (!success || !streamed) {
        listener.secondUseful();
      }
    }
  }

  @Override
  public void onContent(ByteBuf bytes) {
    if (handedOver) {
      request.onContent(bytes);
      return;
    }
    if (head.isEmpty()) {
      bytes.release();
      return;
    }
    events.add(bytes.retainedDuplicate()).release();
    held.append(bytes);
    Optional<HeldBuffer.Excess> excess = events.excess().or(held::excess);
    if (events.completeEvents() > 0) {
      listener.secondUseful();
    } else if (excess.isPresent()) {
      listener.secondFailed(attempt.abandon(excess.get()), true);
    }
  }

  @Override
  public void onComplete() {
    if (handedOver) {
      request.onComplete();
    } else if (head.isPresent()) {
      fail("a stream without an event");
    }
  }

  @Override
  public void onFailure(Attempt ended, Attempt.Failure failure) {
    if (handedOver) {
      request.onFailure(ended, failure);
    } else {
      listener.secondFailed(failure, false);
    }
  }

  /** Returns true when a response with this head may be sent to the caller. */
  static boolean isUseful(HttpResponse response) {
    return response.status().codeClass() != HttpStatusClass.SERVER_ERROR
        && !Refusal.promisesNotRun(response.status().code());
  }

  private void fail(String reason) {
    listener.secondFailed(attempt.abandon(reason), true);
  }
}
