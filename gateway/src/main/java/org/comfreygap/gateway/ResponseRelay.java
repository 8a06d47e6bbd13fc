package org.comfreygap.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.protocol.generated.FrameHead;
import org.comfreygap.protocol.generated.StoredAnswer;

/**
 * Forwards the response of the attempts for one request to the caller.
 *
 * <p>A response that is not an event stream is buffered until it is complete or exceeds {@link
 * #MAX_BUFFERED_BYTES}, so that an interrupted attempt can be retried without the caller noticing.
 * Events of a stream are forwarded whole. After bytes were forwarded, only a request for a
 * repeatable response (a seed, or temperature 0) is retried. The retry runs from the start, and the
 * SHA-256 of its first bytes must match that of the bytes already forwarded before any later byte
 * is used. In all other cases an event stream ends with an error event, and for any other body the
 * connection is closed.
 *
 * <p>Invariant: the caller receives each byte of one response once, in order, and never bytes of
 * two different responses. Thread safety: not thread-safe; one thread at a time.
 *
 * @since 0.1
 */
public final class ResponseRelay {

  /** Largest part of a response that is buffered, in bytes. */
  static final int MAX_BUFFERED_BYTES = 256 * 1024;

  private static final Set<String> FORWARDED_HEADERS =
      Set.of(
          "content-type",
          "content-language",
          "content-disposition",
          "cache-control",
          "etag",
          "last-modified",
          "location",
          "retry-after",
          "vary",
          "x-request-id");

  private final RequestContext context;
  private final boolean resumable;
  private final MessageDigest forwardedDigest;
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream(1_024);
  private MessageDigest retryDigest;
  private FrameHead head;
  private FrameHead forwardedHead;
  private long forwardedBytes;
  private long position;

  /** Creates a relay to the caller of {@code context}. */
  public ResponseRelay(RequestContext context) {
    this.context = context;
    this.resumable =
        context.resolvedRequest().idempotent() && context.resolvedRequest().deterministic();
    this.forwardedDigest = resumable ? sha256() : null;
  }

  /** The response of a retry does not match the part already forwarded. */
  public static final class ResponseMismatch extends Exception {

    private static final long serialVersionUID = 1L;

    ResponseMismatch(String message) {
      super(message, null, false, false);
    }
  }

  /** Returns true once part of the response was forwarded. */
  public boolean started() {
    return forwardedBytes > 0 || context.response().started();
  }

  /** Returns true when a further attempt may complete the response. */
  public boolean allowsRetry() {
    return !started() || resumable;
  }

  /** Resets the state for the response of a new attempt. */
  public void beginAttempt() {
    head = null;
    position = 0;
    buffered.reset();
    retryDigest = resumable && forwardedBytes > 0 ? sha256() : null;
  }

  /**
   * Receives the status and headers of the response.
   *
   * @throws ResponseMismatch when a different status or content type was already forwarded
   */
  public void receiveHead(FrameHead received) throws ResponseMismatch {
    head = received;
    if (forwardedHead != null
        && (forwardedHead.getStatus() != received.getStatus()
            || !contentType(forwardedHead).equals(contentType(received)))) {
      throw new ResponseMismatch("the retry returned a different status or content type");
    }
  }

  /** Returns true once the head of the current attempt was received. */
  public boolean hasHead() {
    return head != null;
  }

  /** Returns the boot id of the endpoint that runs the current attempt, once known. */
  public Optional<String> bootId() {
    return Optional.ofNullable(head).map(FrameHead::getBootId);
  }

  /**
   * Receives the next bytes of the response.
   *
   * @throws CallerDisconnected when the caller disconnected or reads too slowly
   * @throws ResponseMismatch when the bytes differ from those already forwarded
   */
  public void receiveData(ByteBuffer bytes) throws CallerDisconnected, ResponseMismatch {
    ByteBuffer rest = bytes.duplicate();
    if (position < forwardedBytes) {
      rest = verifyForwardedPrefix(rest);
    }
    position += rest.remaining();
    if (rest.hasArray()) {
      buffered.write(rest.array(), rest.arrayOffset() + rest.position(), rest.remaining());
    } else {
      byte[] copy = new byte[rest.remaining()];
      rest.get(copy);
      buffered.writeBytes(copy);
    }
    forwardAvailable();
  }

