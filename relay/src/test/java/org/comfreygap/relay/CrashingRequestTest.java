package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.comfreygap.runtime.Closer;
import org.comfreygap.testkit.FakeControl;
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

  /** Time for which an endpoint is down after a crash. */
  private static final Duration DOWNTIME = Duration.ofMillis(700);

  /** Number of times that the caller sends its request, each time through the next gateway. */
  private static final int SEND_COUNT = 9;

  /** The platform tolerates three crashes and three more sends of one request. */
  private static final int MAX_RUNS = 6;

  private static final int GATEWAYS = 2;

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private final List<CrashingEndpoint> endpoints = new CopyOnWriteArrayList<>();
  private int endpointCount = 4;
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = closer.register(new GatewayFleet(folder, this::listed));
  }

  @AfterEach
  void stop() {
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
    fleet.control().fault(FakeControl.Fault.ONLY_HEARTBEATS);
    for (int i = 0; i < 2; i++) {
      fleet.send(i, "POST", "/unsafe/fatal/1", "order");
      awaitEndpoints();
    }
    // Longer than one call to control may take.
    Thread.sleep(2_500);
    fleet.control().fault(FakeControl.Fault.NONE);
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

    assertThat(fleet.send(0, "GET", "/safe/good/1", "").statusCode()).isEqualTo(200);
    assertThat(fleet.send(1, "POST", "/unsafe/good/1", "order").statusCode()).isEqualTo(200);
  }

  private void assertStopped(List<Integer> statuses) throws Exception {
    int crashes = endpoints.stream().mapToInt(endpoint -> endpoint.crashes().size()).sum();
    assertThat(crashes).as("the statuses were " + statuses).isBetween(2, MAX_RUNS);
    awaitEndpoints();
    HttpResponse<String> response = fleet.send(0, "GET", "/safe/good/1", "");
    assertThat(response.statusCode()).isEqualTo(200);
  }

  private List<Integer> sendRepeatedly(String method, String path, String body) throws Exception {
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < SEND_COUNT; i++) {
      statuses.add(fleet.send(i, method, path, body).statusCode());
      awaitEndpoints();
    }
    return statuses;
  }

  /** Waits until all endpoints run, so that a request that is sent to another one finds it. */
  private void awaitEndpoints() throws Exception {
    GatewayFleet.await(() -> endpoints.stream().noneMatch(CrashingEndpoint::down));
    // By then the list shows the new starts, and pauses after failures have ended.
    Thread.sleep(300);
  }

  private void open(CrashingEndpoint.CrashMode crashMode, CrashingEndpoint.Identity identity)
      throws Exception {
    for (int i = 0; i < endpointCount; i++) {
      endpoints.add(
          closer.register(new CrashingEndpoint("endpoint-" + i, crashMode, identity, DOWNTIME)));
    }
    fleet.open(GATEWAYS);
  }

  private String listed() {
    StringBuilder page = new StringBuilder();
    endpoints.forEach(endpoint -> page.append(endpoint.listed()));
    return page.toString();
  }
}
