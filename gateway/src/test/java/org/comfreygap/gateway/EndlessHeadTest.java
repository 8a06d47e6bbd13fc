package org.comfreygap.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against the head of a sidecar's response that has no end and fills the memory. */
class EndlessHeadTest {

  private static final long MAX_WRITTEN_BYTES = 24L << 20;

  @ParameterizedTest
  @ValueSource(strings = {"x", "HTTP/1.1 200 OK\r\nField: ", "HTTP/1.1 200 OK\r\nField: value\r\n"})
  void failsOnHeadWithoutEnd(String beginning) throws Exception {
    AtomicLong written = new AtomicLong();
    try (ServerSocket server = new ServerSocket(0);
        CloseableHttpClient client = SidecarClient.client(1)) {
      Thread thread = new Thread(() -> flood(server, beginning, written), "endless-head");
      thread.setDaemon(true);
      thread.start();
      HttpGet request = new HttpGet("http://127.0.0.1:" + server.getLocalPort());

      assertThatThrownBy(() -> client.execute(request, response -> response.getCode()))
          .isInstanceOf(IOException.class);
    }
    assertThat(written.get()).isLessThan(MAX_WRITTEN_BYTES);
  }

  private static void flood(ServerSocket server, String beginning, AtomicLong written) {
    String repeated = beginning.endsWith("\r\n") ? "Field: value\r\n" : "x";
    byte[] unit = repeated.repeat(1_000).getBytes(StandardCharsets.US_ASCII);
    try (Socket connection = server.accept()) {
      connection.getInputStream().read(new byte[1_000]);
      connection.getOutputStream().write(beginning.getBytes(StandardCharsets.US_ASCII));
      while (true) {
        connection.getOutputStream().write(unit);
        written.addAndGet(unit.length);
      }
    } catch (IOException e) {
      // The client closed the connection.
      return;
    }
  }
}
