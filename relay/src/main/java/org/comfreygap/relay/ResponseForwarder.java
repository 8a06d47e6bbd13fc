package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Passes the answer of an endpoint on to the caller.
 *
 * <p>Events of a stream are passed on as they come, each whole; other answers are held until they
 * are complete, so that one that breaks off can be replaced, unless they are large.
 *
 * <p>Invariants: the caller gets the head of one answer only, and parts in order; nothing of an
 * attempt that was dropped follows. Thread safety: used on the event loop only.
 */
final class ResponseForwarder {

  /** Answers up to this size are passed on whole. */
  static final int MAX_BUFFERED_BYTES = 256 * 1024;

  private final Caller caller;
  private final boolean streamed;
  private final Runnable onStart;
  private final EventSplitter events = new EventSplitter();
  private Optional<HttpResponse> head = Optional.empty();
  private Optional<CompositeByteBuf> buffered = Optional.empty();
  private boolean started;

  /**
   * Creates the answer to one request.
   *
   * @param streamed true when successful answers are streams of events
   * @param onBegin told when the first part leaves for the caller
   */
  ResponseForwarder(Caller caller, boolean streamed, Runnable onBegin) {
    this.caller = caller;
    this.streamed = streamed;
    this.onStart = onBegin;
  }

  /** Returns true when the caller has a part of an answer. */
  boolean started() {
    return started;
  }

  /** Returns the head of the answer in progress. */
  Optional<HttpResponse> head() {
    return head;
  }

  /** Returns the id of the last event that the caller has. */
  Optional<String> lastEventId() {
    return events.lastId();
  }

  /** Returns true when another attempt can go on after what the caller has. */
  boolean resumable() {
    return streamed && events.lastId().isPresent();
  }

  /** An answer begins, or one goes on after the last event that the caller has. */
  void beginResponse(HttpResponse response) {
    head = Optional.of(response);
  }

  void appendBody(ByteBuf bytes) {
    if (isStream()) {
      forwardEvents(events.add(bytes));
      return;
    }
    if (started) {
      caller.sendPart(bytes);
      return;
    }
    CompositeByteBuf whole = buffered.orElseGet(Unpooled::compositeBuffer);
    buffered = Optional.of(whole.addComponent(true, bytes));
    if (whole.readableBytes() > MAX_BUFFERED_BYTES) {
      start();
      buffered = Optional.empty();
      caller.sendPart(whole);
    }
  }

  /** The answer is complete. */
  void complete() {
    if (started || isStream()) {
      forwardEvents(events.remainder());
      start();
      caller.endResponse();
      return;
    }
    ByteBuf whole = buffered.map(ByteBuf.class::cast).orElse(Unpooled.EMPTY_BUFFER);
    buffered = Optional.empty();
    HttpResponse response = head.orElseThrow();
    onStart.run();
    caller.sendResponse(response.status(), headers(response), whole);
  }

  /** Forgets what has come of an answer and is not with the caller. */
  void discardUnsent() {
    head = Optional.empty();
    buffered.ifPresent(ByteBuf::release);
    buffered = Optional.empty();
    events.dropRemainder();
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
    // A stream that may go on elsewhere has no length that could be promised.
    boolean promised = length >= 0 && !isStream();
    caller.beginResponse(
        response.status(),
        headers(response),
        promised ? OptionalLong.of(length) : OptionalLong.empty());
  }

  private boolean isStream() {
    return streamed
        && (started
            || head.filter(r -> r.status().codeClass() == HttpStatusClass.SUCCESS).isPresent());
  }

  private static HttpHeaders headers(HttpResponse response) {
    HttpHeaders headers = new DefaultHttpHeaders(false);
    headers.set(response.headers());
    ConnectionHeaders.remove(headers);
    return headers;
  }
}
