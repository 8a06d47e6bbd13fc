package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.OptionalLong;
import org.comfreygap.decisions.ResponseEnd;

/**
 * Forwards an endpoint's response to the caller.
 *
 * <p>Events of a stream are forwarded as they arrive, each one whole. Other responses are buffered
 * until complete, so that an interrupted one can be replaced, unless they exceed {@link
 * #MAX_BUFFERED_BYTES}.
 *
 * <p>Invariants: the caller receives one response head and the body in order, and nothing more of
 * an attempt that was dropped. Thread safety: used on the event loop only.
 */
final class ResponseForwarder {

  /**
   * Bytes that a stream may bring without an event: enough for the largest event in small chunks.
   * Empty lines, comments and the framing of chunks count.
   */
  static final long MAX_BYTES_WITHOUT_EVENT = 2L * EventSplitter.MAX_EVENT_BYTES;

  /** Responses up to this size are buffered and sent whole. */
  static final int MAX_BUFFERED_BYTES = 256 * 1024;

  private final Caller caller;
  private final boolean streamed;
  private final Runnable onStart;
  private final EventSplitter events;
  private final HeldBuffer buffered;
  private Optional<HttpResponse> head = Optional.empty();
  private boolean started;
  private int eventsOfEarlierAttempts;
  private long receivedAtLastEvent;
  private Optional<HeldBuffer.Excess> withoutEvent = Optional.empty();

  /**
   * Creates the forwarder of one request's response.
   *
   * @param streamed true when successful responses are event streams
   * @param held bytes that unfinished responses hold together
   * @param onStart callback run when the first part is sent to the caller
   */
  ResponseForwarder(Caller caller, boolean streamed, HeldBytes held, Runnable onStart) {
    this.caller = caller;
    this.streamed = streamed;
    this.onStart = onStart;
    this.events = new EventSplitter(held);
    this.buffered = new HeldBuffer(MAX_BUFFERED_BYTES, held);
  }

  /** Returns true when successful responses are read as event streams. */
  boolean isStreamed() {
    return streamed;
  }

  /** Returns true when a part of the response was sent to the caller. */
  boolean started() {
    return started;
  }

  /** Returns the head of the response in progress. */
  Optional<HttpResponse> head() {
    return head;
  }

  /** Returns what marks the end of the response in progress. */
  Optional<ResponseEnd.Framing> framing() {
    return head.map(ResponseFraming::of);
  }

  /** Returns the id of the last event sent to the caller. */
  Optional<String> lastEventId() {
    return events.lastId();
  }

  /** Returns true when another attempt can resume after the last event sent. */
  boolean resumable() {
    return streamed && events.lastId().isPresent();
  }

  /** Returns true when the response in progress has brought a complete event. */
  boolean eventReceived() {
    return events.completeEvents() > eventsOfEarlierAttempts;
  }

  /** Returns how the response in progress ended, given what is known of its endpoint now. */
  ResponseEnd end(ResponseEnd.Endpoint endpoint) {
    Optional<ResponseEnd.Stream> stream =
        isStream()
            ? Optional.of(new ResponseEnd.Stream(eventReceived(), events.isInsideEvent()))
            : Optional.empty();
    return ResponseEnd.of(framing().orElseThrow(), stream, endpoint);
  }

  /** Starts a response, or resumes one after the last event sent. */
  void beginResponse(HttpResponse response) {
    head = Optional.of(response);
    receivedAtLastEvent = 0;
  }

  /**
   * Forwards or keeps a part of the body.
   *
   * @param receivedBytes bytes that the response has brought up to and with this part
   */
  void appendBody(ByteBuf bytes, long receivedBytes) {
    if (isStream()) {
      int eventsBefore = events.completeEvents();
      forwardEvents(events.add(bytes));
      checkProgress(events.completeEvents() > eventsBefore, receivedBytes);
      return;
    }
    if (started) {
      caller.sendPart(bytes);
      return;
    }
    buffered.append(bytes);
    if (buffered.size() > MAX_BUFFERED_BYTES || (buffered.excess().isPresent() && isSuccess())) {
      start();
      caller.sendPart(buffered.takeAll());
    }
  }

  /** Returns why the response in progress must end: what it holds exceeds a limit. */
  Optional<HeldBuffer.Excess> excess() {
    return events.excess().or(buffered::excess).or(() -> withoutEvent);
  }

  /** Completes the response. */
  void complete() {
    if (started || isStream()) {
      forwardEvents(events.remainder());
      start();
      caller.endResponse();
      return;
    }
    ByteBuf whole = buffered.takeAll();
    HttpResponse response = head.orElseThrow();
    onStart.run();
    caller.sendResponse(response.status(), headers(response), whole);
  }

  /** Discards the received parts of a response that were not sent to the caller. */
  void discardUnsent() {
    head = Optional.empty();
    eventsOfEarlierAttempts = events.completeEvents();
    withoutEvent = Optional.empty();
    buffered.takeAll().release();
    events.dropRemainder();
  }

  private void checkProgress(boolean eventReceived, long receivedBytes) {
    if (eventReceived) {
      receivedAtLastEvent = receivedBytes;
    } else if (receivedBytes - receivedAtLastEvent > MAX_BYTES_WITHOUT_EVENT) {
      withoutEvent =
          Optional.of(
              new HeldBuffer.Excess(
                  "given more than " + MAX_BYTES_WITHOUT_EVENT + " bytes without an event", true));
    }
  }

  private void forwardEvents(ByteBuf bytes) {
    if (!bytes.isReadable()) {
      bytes.release();
      return;
    }
    start();
    caller.sendPart(bytes);
  }

  private void start() {
    if (started) {
      return;
    }
    started = true;
    onStart.run();
    HttpResponse response = head.orElseThrow();
    long length = HttpUtil.getContentLength(response, -1L);
    // A stream that may resume at another endpoint has no known length.
    boolean lengthKnown = length >= 0 && !isStream();
    caller.beginResponse(
        response.status(),
        headers(response),
        lengthKnown ? OptionalLong.of(length) : OptionalLong.empty());
  }

  private boolean isStream() {
    return streamed && (started || isSuccess());
  }

  private boolean isSuccess() {
    return head.filter(r -> r.status().codeClass() == HttpStatusClass.SUCCESS).isPresent();
  }

  private static HttpHeaders headers(HttpResponse response) {
    HttpHeaders headers = new DefaultHttpHeaders(false);
    headers.set(response.headers());
    ConnectionHeaders.remove(headers);
    return headers;
  }
}
