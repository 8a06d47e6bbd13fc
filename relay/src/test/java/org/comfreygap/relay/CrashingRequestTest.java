package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.testkit.FakeControl;
import org.comfreygap.testkit.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests a request that crashes every endpoint that runs it and is repeated with another id through
 * another gateway.
 *
 * <p>Guards against a fleet that loses one endpoint after the other to one request, which the
 * gateways keep sending because its crashes are not counted.
 */
class CrashingRequestTest {

  private static final String SHARED_KEY = "a shared key for tests only";
  private static final String POOL = "app";
  private static final Duration WAIT = Duration.ofSeconds(10);

  /** Time for which an endpoint is down after a crash. */
  private static final Duration DOWNTIME = Duration.ofMillis(700);

  /** Number of times that the caller sends its request, each time through the next gateway. */
  private static final int SEND_COUNT = 9;

  /** The platform tolerates three crashes and three more sends of one request. */
  private static final int MAX_RUNS = 6;

  private static final int GATEWAYS = 2;

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private final HttpClient http = HttpClient.newHttpClient();
  private final List<InetSocketAddress> gateways = new ArrayList<>();
  private final List<CrashingEndpoint> endpoints = new ArrayList<>();
  private int endpointCount = 4;
  private FakeControl control;

  @BeforeEach
  void start() throws Exception {
    control =
        closer.register(
            FakeControl.start(
                PeerSecurity.of(SharedKey.of(SHARED_KEY.getBytes(StandardCharsets.UTF_8)))));
    control.put("/routing/pools/" + POOL, "{\"healthPath\":\"/health\",\"maxConnections\":50}");
    control.put("/routing/publication", "{\"version\":1}");
    for (String kind : List.of("safe", "unsafe", "stream")) {
      control.put("/routing/routes/" + kind, route(kind));
    }
  }

  @AfterEach
  void stop() {
    // A watch call that waits for a change would delay the stop.
    control.endLongPolls();
    closer.close();
  }

  /**
   * Guards against requests that are not suspected: those without a body, those that time out, and
   * streams at an endpoint that hangs instead of closing connections.
   */
  @ParameterizedTest
  @CsvSource({
    "CLOSES, NEW, GET, /safe/fatal/1, ''",
    "CLOSES, SAME, GET, /safe/fatal/1, ''",
    "FALLS_SILENT, NEW, GET, /safe/fatal/1, ''",
    "CLOSES, NEW, POST, /unsafe/fatal/1, order",
    "CLOSES, SAME, POST, /unsafe/fatal/1, order",
    "FALLS_SILENT, NEW, POST, /unsafe/fatal/1, order",
    "CLOSES, NEW, POST, /stream/fatal/1, prompt",
    "CLOSES, SAME, POST, /stream/fatal/1, prompt",
    "FALLS_SILENT, NEW, POST, /stream/fatal/1, prompt"
  })
  void stopsRequestOfEveryKind(
      CrashingEndpoint.CrashMode crashMode,
      CrashingEndpoint.Identity identity,
      String method,
      String path,
      String body)
      throws Exception {
    open(crashMode, identity);

    List<Integer> statuses = sendRepeatedly(method, path, body);

    assertStopped(statuses);
  }

  /**
   * Guards against several crashes of an endpoint that restarts under its id and that are counted
   * as one.
   */
  @Test
  void stopsRequestThatCrashesTheSameEndpointRepeatedly() throws Exception {
    endpointCount = 1;
    open(CrashingEndpoint.CrashMode.CLOSES, CrashingEndpoint.Identity.SAME);

    List<Integer> statuses = sendRepeatedly("POST", "/unsafe/fatal/1", "order");

    assertStopped(statuses);
  }

  /** Guards against crash reports that are lost while control has no leader. */
  @Test
  void stopsRequestThatCrashedEndpointsWhileControlHadNoLeader() throws Exception {
    open(CrashingEndpoint.CrashMode.CLOSES, CrashingEndpoint.Identity.NEW);
    control.fault(FakeControl.Fault.ONLY_HEARTBEATS);
    for (int i = 0; i < 2; i++) {
      send(i, "POST", "/unsafe/fatal/1", "order");
      awaitEndpoints();
    }
    // Longer than one call to control may take.
    Thread.sleep(2_500);
    control.fault(FakeControl.Fault.NONE);
    Thread.sleep(500);

    List<Integer> statuses = sendRepeatedly("POST", "/unsafe/fatal/1", "order");

    assertStopped(statuses);
  }

