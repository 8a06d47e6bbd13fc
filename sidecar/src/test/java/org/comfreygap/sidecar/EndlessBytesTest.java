package org.comfreygap.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests endpoints that send a part of a response without end.
 *
 * <p>Guards against a sidecar that reads on until its memory is full.
 */
class EndlessBytesTest {

  /** Limits of what is read, and what the buffers of both sockets take. */
  private static final long MAX_WRITTEN_BYTES = 24L << 20;

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int UNIT_BYTES = 8 * 1024;

  private final AtomicLong written = new AtomicLong();
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private volatile Flood flood = Flood.STATUS_LINE;
  private ServerSocket socket;
  private HttpEngineClient client;

  /** What has no end. */
  private enum Flood {
    STATUS_LINE("", "x"),
    FIELD("HTTP/1.1 200 OK\r\nField: ", "x"),
    FIELDS("HTTP/1.1 200 OK\r\n", "Field: value\r\n"),
    INTERIM("", "HTTP/1.1 102 Processing\r\n\r\n"),
    BODY("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"),
    CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
    TRAILER("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nField: ", "x"),
    TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n");

    private final String beginning;
    private final String repeated;

    Flood(String beginning, String repeated) {
      this.beginning = beginning;
      this.repeated = repeated;
    }
  }

  @BeforeEach
  void start() throws IOException {
    socket = new ServerSocket(0);
    client = new HttpEngineClient(URI.create("http://127.0.0.1:" + socket.getLocalPort()));
    Thread thread = new Thread(this::serve, "endless-bytes");
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    socket.close();
  }

  @ParameterizedTest
  @EnumSource
  void failsCallWithEndlessResponse(Flood given) throws Exception {
    flood = given;

    assertThatThrownBy(() -> client.state(TIMEOUT).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
        .hasCauseInstanceOf(EngineException.class)
        .extracting(failure -> ((EngineException) failure.getCause()).kind())
        .isEqualTo(EngineException.Kind.TOO_LARGE);
    closed.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    assertThat(written.get()).isLessThan(MAX_WRITTEN_BYTES);
  }

  /** An endless body is read only as far as its reader demands. */
  @ParameterizedTest
  @EnumSource
  void boundsEndlessResponseToAnAttempt(Flood given) throws Exception {
    flood = given;
    CompletableFuture<Optional<EngineException.Kind>> end = new CompletableFuture<>();
    AtomicLong received = new AtomicLong();

    client.start(request(), listener(end, received));

    if (given == Flood.BODY) {
      Thread.sleep(1_000);
      assertThat(received.get()).isLessThanOrEqualTo(EngineClient.INITIAL_DEMAND + UNIT_BYTES);
    } else {
      assertThat(end.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
          .contains(EngineException.Kind.TOO_LARGE);
      closed.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }
    assertThat(written.get()).isLessThan(MAX_WRITTEN_BYTES);
  }

  private static EngineClient.EngineRequest request() {
    return new EngineClient.EngineRequest(
        "attempt", "GET", "/", Map.of(), new byte[0], false, TIMEOUT);
  }

  private static EngineClient.ResponseListener listener(
      CompletableFuture<Optional<EngineException.Kind>> end, AtomicLong received) {
    return new EngineClient.ResponseListener() {
      @Override
      public void onHead(int status, Map<String, String> headers, String bootId) {
        // The end of the response is what counts.
      }

      @Override
      public boolean onData(ByteBuffer bytes) {
        received.addAndGet(bytes.remaining());
        return true;
      }

      @Override
      public void onComplete(long totalTokens) {
        end.complete(Optional.empty());
      }

      @Override
      public void onFailure(EngineException failure) {
        end.complete(Optional.of(failure.kind()));
      }
    };
  }

  private void serve() {
    try (Socket connection = socket.accept()) {
      InputStream in = connection.getInputStream();
      in.read(new byte[UNIT_BYTES]);
      flood(connection.getOutputStream());
    } catch (IOException e) {
      closed.complete(null);
    }
  }

  private void flood(OutputStream out) throws IOException {
    out.write(flood.beginning.getBytes(StandardCharsets.US_ASCII));
    byte[] unit =
        flood
            .repeated
            .repeat(UNIT_BYTES / flood.repeated.length())
            .getBytes(StandardCharsets.US_ASCII);
    while (!socket.isClosed()) {
      out.write(unit);
      written.addAndGet(unit.length);
    }
  }
}
