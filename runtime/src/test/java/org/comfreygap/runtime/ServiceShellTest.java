package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Checks the administration endpoints on which operators and the load balancer depend. */
class ServiceShellTest {

  private final HttpClient client = HttpClient.newHttpClient();

  @Test
  void servesMetricsReadinessHealthAndTimeline() throws Exception {
    InetSocketAddress admin = freeAddress();
    AtomicBoolean ready = new AtomicBoolean(true);
    try (Closer closer = new Closer()) {
      EventLog events =
          closer.register(
              new EventLog("p", new HybridClock(System::currentTimeMillis), new Timeline(10)));
      ServiceShell shell =
          closer.register(
              ServiceShell.builder("test")
                  .http(freeAddress())
                  .admin(admin)
                  .events(events)
                  .ready(ready::get)
                  .start());
      shell.metrics().counter("comfreygap.test").increment();
      events.record(RuntimeEvent.PROCESS_STARTED, Field.of("request", "r1"));

      assertThat(get(admin, "/metrics").body()).contains("comfreygap_test_total 1.0");
      assertThat(get(admin, "/healthcheck").statusCode()).isEqualTo(200);
      assertThat(get(admin, "/ready").statusCode()).isEqualTo(200);
      ready.set(false);
      assertThat(get(admin, "/ready").statusCode()).isEqualTo(503);
      assertThat(get(admin, "/healthcheck").statusCode()).isEqualTo(500);
      assertThat(get(admin, "/timeline?since=x").statusCode()).isEqualTo(400);
      assertThat(timeline(admin, "r1")).contains("PROCESS_STARTED");
      assertThat(get(admin, "/timeline?request=r2").body()).isEqualTo("[]");
    }
  }

  private String timeline(InetSocketAddress admin, String request) throws Exception {
    String body = "[]";
    for (int i = 0; i < 200 && body.equals("[]"); i++) {
      body = get(admin, "/timeline?request=" + request).body();
      Thread.sleep(10);
    }
    return body;
  }

  private HttpResponse<String> get(InetSocketAddress address, String path) throws Exception {
    URI uri = URI.create("http://" + Addresses.text(address) + path);
    return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }
}
