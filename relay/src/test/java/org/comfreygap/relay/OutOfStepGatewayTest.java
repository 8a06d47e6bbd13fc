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
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests a gateway whose list is older than a release, beside one that lists the new version.
 *
 * <p>Guards against streams of the new version that are taken up at such a gateway and go on at the
 * old one.
 */
class OutOfStepGatewayTest {

  private static final int IN_STEP = 0;
  private static final int OUT_OF_STEP = 1;
  private static final int STREAMS = 12;
  private static final int EVENTS_BEFORE_BREAK = 4;

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private final List<StreamingEndpoint> endpoints = new CopyOnWriteArrayList<>();
  private volatile int listedOutOfStep = Integer.MAX_VALUE;
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = closer.register(GatewayFleet.withOwnLists(folder, this::listed));
    add("v1");
    add("v1");
    fleet.open(2);
    for (int gateway : List.of(IN_STEP, OUT_OF_STEP)) {
      assertThat(send(gateway, Map.of()).statusCode()).isEqualTo(200);
    }
    listedOutOfStep = endpoints.size();
    add("v2");
    // By then the gateway in step has read the list.
    Thread.sleep(500);
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  @Test
  void refusesTakeUpWhileItListsNoEndpointOfTheVersion() throws Exception {
    List<String> begun = beginAtNewVersion();

    for (String id : begun) {
      HttpResponse<String> response = takeUp(OUT_OF_STEP, id);
      assertThat(response.statusCode()).isEqualTo(503);
      assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }
  }

  @Test
  void takesUpStreamAtItsVersionOnceItListsIt() throws Exception {
    List<String> begun = beginAtNewVersion();
    listedOutOfStep = Integer.MAX_VALUE;
    Thread.sleep(500);

    for (String id : begun) {
      HttpResponse<String> response = takeUp(OUT_OF_STEP, id);
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).contains("v2").doesNotContain("v1");
    }
  }

  /**
   * Guards against a caller that names no attempt and is joined to the only version in the list.
   */
  @Test
  void refusesTakeUpOfUnknownOriginThoughItListsOneVersion() throws Exception {
    beginAtNewVersion();

    Map<String, String> unnamed = Map.of(HeaderDialect.LAST_EVENT_ID, "4");
    assertThat(send(OUT_OF_STEP, unnamed).statusCode()).isEqualTo(503);
  }

  /** Returns the ids of streams that the new version began through the gateway in step. */
  private List<String> beginAtNewVersion() throws Exception {
    endpoints.forEach(endpoint -> endpoint.breakAfter(EVENTS_BEFORE_BREAK));
    StreamingEndpoint newest = endpoints.get(endpoints.size() - 1);
    List<String> begun = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      String id = UUID.randomUUID().toString();
      sendAndBreakOff(id);
      if (newest.requests().stream().anyMatch(request -> request.id().equals(id))) {
        begun.add(id);
      }
    }
    assertThat(begun).isNotEmpty();
    endpoints.forEach(endpoint -> endpoint.breakAfter(Integer.MAX_VALUE));
    return begun;
  }

  private void sendAndBreakOff(String id) throws InterruptedException {
    try {
      send(IN_STEP, Map.of(HeaderDialect.REQUEST, id));
    } catch (IOException e) {
      // Broken off, as intended.
      return;
    }
  }

  private HttpResponse<String> takeUp(int gateway, String begunBy) throws Exception {
    return send(
        gateway,
        Map.of(
            HeaderDialect.LAST_EVENT_ID,
            String.valueOf(EVENTS_BEFORE_BREAK),
            HeaderDialect.BEGUN_BY,
            begunBy));
  }

  private HttpResponse<String> send(int gateway, Map<String, String> headers)
      throws IOException, InterruptedException {
    return fleet.send(gateway, "POST", "/once/1", "prompt", headers);
  }

  private void add(String version) throws IOException {
    String id = "endpoint-" + endpoints.size() + "-" + version;
    endpoints.add(closer.register(new StreamingEndpoint(id, version)));
  }

  private String listed(int gateway) {
    int count =
        gateway == OUT_OF_STEP ? Math.min(listedOutOfStep, endpoints.size()) : endpoints.size();
    StringBuilder page = new StringBuilder();
    endpoints.subList(0, count).forEach(endpoint -> page.append(endpoint.listed()));
    return page.toString();
  }
}
