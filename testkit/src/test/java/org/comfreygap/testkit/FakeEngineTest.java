package org.comfreygap.testkit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.comfreygap.testkit.EndpointRecord.EventKind;
import org.junit.jupiter.api.Test;

/** Tests that the fakes record each violation, and none that did not happen. */
class FakeEngineTest {

  private static final String ADAPTER = "t/a@v1";
  private static final Duration LIMIT = Duration.ofSeconds(30);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  @Test
  void responseCarriesAdapterNonceAttemptAndCount() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("e").start()) {
      assertThat(load(engine, ADAPTER, 1).statusCode()).isEqualTo(200);
      String response = complete(engine, "r1", ADAPTER, 3, true).body();
      assertThat(response)
          .contains("t/a@v1 n7 r1 1/3;")
          .contains("t/a@v1 n7 r1 3/3;")
          .contains("\"completion_tokens\":3")
          .endsWith("data: [DONE]\n\n");
      assertThat(complete(engine, "r2", ADAPTER, 2, false).body())
          .contains("t/a@v1 n7 r2 1/2;t/a@v1 n7 r2 2/2;");
      assertThat(engine.record().runs()).allMatch(run -> run.state().equals("finished"));
    }
  }

  /** A test that reads the record right after a response must not find the run still open. */
  @Test
  void runIsRecordedAsFinishedBeforeItsResponseEnds() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("e").loadMillis(1).start()) {
      load(engine, ADAPTER, 1);
      for (int i = 0; i < 300; i++) {
        complete(engine, "r" + i, ADAPTER, 1, false);
        assertThat(engine.record().runs()).extracting(run -> run.state()).containsOnly("finished");
      }
    }
  }

  @Test
  void adapterThatIsNotResidentIsRefusedAndLoadsAreBoundedBySlots() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("e").slots(1).loadMillis(1).start()) {
      assertThat(complete(engine, "r1", ADAPTER, 1, true).statusCode()).isEqualTo(404);
      assertThat(load(engine, ADAPTER, 1).statusCode()).isEqualTo(200);
      assertThat(load(engine, "t/b@v1", 1).statusCode()).isEqualTo(409);
      assertThat(engine.record().runs()).isEmpty();
    }
  }

  @Test
  void staleFencingIsRejectedWhereTheEngineChecksIt() throws Exception {
    try (FakeEngine checks = FakeEngine.builder("e").loadMillis(1).start();
        FakeEngine ignores = FakeEngine.builder("f").loadMillis(1).checksFencing(false).start()) {
      load(checks, ADAPTER, 5);
      load(ignores, ADAPTER, 5);
      assertThat(load(checks, "t/b@v1", 4).statusCode()).isEqualTo(412);
      assertThat(load(ignores, "t/b@v1", 4).statusCode()).isEqualTo(200);
      assertThat(ignores.record().events(EventKind.STALE_FENCING)).hasSize(1);
    }
  }

  @Test
  void unloadInUseIsRecorded() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("e").loadMillis(1).start()) {
      load(engine, ADAPTER, 1);
      var response = client.sendAsync(request(engine, "r1", ADAPTER, 2_000, true, ""), text());
      await(() -> engine.runningBatch() == 1);
      send(engine, "DELETE", "/engine/adapters/t%2Fa@v1?fencing=1", "");
      assertThat(engine.record().events(EventKind.EVICTED_IN_USE)).hasSize(1);
      assertThatThrownBy(response::join).hasCauseInstanceOf(IOException.class);
    }
  }

  @Test
  void coldEngineRefusesAndRecordsLoadOverItsRamp() throws Exception {
    ColdStart cold = new ColdStart(1, 3_600_000);
    try (FakeEngine engine =
        FakeEngine.builder("e").loadMillis(1).coldStart(cold).warm(false).start()) {
      load(engine, ADAPTER, 1);
      client.sendAsync(request(engine, "r1", ADAPTER, 2_000, true, ""), text());
      await(() -> engine.runningBatch() == 1);
      assertThat(complete(engine, "r2", ADAPTER, 1, true).statusCode()).isEqualTo(503);
      assertThat(engine.record().events(EventKind.COLD_OVERLOAD)).hasSize(1);
    }
  }

  @Test
  void watchedKeyIsFoundInHeadersAndQueryAndBody() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("e").start()) {
      engine.fault(EndpointFault.WATCH_KEY, 1, 0, "secret");
      send(engine, "GET", "/engine/state", "");
      assertThat(engine.record().events(EventKind.KEY_SEEN)).isEmpty();
      send(engine, "GET", "/engine/state?k=secret", "");
      send(engine, "POST", "/engine/adapters", "{\"name\":\"secret\"}");
      assertThat(engine.record().events(EventKind.KEY_SEEN)).hasSize(2);
    }
  }

  @Test
  void cancelAndResumeAtAnOffset() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("e").loadMillis(1).start()) {
      load(engine, ADAPTER, 1);
      String whole = complete(engine, "r1", ADAPTER, 4, true).body();
      assertThat(send(engine, "GET", "/engine/requests/r1?offset=40", "").body())
          .isEqualTo(whole.substring(40));
      client.sendAsync(request(engine, "r2", ADAPTER, 5_000, true, ""), text());
      await(() -> engine.runningBatch() == 1);
      assertThat(send(engine, "POST", "/engine/requests/r2/cancel", "").body())
          .contains("cancelled");
      assertThat(engine.runningBatch()).isZero();
    }
  }

  @Test
  void cacheMovesToAnotherEngine() throws Exception {
    try (FakeEngine from = FakeEngine.builder("e").loadMillis(1).start();
        FakeEngine to = FakeEngine.builder("f").loadMillis(1).start()) {
      load(from, ADAPTER, 1);
      load(to, ADAPTER, 1);
      String whole = complete(from, "r1", ADAPTER, 6, true).body();
      String cache = send(from, "GET", "/engine/kv/r1", "").body();
      assertThat(send(to, "PUT", "/engine/kv/r1", cache).statusCode()).isEqualTo(200);
      assertThat(send(to, "GET", "/engine/requests/r1?offset=0", "").body()).isEqualTo(whole);
    }
  }

  @Test
  void crashMarkerRestartsTheEngineEmpty() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("e").loadMillis(1).start()) {
      load(engine, ADAPTER, 1);
      String boot = engine.bootId();
      HttpRequest crash = request(engine, "r1", ADAPTER, 1, true, FakeEndpoint.CRASH_MARKER);
      assertThatThrownBy(() -> client.send(crash, text())).isInstanceOf(IOException.class);
      await(() -> engine.record().events(EventKind.START).size() == 2);
      assertThat(engine.bootId()).isNotEqualTo(boot);
      assertThat(engine.resident()).isEmpty();
    }
  }

  @Test
  void silencedConnectionStaysSilentAndNewOnesWork() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("e").start()) {
      send(engine, "GET", "/engine/state", "");
      engine.fault(EndpointFault.SILENCE, 1);
      HttpRequest pooled =
          HttpRequest.newBuilder(URI.create(engine.url() + "/engine/state"))
              .timeout(Duration.ofMillis(500))
              .build();
      assertThatThrownBy(() -> client.send(pooled, text())).isInstanceOf(IOException.class);
      HttpClient fresh = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
      assertThat(fresh.send(pooled, text()).statusCode()).isEqualTo(200);
    }
  }

  @Test
  void truncatedResponsesEndAbruptlyOrCleanlyWithoutTheEndMarker() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("e").loadMillis(1).start()) {
      load(engine, ADAPTER, 1);
      engine.fault(EndpointFault.TRUNCATE, 1);
      assertThatThrownBy(() -> complete(engine, "r1", ADAPTER, 8, true))
          .isInstanceOf(IOException.class);
      engine.fault(EndpointFault.TRUNCATE_CLEAN, 1);
      assertThat(complete(engine, "r2", ADAPTER, 8, true).body())
          .contains(" 2/8;")
          .doesNotContain("DONE");
      engine.fault(EndpointFault.CROSSED, 1);
      assertThat(complete(engine, "r3", ADAPTER, 2, true).body()).contains("other-r3");
    }
  }

  @Test
  void failedLoadLeavesNoAdapterAndLostAcknowledgementLeavesTheAdapter() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("e").loadMillis(1).start()) {
      engine.fault(EndpointFault.FAIL_LOADS, 1);
      assertThat(load(engine, ADAPTER, 1).statusCode()).isEqualTo(500);
      assertThat(engine.resident()).isEmpty();
      engine.fault(EndpointFault.LOST_LOAD_ACK, 1);
      assertThatThrownBy(() -> load(engine, ADAPTER, 1)).isInstanceOf(IOException.class);
      assertThat(engine.resident()).containsExactly(ADAPTER);
    }
  }

  @Test
  void fakesFileStartsAllAndTakesFaults() throws Exception {
    String yaml =
        "controlPort: 0\nstore: {loadsPerSecond: 5, fullSpeedLoads: 2, maxInFlight: 16}\n"
            + "platformList: {port: 0, lagMillis: 0}\n"
            + "engines: [{name: e1, port: 0}]\nservices: [{name: s1, service: orders, port: 0}]\n";
    try (FakesMain fakes = FakesMain.start(yaml)) {
      FakeEndpoint service = fakes.endpoint("s1");
      assertThat(send(service, "POST", "/orders", "{\"n\":\"nonce:x1\"}").body()).contains("x1");
      HttpRequest fault =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + fakes.controlPort() + "/fault"))
              .POST(BodyPublishers.ofString("{\"target\":\"s1\",\"fault\":\"truncate-clean\"}"))
              .build();
      assertThat(client.send(fault, text()).statusCode()).isEqualTo(200);
      assertThat(send(service, "POST", "/orders", "{}").body()).doesNotContain("\"end\":true");
    }
  }

  private HttpResponse<String> load(FakeEngine engine, String adapter, int fencing)
      throws Exception {
    String body = "{\"name\":\"" + adapter + "\",\"source\":\"s\",\"fencing\":" + fencing + "}";
    return send(engine, "POST", "/engine/adapters", body);
  }

  private HttpResponse<String> complete(
      FakeEngine engine, String attempt, String adapter, int tokens, boolean stream)
      throws Exception {
    return client.send(request(engine, attempt, adapter, tokens, stream, ""), text());
  }

  private static HttpRequest request(
      FakeEngine engine, String attempt, String adapter, int tokens, boolean stream, String more) {
    String body =
        "{\"model\":\"%s\",\"max_tokens\":%d,\"stream\":%s,\"messages\":[{\"content\":\"%s\"}]}"
            .formatted(adapter, tokens, stream, "nonce:n7 " + more);
    return HttpRequest.newBuilder(URI.create(engine.url() + "/v1/chat/completions"))
        .header("X-Request-Id", attempt)
        .timeout(LIMIT)
        .POST(BodyPublishers.ofString(body))
        .build();
  }

  private HttpResponse<String> send(FakeEndpoint endpoint, String method, String path, String body)
      throws Exception {
    return client.send(
        HttpRequest.newBuilder(URI.create(endpoint.url() + path))
            .timeout(LIMIT)
            .method(method, BodyPublishers.ofString(body))
            .build(),
        text());
  }

  private static HttpResponse.BodyHandler<String> text() {
    return HttpResponse.BodyHandlers.ofString();
  }

  private static void await(java.util.function.BooleanSupplier condition) throws Exception {
    long deadline = System.nanoTime() + LIMIT.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(2);
    }
  }
}
