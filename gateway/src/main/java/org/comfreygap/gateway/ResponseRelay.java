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
 * Passes the answer of the attempts for one request to the caller.
 *
 * <p>An answer that is not a stream is held back until it is complete or exceeds {@link
 * #BUFFER_LIMIT}, so that a broken attempt can be replaced without a trace. Events of a stream are
 * passed on whole. After bytes were passed on, a further attempt follows only for a request that
 * asked for a repeatable answer (a seed, or temperature 0). It runs from the start, and its first
 * bytes must equal those already passed on, by their SHA-256, before any later byte is used. In all
 * other cases a stream of events ends with an error event, and any other body with a cut
 * connection.
 *
 * <p>Invariant: the caller receives each byte of one answer once, in order, and never bytes of two
 * different answers. Thread safety: one thread at a time.
 *
 * @since 0.1
 */
public final class ResponseRelay {

  /** Largest part of an answer held back, in bytes. */
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

  /** A further attempt gave another answer than the one already passed on in part. */
  public static final class ResponseMismatch extends Exception {

    private static final long serialVersionUID = 1L;

    ResponseMismatch(String message) {
      super(message, null, false, false);
    }
  }

  /** Returns true when bytes of the answer were passed on. */
  public boolean started() {
    return forwardedBytes > 0 || context.response().started();
  }

  /** Returns true when a further attempt may complete the answer. */
  public boolean allowsRetry() {
    return !started() || resumable;
  }

  /** Starts over for the answer of a new attempt. */
  public void beginAttempt() {
    head = null;
    position = 0;
    buffered.reset();
    retryDigest = resumable && forwardedBytes > 0 ? sha256() : null;
  }

  /**
   * Takes the head of the answer.
   *
   * @throws ResponseMismatch when another head was passed on already
   */
  public void receiveHead(FrameHead received) throws ResponseMismatch {
    head = received;
    if (forwardedHead != null
        && (forwardedHead.getStatus() != received.getStatus()
            || !contentType(forwardedHead).equals(contentType(received)))) {
      throw new ResponseMismatch("the second answer has another status or type");
    }
  }

  /** Returns true once the head of the present attempt was received. */
  public boolean hasHead() {
    return head != null;
  }

  /** Returns the boot id of the endpoint that runs the present attempt, once known. */
  public Optional<String> bootId() {
    return Optional.ofNullable(head).map(FrameHead::getBootId);
  }

  /**
   * Takes the next bytes of the answer.
   *
   * @throws CallerDisconnected when the caller does not take them
   * @throws ResponseMismatch when they differ from those passed on already
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
   * Takes note that the attempt goes on without new bytes.
   *
   * @throws CallerDisconnected when the caller closed its connection
   */
  public void receiveHeartbeat() throws CallerDisconnected {
    context.response().checkConnected();
  }

  /**
   * Completes the answer.
   *
   * @throws CallerDisconnected when the caller does not take it
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
   * Tells the caller that an answer that was passed on in part is not complete.
   *
   * @throws CallerDisconnected when the caller is no longer there
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
      throw new ResponseMismatch("the second answer does not begin with the bytes passed on");
    }
    bytes.position(bytes.position() + count);
    return bytes;
  }

  private byte[] forwardedDigestValue() {
    try {
      return ((MessageDigest) forwardedDigest.clone()).digest();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("SHA-256 cannot be copied", e);
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

  /** Returns the length of the held bytes up to the end of the last whole event. */
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
      throw new IllegalStateException("this Java runtime lacks SHA-256", e);
    }
  }
}
