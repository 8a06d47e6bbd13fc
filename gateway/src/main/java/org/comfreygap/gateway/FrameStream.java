package org.comfreygap.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.time.Duration;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TIOStreamTransport;
import org.apache.thrift.transport.TTransportException;
import org.comfreygap.protocol.generated.AttemptFrame;
import org.comfreygap.protocol.generated.FrameBody;
import org.comfreygap.protocol.generated.FrameData;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the frames of an attempt from one connection.
 *
 * <p>Invariant: every frame returned carries the id of the attempt, and the offsets of data frames
 * have no gap or overlap. The connection returns to the pool only after {@link #complete}; in all
 * other cases it is closed. Thread safety: not thread-safe; one thread at a time.
 */
final class FrameStream implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(FrameStream.class);

  /** Time without a frame after which a connection is considered silent. */
  static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(2);

  private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;
  private static final int MAX_CONTAINER_LENGTH = 100_000;
  private static final int MAX_DEPTH = 16;

  private final HttpPost post;
  private final ClassicHttpResponse response;
  private final String attemptId;
  private final DeadlineInputStream input;
  private final TProtocol protocol;
  private long offset;
  private boolean complete;

  /**
   * Reads frames from an open response.
   *
   * @param offset byte offset in the response of the first data frame
   * @throws IOException when the response has no body
   */
  FrameStream(HttpPost post, ClassicHttpResponse response, String attemptId, long offset)
      throws IOException {
    this.post = post;
    this.response = response;
    this.attemptId = attemptId;
    this.offset = offset;
    if (response.getEntity() == null) {
      throw new IOException("the response has no body");
    }
    this.input = new DeadlineInputStream(response.getEntity().getContent());
    try {
      TConfiguration bounds = new TConfiguration(MAX_FRAME_BYTES, MAX_FRAME_BYTES, MAX_DEPTH);
      this.protocol =
          new TCompactProtocol(
              new TIOStreamTransport(bounds, input), MAX_FRAME_BYTES, MAX_CONTAINER_LENGTH);
    } catch (TTransportException e) {
      throw new IOException("cannot read frames from the response", e);
    }
  }

  /** Returns the byte offset in the response up to which data was read. */
  long offset() {
    return offset;
  }

  /**
   * Returns the next frame.
   *
   * @throws FrameStreamBroken when no frame was received in time or the frame is invalid
   */
  FrameBody next() throws FrameStreamBroken {
    input.startFrame();
    AttemptFrame frame = new AttemptFrame();
    try {
      frame.read(protocol);
    } catch (TException e) {
      boolean silent = e.getCause() instanceof SocketTimeoutException;
      throw new FrameStreamBroken(silent ? "silent" : "cut", e);
    } catch (RuntimeException e) {
      throw new FrameStreamBroken("malformed", e);
    }
    if (!attemptId.equals(frame.getAttemptId())) {
      throw new FrameStreamBroken("received a frame of another attempt", null);
    }
    FrameBody body = frame.getBody();
    if (body.isSetData()) {
      FrameData data = body.getData();
      if (data.getOffset() != offset) {
        throw new FrameStreamBroken(
            "received data at offset " + data.getOffset() + ", expected offset " + offset, null);
      }
      offset += data.bytes.remaining();
    }
    return body;
  }

  /** Marks the connection for reuse after the final frame, provided that the body ends there. */
  void complete() {
    try {
      input.startFrame();
      complete = input.read() < 0;
    } catch (IOException e) {
      LOG.debug("the connection will not be reused after a complete response", e);
      complete = false;
    }
  }

  @Override
  public void close() {
    if (!complete) {
      // Closing the response alone would first read its body to the end.
      post.cancel();
    }
    try {
      response.close();
    } catch (IOException e) {
      LOG.debug("failed to close a sidecar connection cleanly", e);
    }
  }

  /**
   * Limits the time to read one frame, even when single bytes keep arriving. It has its own buffer
   * because the protocol reads single bytes, and the clock is checked on each read of the
   * underlying stream.
   */
  private static final class DeadlineInputStream extends InputStream {

    private static final int BUFFER_BYTES = 4 * 1024;

    private final InputStream in;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int position;
    private int limit;
    private long frameStartNanos;

    DeadlineInputStream(InputStream in) {
      this.in = in;
    }

    void startFrame() {
      frameStartNanos = System.nanoTime();
    }

    @Override
    public int read() throws IOException {
      if (position == limit && !fill()) {
        return -1;
      }
      return buffer[position++] & 0xff;
    }

    @Override
    public int read(byte[] bytes, int from, int length) throws IOException {
      if (length == 0) {
        return 0;
      }
      if (position == limit && !fill()) {
        return -1;
      }
      int count = Math.min(length, limit - position);
      System.arraycopy(buffer, position, bytes, from, count);
      position += count;
      return count;
    }

    private boolean fill() throws IOException {
      int count = in.read(buffer, 0, buffer.length);
      // A read that hits the socket timeout ends just after that limit, so a frame gets twice the
      // time.
      if (System.nanoTime() - frameStartNanos > 2 * SILENCE_TIMEOUT.toNanos()) {
        throw new SocketTimeoutException(
            "a frame took longer than " + SILENCE_TIMEOUT.multipliedBy(2));
      }
      position = 0;
      limit = Math.max(0, count);
      return count > 0;
    }
  }
}
