package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a list without end that fills the memory, or passes as its beginning. */
class PlatformListPollerTest {

  private static final long MAX_WRITTEN_BYTES = 24L << 20;
  private static final String LIST = "{\"instances\":[]}";

  @Test
  void refusesListThatIsTooLarge() {
    byte[] endless =
        (LIST + " ".repeat(PlatformListPoller.MAX_BYTES)).getBytes(StandardCharsets.US_ASCII);

    assertThatThrownBy(() -> PlatformListPoller.readList(new ByteArrayInputStream(endless)))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("more than");
  }

  @Test
  void readsListUpToTheLimit() throws IOException {
    String padding = " ".repeat(PlatformListPoller.MAX_BYTES - LIST.length());
    byte[] largest = (LIST + padding).getBytes(StandardCharsets.US_ASCII);

    assertThat(PlatformListPoller.readList(new ByteArrayInputStream(largest)).path("instances"))
        .isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"x", "HTTP/1.1 200 OK\r\nField: ", "HTTP/1.1 200 OK\r\nField: value\r\n"})
  void failsOnHeadWithoutEnd(String beginning) throws Exception {
    AtomicLong written = new AtomicLong();
    try (ServerSocket server = new ServerSocket(0);
        CloseableHttpClient client = PlatformListPoller.client()) {
      String repeated = beginning.endsWith("\r\n") ? "Field: value\r\n" : "x";
      startFlood(server, beginning, repeated, written);
      HttpGet request = new HttpGet("http://127.0.0.1:" + server.getLocalPort());

      assertThatThrownBy(() -> client.execute(request, response -> response.getCode()))
          .isInstanceOf(IOException.class);
    }
    assertThat(written.get()).isLessThan(MAX_WRITTEN_BYTES);
  }

  /** Guards against a call that reads an endless response to its end when it is closed. */
  @ParameterizedTest
  @CsvSource({
    "200, Content-Length: 1000000000000, x",
    "200, Transfer-Encoding: chunked, '1\nx\n'",
    "200, Field: until-close, x",
    "500, Transfer-Encoding: chunked, '1\nx\n'",
    "100, Field: value, 'HTTP/1.1 100 Continue\n\n'"
  })
  void endsCallWhoseResponseHasNoEnd(int status, String field, String repeated) throws Exception {
    AtomicLong written = new AtomicLong();
    String beginning = "HTTP/1.1 " + status + " S\r\n" + field + "\r\n\r\n";
    try (ServerSocket server = new ServerSocket(0);
        CloseableHttpClient client = PlatformListPoller.client()) {
      startFlood(server, beginning, repeated.replace("\n", "\r\n"), written);
      long startNanos = System.nanoTime();

      assertThatThrownBy(
              () -> PlatformListPoller.fetch(client, "http://127.0.0.1:" + server.getLocalPort()))
          .isInstanceOf(IOException.class);

      assertThat(Duration.ofNanos(System.nanoTime() - startNanos))
          .isLessThan(PlatformListPoller.CALL_TIMEOUT.plusSeconds(2));
    }
  }

  private static void startFlood(
      ServerSocket server, String beginning, String repeated, AtomicLong written) {
    Thread thread = new Thread(() -> flood(server, beginning, repeated, written), "endless-list");
    thread.setDaemon(true);
    thread.start();
  }

  private static void flood(
      ServerSocket server, String beginning, String repeated, AtomicLong written) {
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
