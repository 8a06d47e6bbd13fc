package org.comfreygap.gateway;

import jakarta.servlet.http.HttpServletRequest;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;

/**
 * Reads request bodies with a limit on size and time.
 *
 * <p>The time is checked after each read, and each read is bounded by the idle timeout of the
 * connection, so that a caller that sends its body slowly cannot occupy a worker. Trailers are
 * ignored. Thread safety: immutable.
 */
final class BodyReader {

  private static final int CHUNK_BYTES = 16 * 1024;

  private final int maxBytes;
  private final Duration timeout;

  BodyReader(int maxBytes, Duration timeout) {
    this.maxBytes = maxBytes;
    this.timeout = timeout;
  }

  /**
   * Checks the Content-Length of the request.
   *
   * @throws RequestRefused when it exceeds the limit
   */
  void checkLength(HttpServletRequest request) throws RequestRefused {
    if (request.getContentLengthLong() > maxBytes) {
      throw tooLarge();
    }
  }

  /**
   * Reads the body.
   *
   * @throws RequestRefused when the body is too large, too slow or incomplete
   */
  byte[] read(HttpServletRequest request) throws RequestRefused {
    long end = System.nanoTime() + timeout.toNanos();
    long length = request.getContentLengthLong();
    if (length == 0) {
      return new byte[0];
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream(length > 0 ? (int) length : 1_024);
    byte[] chunk = new byte[length > 0 ? (int) Math.min(length, CHUNK_BYTES) : CHUNK_BYTES];
    try {
      InputStream in = request.getInputStream();
      int count = in.read(chunk);
      while (count >= 0) {
        body.write(chunk, 0, count);
        if (body.size() > maxBytes) {
          throw tooLarge();
        }
        if (System.nanoTime() - end > 0) {
          throw RequestRefused.notRun(
              CallerError.BODY_TIMEOUT,
              "the body was not received within " + timeout.toSeconds() + " s");
        }
        count = in.read(chunk);
      }
    } catch (IOException e) {
      throw RequestRefused.notRun(CallerError.INVALID_REQUEST, "the body is incomplete");
    }
    return body.toByteArray();
  }

  private RequestRefused tooLarge() {
    return RequestRefused.notRun(
        CallerError.BODY_TOO_LARGE,
        "the body is too large: expected at most " + maxBytes + " bytes");
  }
}
