package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests a stream whose endpoint writes nothing for longer than the inactivity after which streams
 * go on elsewhere.
 *
 * <p>Guards against a stream that is ended here although its endpoint is at work.
 */
class SilentStreamTest {

  /** Longer than the inactivity timeout, and short enough that callers stay. */
  private static final int SILENT_MILLIS = 1_700;

  /** Time in which the gateway reads a list, or settings, that were changed. */
  private static final long CHANGE_MILLIS = 500;

  private static final List<String> ALL_IDS =
      IntStream.rangeClosed(1, StreamingEndpoint.EVENTS).mapToObj(id -> "id: " + id).toList();

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private StreamingEndpoint silent;
  private StreamingEndpoint other;
  private volatile String listed;
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    silent = closer.register(new StreamingEndpoint("silent", "v1").silentAfter(3, SILENT_MILLIS));
    other = closer.register(new StreamingEndpoint("other", "v1"));
    listed = silent.listed();
    fleet = closer.register(new GatewayFleet(folder, () -> listed));
    fleet.control().put("/routing/routes/long", route());
    fleet.open(1);
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against streams that do not leave an endpoint that hangs. */
  @Test
  void goesOnElsewhereWhereThereIsAPlace() throws Exception {
    CompletableFuture<HttpResponse<String>> response = begin();
    listed = silent.listed() + other.listed();

    assertThat(ids(response)).isEqualTo(ALL_IDS);
    assertThat(other.requests()).hasSize(1);
    assertThat(other.requests().get(0).lastEventId()).contains("3");
    // Guards against retries that the budget of the pool does not count.
    assertThat(metrics()).contains("retries_total{reason=\"" + GatewayFleet.POOL + "\"} 1.0");
  }

  /** Guards against a run that is given up for an endpoint that takes no connection. */
  @Test
  void staysWhereTheOtherEndpointTakesNoConnection() throws Exception {
    other.refuseConnections();
    CompletableFuture<HttpResponse<String>> response = begin();
    listed = silent.listed() + other.listed();

    assertThat(ids(response)).isEqualTo(ALL_IDS);
    assertThat(silent.requests()).hasSize(1);
  }

  /** Guards against a run that is given up when its route allows no other any more. */
  @Test
  void staysWhereItsRouteIsWithdrawn() throws Exception {
    CompletableFuture<HttpResponse<String>> response = begin();
    listed = silent.listed() + other.listed();
    fleet.control().delete("/routing/routes/long");
    fleet.control().put("/routing/publication", "{\"version\":2}");

    assertThat(ids(response)).isEqualTo(ALL_IDS);
    assertThat(other.requests()).isEmpty();
  }

  /** Guards against a run that is given up for one that the end of a planned stop cuts. */
  @Test
  void staysWhereAnotherRunWouldOutliveThePlannedStop() throws Exception {
    other.eventMillis(300);
    CompletableFuture<HttpResponse<String>> response = begin();
    listed = silent.listed() + other.listed();
    Thread.sleep(CHANGE_MILLIS);

    fleet.stopFirst(1);

    assertThat(ids(response)).isEqualTo(ALL_IDS);
    assertThat(other.requests()).isEmpty();
  }

  private CompletableFuture<HttpResponse<String>> begin() throws InterruptedException {
    CompletableFuture<HttpResponse<String>> response =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return fleet.send(0, "POST", "/long/1", "prompt");
              } catch (Exception e) {
                throw new IllegalStateException("the stream did not end as a whole", e);
              }
            });
    GatewayFleet.await(() -> !silent.requests().isEmpty());
    return response;
  }

  private String metrics() throws Exception {
    URI uri = URI.create("http://" + Addresses.text(fleet.adminAddress(0)) + "/metrics");
    return HttpClient.newHttpClient()
        .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
        .body();
  }

  private static List<String> ids(CompletableFuture<HttpResponse<String>> response)
      throws Exception {
    String body = response.get(15, TimeUnit.SECONDS).body();
    return body.lines().filter(line -> line.startsWith("id: ")).toList();
  }

  private static String route() {
    return GatewayFleet.route("long", "stream", 10_000)
        .replace("\"resumable\":false", "\"resumable\":true")
        .replace("\"maxAttempts\":1", "\"maxAttempts\":2");
  }
}
