package org.comfreygap.control;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Makes one call to the platform, on a connection of its own.
 *
 * <p>Invariants: the request is written at most once, after a check that follows the opening of the
 * connection; when the call has ended nothing of it is sent any more. Thread safety: stateless.
 */
final class DutyClient {

  /** Largest response, head and body together. */
  static final int MAX_BYTES = 64 * 1024;

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final String END_OF_CHUNKS = "0\r\n\r\n";

  private final InetSocketAddress address;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param timeout longest time of a whole call, however often bytes arrive
   */
  DutyClient(InetSocketAddress address, Duration timeout) {
    this.address = address;
    this.timeout = timeout;
  }

  /**
   * Sends a call, unless {@code mayWrite} is false once the connection is open.
   *
   * @param headers headers besides those of the content
   */
  DutyReply send(DutyCall call, Map<String, String> headers, BooleanSupplier mayWrite) {
    Socket socket = new Socket();
    CompletableFuture<Void> end =
        CompletableFuture.runAsync(
            () -> closeQuietly(socket),
            CompletableFuture.delayedExecutor(timeout.toMillis(), TimeUnit.MILLISECONDS));
    try {
      socket.connect(address, (int) CONNECT_TIMEOUT.toMillis());
      socket.setTcpNoDelay(true);
      // Bytes that are still unsent when the call ends must not arrive later.
      socket.setSoLinger(true, 0);
      byte[] request = request(call, headers);
      if (!mayWrite.getAsBoolean()) {
        return DutyReply.broken("the instance no longer holds the duties");
      }
      socket.getOutputStream().write(request);
      return DutyReply.of(readStatus(socket.getInputStream()));
    } catch (IOException e) {
      return DutyReply.broken(String.valueOf(e.getMessage()));
    } finally {
      end.cancel(false);
      closeQuietly(socket);
    }
  }

  private byte[] request(DutyCall call, Map<String, String> headers) {
    byte[] body = call.body().getBytes(StandardCharsets.UTF_8);
    StringBuilder head = new StringBuilder();
    head.append(call.method()).append(' ').append(call.path()).append(" HTTP/1.1\r\n");
    head.append("Host: ").append(address.getHostString()).append(':').append(address.getPort());
    head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(body.length);
    head.append("\r\nConnection: close\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("\r\n");
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    request.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    request.writeBytes(body);
    return request.toByteArray();
  }

  /** Reads a whole response and returns its status. */
  private static int readStatus(InputStream in) throws IOException {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    byte[] part = new byte[4_096];
    while (received.size() <= MAX_BYTES) {
      int count = in.read(part);
      if (count > 0) {
        received.write(part, 0, count);
      }
      String text = received.toString(StandardCharsets.ISO_8859_1);
      if (isWhole(text, count < 0)) {
        return status(text);
      }
      if (count < 0) {
        throw new IOException("given a response that ends early, expected a whole one");
      }
    }
    throw new IOException("given a response of more than " + MAX_BYTES + " bytes, expected fewer");
  }

  private static boolean isWhole(String text, boolean ended) {
    int end = text.indexOf(END_OF_HEAD);
    if (end < 0) {
      return false;
    }
    int body = text.length() - end - END_OF_HEAD.length();
    Optional<String> length = header(text.substring(0, end), "content-length");
    if (length.isPresent()) {
      return length.get().matches("\\d{1,9}") && body >= Integer.parseInt(length.get());
    }
    boolean chunked =
        header(text.substring(0, end), "transfer-encoding")
            .filter(coding -> coding.equalsIgnoreCase("chunked"))
            .isPresent();
    return chunked ? text.endsWith(END_OF_CHUNKS) : ended;
  }

  private static int status(String text) throws IOException {
    String line = text.substring(0, text.indexOf("\r\n"));
    if (!line.matches("HTTP/1\\.[01] [1-9]\\d\\d( .*)?")) {
      throw new IOException("given a response that begins otherwise, expected a status line");
    }
    return Integer.parseInt(line.substring(9, 12));
  }

  private static Optional<String> header(String head, String name) {
    return head.lines()
        .skip(1)
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
        .map(line -> line.substring(name.length() + 1).strip())
        .findFirst();
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection is given up either way.
    }
  }
}