  /**
   * Receives a heartbeat of an attempt that has no new bytes, and checks that the caller is
   * connected.
   *
   * @throws CallerDisconnected when the caller closed its connection
   */
  public void receiveHeartbeat() throws CallerDisconnected {
    context.response().checkConnected();
  }

  /**
   * Completes the response.
   *
   * @throws CallerDisconnected when the caller disconnected
   */
  public void finish() throws CallerDisconnected {
    CallerResponse response = context.response();
    if (response.started()) {
      forward(buffered.size());
      context.beforeResponseCallback().ifPresent(listener -> listener.accept(null));
      response.end();
      return;
    }
    byte[] body = buffered.toByteArray();
    Map<String, String> headers = headers();
    context
        .beforeResponseCallback()
        .ifPresent(
            listener ->
                listener.accept(
                    new StoredAnswer(head.getStatus(), headers, ByteBuffer.wrap(body))));
    response.send(head.getStatus(), headers, Outcome.RAN, body);
  }

  /**
   * Signals to the caller that a partly forwarded response is incomplete.
   *
   * @throws CallerDisconnected when the caller disconnected
   */
  public void fail(RequestRefused refused) throws CallerDisconnected {
    if (forwardedHead != null && isEventStream(forwardedHead)) {
      context.response().sendErrorEvent(refused);
    } else {
      context.response().abort();
    }
  }

  private ByteBuffer verifyForwardedPrefix(ByteBuffer bytes) throws ResponseMismatch {
    int count = (int) Math.min(bytes.remaining(), forwardedBytes - position);
    ByteBuffer first = bytes.duplicate();
    first.limit(first.position() + count);
    retryDigest.update(first);
    position += count;
    if (position == forwardedBytes
        && !MessageDigest.isEqual(forwardedDigestValue(), retryDigest.digest())) {
      throw new ResponseMismatch(
          "the retry response does not start with the bytes already forwarded");
    }
    bytes.position(bytes.position() + count);
    return bytes;
  }

  private byte[] forwardedDigestValue() {
    try {
      return ((MessageDigest) forwardedDigest.clone()).digest();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("the SHA-256 digest does not support clone()", e);
    }
  }

  private void forwardAvailable() throws CallerDisconnected {
    if (isEventStream(head)) {
      int complete =
          buffered.size() > MAX_BUFFERED_BYTES ? buffered.size() : completeEventsLength();
      forward(complete);
    } else if (buffered.size() > MAX_BUFFERED_BYTES || started() && position > forwardedBytes) {
      forward(buffered.size());
    }
  }

  private void forward(int count) throws CallerDisconnected {
    if (count == 0) {
      return;
    }
    byte[] bytes = buffered.toByteArray();
    if (!context.response().started()) {
      forwardedHead = head;
      context.response().start(head.getStatus(), headers(), Outcome.RAN, -1);
    }
    forwardedBytes += count;
    if (resumable) {
      forwardedDigest.update(bytes, 0, count);
    }
    buffered.reset();
    buffered.write(bytes, count, bytes.length - count);
    context.response().write(bytes, 0, count);
  }

  /** Returns the length of the buffered bytes up to the end of the last complete event. */
  private int completeEventsLength() {
    byte[] bytes = buffered.toByteArray();
    for (int i = bytes.length - 1; i > 0; i--) {
      if (bytes[i] == '\n'
          && (bytes[i - 1] == '\n'
              || i > 2 && bytes[i - 1] == '\r' && bytes[i - 2] == '\n' && bytes[i - 3] == '\r')) {
        return i + 1;
      }
    }
    return 0;
  }

  private Map<String, String> headers() {
    Map<String, String> forwarded = new LinkedHashMap<>();
    if (head.isSetHeaders()) {
      head.getHeaders()
          .forEach(
              (name, value) -> {
                if (FORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                  forwarded.put(name, value);
                }
              });
    }
    return forwarded;
  }

  private static boolean isEventStream(FrameHead head) {
    return contentType(head).startsWith("text/event-stream");
  }

  private static String contentType(FrameHead head) {
    if (!head.isSetHeaders()) {
      return "";
    }
    Optional<String> found =
        head.getHeaders().entrySet().stream()
            .filter(entry -> entry.getKey().equalsIgnoreCase("content-type"))
            .map(Map.Entry::getValue)
            .findFirst();
    return found.orElse("").toLowerCase(Locale.ROOT);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
    }
  }
}