  /**
   * Guards against innocent requests that are refused because they resemble a quarantined request
   * or arrive with it.
   */
  @Test
  void servesOtherRequestsOfTheSameCallers() throws Exception {
    open(CrashingEndpoint.CrashMode.CLOSES, CrashingEndpoint.Identity.NEW);
    sendRepeatedly("GET", "/safe/fatal/1", "");
    awaitEndpoints();

    assertThat(send(0, "GET", "/safe/good/1", "").statusCode()).isEqualTo(200);
    assertThat(send(1, "POST", "/unsafe/good/1", "order").statusCode()).isEqualTo(200);
  }

  private void assertStopped(List<Integer> statuses) throws Exception {
    int crashes = endpoints.stream().mapToInt(endpoint -> endpoint.crashes().size()).sum();
    assertThat(crashes).as("the statuses were " + statuses).isBetween(2, MAX_RUNS);
    awaitEndpoints();
    HttpResponse<String> response = send(0, "GET", "/safe/good/1", "");
    assertThat(response.statusCode()).isEqualTo(200);
  }

  private List<Integer> sendRepeatedly(String method, String path, String body) throws Exception {
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < SEND_COUNT; i++) {
      statuses.add(send(i, method, path, body).statusCode());
      awaitEndpoints();
    }
    return statuses;
  }

  /** Waits until all endpoints run, so that a request that is sent to another one finds it. */
  private void awaitEndpoints() throws Exception {
    await(() -> endpoints.stream().noneMatch(CrashingEndpoint::down));
    // By then the list shows the new starts, and pauses after failures have ended.
    Thread.sleep(300);
  }

  private HttpResponse<String> send(int number, String method, String path, String body)
      throws Exception {
    InetSocketAddress gateway = gateways.get(number % gateways.size());
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + Addresses.text(gateway) + path))
            .header(HeaderDialect.REQUEST, UUID.randomUUID().toString())
            .timeout(WAIT)
            .method(
                method,
                body.isEmpty()
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private void open(CrashingEndpoint.CrashMode crashMode, CrashingEndpoint.Identity identity)
      throws Exception {
    for (int i = 0; i < endpointCount; i++) {
      endpoints.add(
          closer.register(new CrashingEndpoint("endpoint-" + i, crashMode, identity, DOWNTIME)));
    }
    HttpServer list = HttpServer.create(FreePorts.address(), 0);
    list.createContext(
        LineListing.PATH,
        exchange -> {
          StringBuilder page = new StringBuilder();
          endpoints.forEach(endpoint -> page.append(endpoint.listed()));
          byte[] bytes = page.toString().getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
    list.start();
    closer.register(() -> list.stop(0));
    Path key = Files.writeString(folder.resolve("key"), SHARED_KEY);
    for (int i = 0; i < GATEWAYS; i++) {
      InetSocketAddress callers = FreePorts.address();
      InetSocketAddress readiness = FreePorts.address();
      String settings =
          String.join(
              "\n",
              "processId: gateway-" + i,
              "zone: a",
              "callerAddress: \"" + Addresses.text(callers) + "\"",
              "readyAddress: \"" + Addresses.text(readiness) + "\"",
              "adminAddress: \"" + Addresses.text(FreePorts.address()) + "\"",
              "listAddress: \"" + Addresses.text(list.getAddress()) + "\"",
              "control: [\"" + Addresses.text(control.address()) + "\"]",
              "security: {sharedKeyFile: \"" + key + "\"}",
              "sidecarPort: 1",
              "listPeriodMillis: 100",
              "stopLagMillis: 50",
              "graceMillis: 2000",
              "");
      Path file = Files.writeString(folder.resolve("gateway-" + i + ".yaml"), settings);
      closer.register(RelayGateway.start(file, new HeaderDialect(), new LineListing(POOL)));
      gateways.add(callers);
      await(() -> ready(readiness));
    }
  }

  private boolean ready(InetSocketAddress readiness) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + Addresses.text(readiness) + "/")).build();
      return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private static String route(String kind) {
    return "{\"host\":\"127.0.0.1\",\"pathPrefix\":\"/"
        + kind
        + "/\",\"kind\":\""
        + kind
        + "\",\"timeoutMillis\":1000,\"targetLatencyMillis\":300,\"open\":true,\"maxAttempts\":2,"
        + "\"resumable\":false,\"targets\":[{\"pool\":\""
        + POOL
        + "\",\"weight\":1}]}";
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + WAIT.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("the condition holds in time").isLessThan(end);
      Thread.sleep(10);
    }
  }
}
