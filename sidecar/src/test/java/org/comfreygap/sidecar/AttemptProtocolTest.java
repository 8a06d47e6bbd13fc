package org.comfreygap.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Stream;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.Outcome;
import org.comfreygap.protocol.generated.RefusalReason;
import org.comfreygap.testkit.FakeEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The contract of {@code /attempts} with gateways. */
class AttemptProtocolTest {

  private FakeEngine engine;
  private SidecarFixture fixture;

  @BeforeEach
  void start() throws Exception {
    engine = FakeEngine.builder("engine-1").loadMillis(20).slots(2).maxBatch(1).start();
    fixture = SidecarFixture.engine(engine, 2, 1);
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  /** Guards against attempts that no gateway signed. */
  @Test
  void rejectsUnsignedAttempts() throws Exception {
    byte[] body =
        new TSerializer(new TCompactProtocol.Factory()).serialize(TestGateway.attempt("a", 1));
    String wrongPath = SidecarFixture.KEY.signHttp("/attempts/cancel", body);
    assertThat(fixture.gateway.status("/attempts", body, "")).isEqualTo(401);
    assertThat(fixture.gateway.status("/attempts", body, wrongPath)).isEqualTo(401);
    byte[] noise = "noise".getBytes(StandardCharsets.UTF_8);
    String signature = SidecarFixture.KEY.signHttp("/attempts", noise);
    assertThat(fixture.gateway.status("/attempts", noise, signature)).isEqualTo(400);
    assertThat(engine.record().runs()).isEmpty();
  }

  static Stream<Arguments> refusals() {
    return Stream.of(
        Arguments.of(
            RefusalReason.WRONG_ENDPOINT, TestGateway.attempt("a", 1).setEndpoint("engine-2")),
        Arguments.of(
            RefusalReason.WRONG_ENDPOINT, TestGateway.call("GET", "/x").setEndpoint("engine-1")),
        Arguments.of(RefusalReason.DEADLINE, TestGateway.attempt("a", 1).setDeadlineMillis(0)),
        Arguments.of(RefusalReason.KEY_WITHDRAWN, TestGateway.attempt("a", 1).setKeyId("k2")),
        Arguments.of(RefusalReason.KEY_WITHDRAWN, TestGateway.attempt("a", 1).setKeyId("")),
        Arguments.of(RefusalReason.KEY_WITHDRAWN, TestGateway.attempt("a", 1).setAdapter("red/a")),
        Arguments.of(
            RefusalReason.STALE_SETTINGS,
            TestGateway.attempt("a", 1).setKeyId("k2").setSettingsRevision(1_000)),
        Arguments.of(
            RefusalReason.UNKNOWN_ATTEMPT, TestGateway.attempt("a", 1).setAttachOnly(true)));
  }

  /** Guards against work that the settings or the attempt itself forbid. */
  @ParameterizedTest
  @MethodSource("refusals")
  void refusesBeforeDispatch(RefusalReason reason, AttemptRequest request) throws Exception {
    TestGateway.Reply reply = fixture.gateway.run(request);
    assertThat(reply.refusal()).isEqualTo(reason);
    assertThat(reply.last.getRefusal().getReport().getEndpoint()).isEqualTo("engine-1");
    assertThat(engine.record().runs()).isEmpty();
  }

  static Stream<Arguments> changes() {
    String out = "{\"state\":\"out\"}";
    String withdrawn = "{\"sha256\":\"" + "ab".repeat(32) + "\",\"state\":\"withdrawn\"}";
    String leaving =
        SidecarFixture.document(
            "engine", "\"baseModel\":\"base\"", 2, 1, "1,\"rampSeconds\":0", "leaving");
    return Stream.of(
        Arguments.of(RefusalReason.ZONE_OUT, "/platform/zones/z1", out),
        Arguments.of(RefusalReason.LEAVING, "/platform/endpoints/engine-1", leaving),
        Arguments.of(RefusalReason.KEY_WITHDRAWN, "/teams/blue/customers/press/keys/k1", withdrawn),
        Arguments.of(RefusalReason.QUARANTINED, "quarantine", "fp-b"),
        Arguments.of(RefusalReason.STALE_SETTINGS, "cut off", ""));
  }

  /**
   * Guards against queued work that is dispatched although the zone, the endpoint, the key or the
   * settings lease ended meanwhile; running work must finish.
   */
  @ParameterizedTest
  @MethodSource("changes")
  void refusesQueuedAttemptsThatSettingsForbid(RefusalReason reason, String path, String document)
      throws Exception {
    // The settings lease lasts 5 s after control is cut off; the other changes act at once.
    int tokens = path.equals("cut off") ? 1_300 : 200;
    TestGateway.Reply running = fixture.gateway.post(TestGateway.attempt("a", tokens));
    running.awaitData();
    TestGateway.Reply queued = fixture.gateway.post(TestGateway.attempt("b", 5));
    SidecarFixture.await("it is queued", () -> fixture.sidecar.queued() == 1);
    switch (path) {
      case "quarantine" -> fixture.control.quarantine(document, 60_000);
      case "cut off" -> fixture.control.cutOff = true;
      default -> fixture.control.put(path, document);
    }
    queued.await();
    assertThat(queued.refusal()).isEqualTo(reason);
    assertThat(queued.last.getRefusal().getOutcome()).isEqualTo(Outcome.NOT_RUN);
    running.await();
    assertThat(running.finished()).as("%s", running.last).isTrue();
    assertThat(engine.record().runs()).hasSize(1);
  }

  /** Guards against running one attempt twice when it is delivered twice. */
  @Test
  void duplicateAttachesToFirstAttempt() throws Exception {
    AttemptRequest request = TestGateway.attempt("a", 60);
    TestGateway.Reply first = fixture.gateway.post(request);
    first.awaitData();
    TestGateway.Reply second = fixture.gateway.run(request);
    assertThat(second.finished()).as("%s", second.last).isTrue();
    assertThat(second.text()).startsWith(first.text());
    assertThat(engine.record().runs()).hasSize(1);
  }

  /** Guards against a claim that an attempt did not run after its answer was dropped. */
  @Test
  void duplicateAfterReleaseHasUnknownOutcome() throws Exception {
    AttemptRequest request = TestGateway.attempt("a", 2);
    TestGateway.Reply reply = fixture.gateway.run(request);
    while (reply.finished()) {
      Thread.sleep(200);
      reply = fixture.gateway.run(request);
    }
    assertThat(reply.refusal()).isEqualTo(RefusalReason.UNKNOWN_ATTEMPT);
    assertThat(reply.last.getRefusal().getOutcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(fixture.gateway.cancel(request.getAttemptId()).getOutcome())
        .isEqualTo(Outcome.UNKNOWN);
    assertThat(engine.record().runs()).hasSize(1);
  }

  /** Guards against a lost or doubled part of the answer after a silent connection. */
  @Test
  void gatewayReattachesAtOffset() throws Exception {
    AttemptRequest request = TestGateway.attempt("a", 100);
    TestGateway.Reply first = fixture.gateway.post(request);
    first.awaitData();
    first.stopReading();
    long offset = first.bytes();
    String start = first.text();
    TestGateway.Reply second =
        fixture.gateway.run(
            request.deepCopy().setAttachOnly(true).setResumeOffset(offset).setBody(new byte[0]));
    assertThat(second.finished()).as("%s", second.last).isTrue();
    assertThat(start.substring(0, (int) offset) + second.text())
        .contains("100/100")
        .endsWith("data: [DONE]\n\n");
    assertThat(engine.record().runs()).hasSize(1);
  }

  /** Guards against a delayed start of an attempt that its gateway has given up. */
  @Test
  void cancelledIdNeverStarts() throws Exception {
    AttemptRequest request = TestGateway.attempt("a", 1);
    fixture.gateway.cancel(request.getAttemptId());
    TestGateway.Reply reply = fixture.gateway.run(request);
    assertThat(reply.refusal()).isEqualTo(RefusalReason.CANCELLED);
    assertThat(engine.record().runs()).isEmpty();
  }

  /** Guards against a claim that a running attempt did not run, and against a lost unit. */
  @Test
  void cancellingEndsRunningAndQueuedAttempts() throws Exception {
    AttemptRequest request = TestGateway.attempt("a", 5_000);
    TestGateway.Reply running = fixture.gateway.post(request);
    running.awaitData();
    AttemptRequest waiting = TestGateway.attempt("a", 5);
    TestGateway.Reply queued = fixture.gateway.post(waiting);
    SidecarFixture.await("it is queued", () -> fixture.sidecar.queued() == 1);
    assertThat(fixture.gateway.cancel(waiting.getAttemptId()).getOutcome())
        .isEqualTo(Outcome.NOT_RUN);
    assertThat(queued.await().refusal()).isEqualTo(RefusalReason.CANCELLED);
    assertThat(fixture.gateway.cancel(request.getAttemptId()).getOutcome())
        .isEqualTo(Outcome.UNKNOWN);
    assertThat(running.await().last.getFailure().getOutcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(fixture.gateway.run(TestGateway.attempt("a", 5)).finished()).isTrue();
    assertThat(engine.record().runs())
        .extracting(r -> r.state())
        .containsExactly("cancelled", "finished");
  }

  /** Guards against a connection that is taken for silent while an attempt waits. */
  @Test
  void sendsBeatsWhileIdle() throws Exception {
    AttemptRequest blocking = TestGateway.attempt("a", 20_000);
    TestGateway.Reply running = fixture.gateway.post(blocking);
    running.awaitData();
    TestGateway.Reply queued = fixture.gateway.post(TestGateway.attempt("a", 5));
    SidecarFixture.await("two beats", () -> queued.beats() >= 2);
    fixture.gateway.cancel(blocking.getAttemptId());
    assertThat(queued.await().finished()).as("%s", queued.last).isTrue();
  }

  /** Guards against a deadline that passes unnoticed in the queue or at the engine. */
  @Test
  void deadlinesEndQueuedAndRunningAttempts() throws Exception {
    TestGateway.Reply running =
        fixture.gateway.post(TestGateway.attempt("a", 5_000).setDeadlineMillis(1_500));
    running.awaitData();
    TestGateway.Reply queued =
        fixture.gateway.run(TestGateway.attempt("a", 5).setDeadlineMillis(300));
    assertThat(queued.refusal()).isEqualTo(RefusalReason.DEADLINE);
    assertThat(running.await().last.getFailure().getOutcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** Guards against a key or cookie that reaches the endpoint whatever a gateway sends. */
  @Test
  void onlyAllowListedHeadersReachTheEndpoint() throws Exception {
    engine.record().watchKey("secret");
    AttemptRequest request =
        TestGateway.attempt("a", 2)
            .setHeaders(
                Map.of(
                    "Authorization", "Bearer secret",
                    "Cookie", "session=secret",
                    "X-Api-Key", "secret",
                    "Accept", "text/event-stream"));
    assertThat(fixture.gateway.run(request).finished()).isTrue();
    assertThat(engine.record().events(org.comfreygap.testkit.EndpointRecord.EventKind.KEY_SEEN))
        .isEmpty();
  }

  /** Guards against attempts that go on although nobody will read their answer. */
  @Test
  void cancelsAttemptWithoutGatewayAfterGracePeriod() throws Exception {
    // The deadline is far off, so that only the missing gateway can end the attempt.
    TestGateway.Reply reply =
        fixture.gateway.post(TestGateway.attempt("a", 20_000).setDeadlineMillis(600_000));
    reply.awaitData();
    reply.disconnect();
    SidecarFixture.await(
        "the engine's run is cancelled",
        () -> engine.record().runs().get(0).state().equals("cancelled"));
  }

  /** Guards against a planned stop that cuts a request, and against work taken meanwhile. */
  @Test
  void plannedStopFinishesRunningAndRefusesQueuedAttempts() throws Exception {
    TestGateway.Reply running = fixture.gateway.post(TestGateway.attempt("a", 150));
    running.awaitData();
    TestGateway.Reply queued = fixture.gateway.post(TestGateway.attempt("a", 5));
    SidecarFixture.await("it is queued", () -> fixture.sidecar.queued() == 1);
    fixture.sidecar.close();
    assertThat(queued.await().refusal()).isEqualTo(RefusalReason.STOPPING);
    assertThat(running.await().finished()).as("%s", running.last).isTrue();
  }
}
