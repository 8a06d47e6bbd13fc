package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests streams that break off while endpoints of two software versions serve.
 *
 * <p>Guards against a stream whose first part was written by one version and the rest by another,
 * which neither endpoint nor caller can notice.
 */
class StreamVersionTest {

  private static final int GATEWAYS = 3;
  private static final int STREAMS = 24;
  private static final int CONCURRENT_STREAMS = 8;
  private static final int EVENTS_BEFORE_BREAK = 4;

  private static final String LONGER_PREFIX = "/once/long/";

  /** Time after which every gateway has read the list. */
  private static final long LIST_PERIOD_MILLIS = 2_500;

  /** Time after which every gateway has the newest settings. */
  private static final long SETTINGS_MILLIS = 500;

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private final List<StreamingEndpoint> endpoints = new CopyOnWriteArrayList<>();
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = closer.register(new GatewayFleet(folder, this::listed));
    add("v1");
    add("v1");
    fleet.open(GATEWAYS);
    // The version that serves alone writes its first streams before another one comes.
    for (int i = 0; i < GATEWAYS; i++) {
      assertThat(send("once", i, Map.of()).statusCode()).isEqualTo(200);
    }
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against a gateway that sends the rest of a stream to any other endpoint. */
  @Test
  void continuesResponseAtTheVersionThatBeganIt() throws Exception {
    addSecondVersion();
    // Two attempts bring the whole stream.
    endpoints.forEach(endpoint -> endpoint.breakAfter(StreamingEndpoint.EVENTS / 2 + 1));

    for (int i = 0; i < STREAMS; i++) {
      HttpResponse<String> response = send("resumable", i, Map.of());
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(versions(response.body())).hasSize(1);
    }
  }

  /** Guards against take-ups through any gateway that go on at another version. */
  @Test
  void takesUpStreamAtTheVersionThatBeganIt() throws Exception {
    addSecondVersion();
    List<BegunStream> begun = beginStreams();

    assertTakenUp(begun);
  }

  /**
   * Guards against streams that are taken for ones of the base of a route which was added after
   * they began.
   */
  @Test
  void takesUpStreamAtItsVersionAfterItsPathGotARouteOfItsOwn() throws Exception {
    addSecondVersion();
    restartFirstVersion();
    List<BegunStream> begun = beginStreams();
    addRoute("once-long", LONGER_PREFIX);

    assertTakenUp(begun);
  }

  /** Guards against the same when no gateway is left that served the streams. */
  @Test
  void takesUpStreamAtItsVersionAfterItsRouteWasRenamedAndAllGatewaysRestarted() throws Exception {
    addSecondVersion();
    restartFirstVersion();
    List<BegunStream> begun = beginStreams();
    fleet.control().delete("/routing/routes/once");
    addRoute("renamed", "/once/");
    fleet.stopFirst(GATEWAYS);
    fleet.open(GATEWAYS);

    assertTakenUp(begun);
  }

  /** Guards against versions that are forgotten when all gateways lose power at once. */
  @Test
  void takesUpStreamAtItsVersionAfterAllGatewaysRestarted() throws Exception {
    addSecondVersion();
    List<BegunStream> begun = beginStreams();
    fleet.stopFirst(GATEWAYS);
    fleet.open(GATEWAYS);

    assertTakenUp(begun);
  }

  /** Guards against a stream of a version that has left and that is joined to another one. */
  @Test
  void refusesTakeUpWhenItsVersionHasLeft() throws Exception {
    addSecondVersion();
    List<BegunStream> begun = beginStreams();
    fleet.stopFirst(GATEWAYS);
    endpoints.removeIf(endpoint -> endpoint.version().equals("v1"));
    fleet.open(GATEWAYS);

    for (BegunStream stream : begun) {
      HttpResponse<String> response = takeUp(1, stream);
      assertThat(response.statusCode()).isEqualTo(stream.version.equals("v1") ? 503 : 200);
      assertThat(versions(response.body())).doesNotContain(other(stream.version));
    }
    assertThat(send("once", 0, Map.of()).statusCode()).isEqualTo(200);
  }

