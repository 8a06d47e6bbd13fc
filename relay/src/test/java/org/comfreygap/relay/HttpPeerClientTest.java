package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.comfreygap.testkit.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response that is taken for the one to another call. */
class HttpPeerClientTest {

  private static final Duration TIMEOUT = Duration.ofMillis(300);
  private static final int MAX_BYTES = 1_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private ServerSocket server;
  private HttpPeerClient client;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket();
    server.bind(FreePorts.address());
    client =
        new HttpPeerClient(
            group.next(),
            (java.net.InetSocketAddress) server.getLocalSocketAddress(),
            TIMEOUT,
            MAX_BYTES);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** A response without length that timed out seems to end when its connection is closed. */
  @Test
  void doesNotTakeTheRestOfAFailedCallForTheNextResponse() throws Exception {
    CompletableFuture<String> second = new CompletableFuture<>();
    group
        .next()
        .execute(
            () ->
                client.call(
                    HttpMethod.GET,
                    "/first",
                    Map.of(),
                    "",
                    response -> second.completeExceptionally(new AssertionError("no timeout")),
                    cause -> callAgain(second)));
    server.setSoTimeout(5_000);
    try (Socket first = server.accept()) {
      respond(first, "HTTP/1.1 200 OK\r\n\r\nfirst, not who");
      try (Socket next = server.accept()) {
        Thread.sleep(100);
        respond(next, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");

        assertThat(second.get(5, TimeUnit.SECONDS)).isEqualTo("second");
      }
    }
  }

  /** Guards against responses of many endpoints that fill the memory before they time out. */
  @ParameterizedTest
  @ValueSource(ints = {MAX_BYTES, MAX_BYTES + 1})
  void failsCallWithResponseBeyondTheLimit(int length) throws Exception {
    CompletableFuture<String> result = new CompletableFuture<>();
    group.next().execute(() -> callAgain(result));
    try (Socket connection = server.accept()) {
      String unbounded = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      String body = "x".repeat(length);
      respond(
          connection, unbounded + Integer.toHexString(length) + "\r\n" + body + "\r\n0\r\n\r\n");

      if (length > MAX_BYTES) {
        assertThatThrownBy(() -> result.get(5, TimeUnit.SECONDS)).hasMessageContaining("too large");
      } else {
        assertThat(result.get(5, TimeUnit.SECONDS)).isEqualTo(body);
      }
    }
  }

  /** Guards against a status that is none and that is passed to whoever called. */
  @ParameterizedTest
  @ValueSource(strings = {"000 OK", "99 OK", "600 OK", "+200 OK"})
  void failsCallWithAStatusThatIsNone(String status) throws Exception {
    CompletableFuture<String> result = new CompletableFuture<>();
    group.next().execute(() -> callAgain(result));
    try (Socket connection = server.accept()) {
      respond(connection, "HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody");

      assertThatThrownBy(() -> result.get(5, TimeUnit.SECONDS)).hasMessageContaining("malformed");
    }
  }

  private void callAgain(CompletableFuture<String> result) {
    client.call(
        HttpMethod.GET,
        "/second",
        Map.of(),
        "",
        response -> result.complete(new String(response.body(), StandardCharsets.US_ASCII)),
        result::completeExceptionally);
  }

  private static void respond(Socket connection, String text) throws IOException {
    InputStream in = connection.getInputStream();
    StringBuilder read = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      read.append((char) b);
      if (read.indexOf("\r\n\r\n") >= 0) {
        break;
      }
    }
    connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    connection.getOutputStream().flush();
  }
}
