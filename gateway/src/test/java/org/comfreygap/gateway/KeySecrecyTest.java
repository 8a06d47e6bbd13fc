package org.comfreygap.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.net.Socket;
import java.net.URLEncoder;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.comfreygap.testkit.FakeSidecar;
import org.comfreygap.testkit.FakeSidecar.Fault;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Searches all output of the gateway for a key; only its hash may be sent to control (I4). */
class KeySecrecyTest {

  private static final String KEY = GatewayFixture.KEY;

  /**
   * Guards against a key that leaks to endpoints, logs, metrics, events or errors, wherever the
   * request contained it.
   */
  @Test
  void doesNotLeakTheKeyToEndpointsLogsMetricsOrEvents() throws Exception {
    LogCapture log = new LogCapture();
    log.start();
    Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.addAppender(log);
    Logger own = (Logger) LoggerFactory.getLogger("org.comfreygap");
    own.setLevel(Level.TRACE);
    StringBuilder responses = new StringBuilder();
    try (GatewayFixture fixture = GatewayFixture.start(2, 1)) {
      fixture.sidecars.values().forEach(sidecar -> sidecar.recordTraffic(true));
      sendKeyInEveryPosition(fixture, responses);

      for (FakeSidecar sidecar : fixture.sidecars.values()) {
        String traffic = new String(sidecar.traffic(), StandardCharsets.ISO_8859_1);
        assertThat(traffic).doesNotContain(KEY).doesNotContain("session=");
      }
      assertThat(fixture.startedAttempts()).isPositive();
      assertThat(fixture.gateway.metrics()).doesNotContain(KEY);
      assertThat(
              fixture
                  .gateway
                  .events()
                  .timeline()
                  .eventsSince(0, Optional.empty(), Optional.empty())
                  .toString())
          .contains("REQUEST_RETRIED")
          .doesNotContain(KEY);
    } finally {
      root.detachAppender(log);
      own.setLevel(null);
    }
    assertThat(responses.toString()).contains("key_in_request").doesNotContain(KEY);
    assertThat(String.join("\n", log.lines)).doesNotContain(KEY);
  }

  private static void sendKeyInEveryPosition(GatewayFixture fixture, StringBuilder responses)
      throws Exception {
    fixture.sidecar("engine-1").planFault(Fault.CRASH);
    fixture.sidecar("engine-2").planFault(Fault.CRASH);
    responses.append(fixture.chat(GatewayFixture.CHAT).body());
    List<String> rejected =
        List.of(
            "/services/orders/x?key=" + KEY,
            "/services/orders/x?a=1&token=" + URLEncoder.encode(KEY, StandardCharsets.UTF_8),
            "/services/orders/x?key=%73" + KEY.substring(1),
            "/services/orders/" + KEY + "/x",
            "/services/" + KEY + "/x");
    for (String path : rejected) {
      HttpResponse<String> response = fixture.send(fixture.request(path).GET());
      assertThat(response.statusCode()).as(path).isIn(400, 404);
      responses.append(response.body());
    }
    responses.append(fixture.chat(GatewayFixture.CHAT.replace("hello", KEY)).body());
    // The endpoint would decode the escaped form to the key.
    responses.append(
        fixture.chat(GatewayFixture.CHAT.replace("hello", "\\u0073" + KEY.substring(1))).body());
    responses.append(fixture.chat("{\"model\":\"" + KEY + "@1\"}").body());
    responses.append(fixture.chat("{\"model\": " + KEY).body());
    responses.append(fixture.callOrders("POST", KEY, "order").body());
    HttpResponse<String> cookie =
        fixture.send(
            fixture
                .request("/services/orders/x")
                .header("Cookie", "session=" + KEY)
                .header("X-Api-Key", KEY)
                .header("Referer", "http://x/" + KEY)
                .POST(HttpRequest.BodyPublishers.ofString("order")));
    assertThat(cookie.statusCode()).isEqualTo(200);
    responses.append(cookie.body());
    responses.append(raw(fixture, trailers()));
    responses.append(raw(fixture, "GET /%zz?" + KEY + " HTTP/1.1\r\nHost: x\r\n\r\n"));
  }

  private static String trailers() {
    return "POST /services/orders/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        + KEY
        + "\r\nTransfer-Encoding: chunked\r\nTrailer: X-Key\r\nConnection: close\r\n\r\n"
        + "5\r\norder\r\n0\r\nX-Key: "
        + KEY
        + "\r\n\r\n";
  }

  private static String raw(GatewayFixture fixture, String request) throws Exception {
    try (Socket socket = new Socket("127.0.0.1", fixture.settings.httpAddress().getPort())) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static final class LogCapture extends AppenderBase<ILoggingEvent> {

    private final Queue<String> lines = new ConcurrentLinkedQueue<>();

    @Override
    protected void append(ILoggingEvent event) {
      lines.add(event.getFormattedMessage());
      if (event.getThrowableProxy() != null) {
        lines.add(event.getThrowableProxy().getMessage() + "");
      }
    }
  }
}