  /** Guards against a take-up that names no attempt and is joined to whatever version serves. */
  @Test
  void refusesTakeUpOfUnknownOriginOnlyWhileTwoVersionsServe() throws Exception {
    Map<String, String> unnamed = Map.of(HeaderDialect.LAST_EVENT_ID, "4");
    assertThat(send("once", 0, unnamed).statusCode()).isEqualTo(200);

    addSecondVersion();
    beginStreams();
    endpoints.forEach(endpoint -> endpoint.breakAfter(Integer.MAX_VALUE));
    for (int i = 0; i < GATEWAYS; i++) {
      assertThat(send("once", i, unnamed).statusCode()).isEqualTo(503);
    }
  }

  private record BegunStream(String requestId, String version) {}

  /** Begins streams that break off after some events, at endpoints of both versions. */
  private List<BegunStream> beginStreams() throws Exception {
    endpoints.forEach(endpoint -> endpoint.breakAfter(EVENTS_BEFORE_BREAK));
    List<String> ids = Stream.generate(() -> UUID.randomUUID().toString()).limit(STREAMS).toList();
    ExecutorService callers = Executors.newFixedThreadPool(CONCURRENT_STREAMS);
    for (int i = 0; i < STREAMS; i++) {
      int number = i;
      callers.execute(() -> sendAndBreakOff(number, ids.get(number)));
    }
    callers.shutdown();
    assertThat(callers.awaitTermination(10, TimeUnit.SECONDS)).isTrue();
    List<BegunStream> begun = new ArrayList<>();
    for (String id : ids) {
      endpoints.stream()
          .filter(endpoint -> endpoint.requests().stream().anyMatch(r -> r.id().equals(id)))
          .forEach(endpoint -> begun.add(new BegunStream(id, endpoint.version())));
    }
    assertThat(begun).hasSize(STREAMS);
    assertThat(begun.stream().map(BegunStream::version).distinct()).hasSize(2);
    return begun;
  }

  private void sendAndBreakOff(int gateway, String id) {
    try {
      send("once", gateway, Map.of(HeaderDialect.REQUEST, id));
    } catch (IOException e) {
      // Broken off, as intended.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void assertTakenUp(List<BegunStream> begun) throws Exception {
    endpoints.forEach(endpoint -> endpoint.breakAfter(Integer.MAX_VALUE));
    for (int i = 0; i < begun.size(); i++) {
      BegunStream stream = begun.get(i);
      HttpResponse<String> response = takeUp(i + 1, stream);
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(versions(response.body())).containsExactly(stream.version);
    }
  }

  private HttpResponse<String> takeUp(int gateway, BegunStream stream) throws Exception {
    endpoints.forEach(endpoint -> endpoint.breakAfter(Integer.MAX_VALUE));
    return send(
        "once",
        gateway,
        Map.of(
            HeaderDialect.LAST_EVENT_ID,
            String.valueOf(EVENTS_BEFORE_BREAK),
            HeaderDialect.BEGUN_BY,
            stream.requestId));
  }

  private HttpResponse<String> send(String route, int gateway, Map<String, String> headers)
      throws IOException, InterruptedException {
    return fleet.send(gateway, "POST", "/" + route + "/long/1", "prompt", headers);
  }

  private void addSecondVersion() throws Exception {
    add("v2");
    add("v2");
    Thread.sleep(LIST_PERIOD_MILLIS);
  }

  private void add(String version) throws IOException {
    endpoints.add(
        closer.register(
            new StreamingEndpoint("endpoint-" + endpoints.size() + "-" + version, version)));
  }

  /** Lets the second version be listed before the first one, which starts again. */
  private void restartFirstVersion() throws Exception {
    endpoints.removeIf(endpoint -> endpoint.version().equals("v1"));
    add("v1");
    add("v1");
    Thread.sleep(LIST_PERIOD_MILLIS);
  }

  /** Adds a route like {@code /once/} and waits until all gateways use it. */
  private void addRoute(String name, String prefix) throws InterruptedException {
    fleet
        .control()
        .put("/routing/routes/" + name, GatewayFleet.routeBelow(prefix, "stream", true, 1));
    Thread.sleep(SETTINGS_MILLIS);
  }

  private static String other(String version) {
    return version.equals("v1") ? "v2" : "v1";
  }

  private static List<String> versions(String body) {
    return body.lines()
        .filter(line -> line.startsWith("data: "))
        .map(line -> line.substring(6))
        .distinct()
        .toList();
  }

  private String listed() {
    StringBuilder page = new StringBuilder();
    endpoints.forEach(endpoint -> page.append(endpoint.listed()));
    return page.toString();
  }
}
