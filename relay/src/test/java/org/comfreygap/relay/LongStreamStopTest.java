package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.StreamDurations;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests streams that arrive during a planned stop, on a route whose streams last long. */
class LongStreamStopTest {

  /** Time between the events of a stream, of which the whole lasts seven seconds. */
  private static final int EVENT_MILLIS = 700;

  /** Leaves more than the six seconds that are assumed, and less than such a stream lasts. */
  private static final String GRACE = "graceMillis: 7900";

  private static final long ARRIVAL_MILLIS = 500;

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private StreamingEndpoint endpoint;
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    endpoint = closer.register(new StreamingEndpoint("endpoint", "v1").eventMillis(EVENT_MILLIS));
    fleet = closer.register(new GatewayFleet(folder, endpoint::listed));
    fleet.control().put("/routing/routes/long", GatewayFleet.route("long", "stream", 20_000));
    fleet.open(1, GRACE);
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against streams that are admitted during a planned stop whose end then cuts them. */
  @Test
  void refusesStreamThatMayLastLongerThanTheStop() throws Exception {
    long begin = System.nanoTime();
    HttpResponse<String> whole = fleet.send(0, "POST", "/long/1", "prompt");
    double millis = (System.nanoTime() - begin) / 1e6;
    assertThat(whole.body()).contains("id: " + StreamingEndpoint.EVENTS);
    assertThat(expectedMillis())
        .isBetween(
            EVENT_MILLIS * StreamingEndpoint.EVENTS * StreamDurations.MARGIN,
            millis * StreamDurations.MARGIN);
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      write(caller, "POST /long/2 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: late\r\n");
      write(caller, "Content-Length: 6\r\n\r\npro");
      Thread.sleep(100);
      CompletableFuture<Void> stop = CompletableFuture.runAsync(this::stopGateway);
      Thread.sleep(ARRIVAL_MILLIS);
      write(caller, "mpt");

      String response =
          new String(
              new BufferedInputStream(caller.getInputStream()).readAllBytes(),
              StandardCharsets.US_ASCII);

      assertThat(response).startsWith("HTTP/1.1 503");
      assertThat(endpoint.requests()).hasSize(1);
      stop.get(10, TimeUnit.SECONDS);
    }
  }

  /** Returns how long the gateway expects a stream to last, as its operators see it. */
  private double expectedMillis() throws Exception {
    URI uri = URI.create("http://" + Addresses.text(fleet.adminAddress(0)) + "/metrics");
    HttpRequest request = HttpRequest.newBuilder(uri).build();
    String metrics =
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
    return metrics
        .lines()
        .filter(line -> line.startsWith("comfreygap_stream_expected_millis{route=\"long\""))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
        .findFirst()
        .orElseThrow();
  }

  private void stopGateway() {
    try {
      fleet.stopFirst(1);
    } catch (Exception e) {
      throw new IllegalStateException("the gateway could not be stopped", e);
    }
  }

  private static void write(Socket caller, String text) throws Exception {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    caller.getOutputStream().flush();
  }
}
