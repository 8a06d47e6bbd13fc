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

/** Tests the protocol of {@code /attempts} between gateways and the sidecar. */
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

  /** Guards against accepting attempts without a valid signature. */
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

  /** Guards against running attempts that are invalid or forbidden by the settings. */
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
        Arguments.of(RefusalReason.STALE_SETTINGS, "unavailable", ""));
  }

  /**
   * Guards against dispatching queued attempts after their zone, endpoint, key or fingerprint was
   * disabled or the settings lease expired; running attempts must finish.
   */
  @ParameterizedTest
  @MethodSource("changes")
  void refusesQueuedAttemptsThatSettingsForbid(RefusalReason reason, String path, String document)
      throws Exception {
    // The settings lease lasts 5 s after control becomes unavailable; the other changes take effect
    // immediately.
    int tokens = path.equals("unavailable") ? 1_300 : 200;
    TestGateway.Reply running = fixture.gateway.post(TestGateway.attempt("a", tokens));
    running.awaitData();
    TestGateway.Reply queued = fixture.gateway.post(TestGateway.attempt("b", 5));
    SidecarFixture.await("the attempt is queued", () -> fixture.sidecar.queued() == 1);
    switch (path) {
      case "quarantine" -> fixture.control.quarantine(document, 60_000);
      case "unavailable" -> fixture.control.unavailable = true;
      default -> fixture.control.put(path, document);
    }
    queued.await();
    assertThat(queued.refusal()).isEqualTo(reason);
    assertThat(queued.last.getRefusal().getOutcome()).isEqualTo(Outcome.NOT_RUN);
    running.await();
    assertThat(running.finished()).as("%s", running.last).isTrue();
    assertThat(engine.record().runs()).hasSize(1);
  }

  /** Guards against running an attempt twice when it is delivered twice. */
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

  /** Guards against reporting NOT_RUN for an attempt that ran but whose response was dropped. */
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

  /**
   * Guards against lost or duplicated bytes when a gateway reattaches after a stalled connection.
   */
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

  /** Guards against starting an attempt that arrives after its cancellation. */
  @Test
  void cancelledIdNeverStarts() throws Exception {
    AttemptRequest request = TestGateway.attempt("a", 1);
    fixture.gateway.cancel(request.getAttemptId());
    TestGateway.Reply reply = fixture.gateway.run(request);
    assertThat(reply.refusal()).isEqualTo(RefusalReason.CANCELLED);
    assertThat(engine.record().runs()).isEmpty();
  }

  /** Guards against reporting NOT_RUN for a running attempt, and against a leaked ramp unit. */
  @Test
  void cancellingEndsRunningAndQueuedAttempts() throws Exception {
    AttemptRequest request = TestGateway.attempt("a", 5_000);
    TestGateway.Reply running = fixture.gateway.post(request);
    running.awaitData();
    AttemptRequest waiting = TestGateway.attempt("a", 5);
    TestGateway.Reply queued = fixture.gateway.post(waiting);
    SidecarFixture.await("the attempt is queued", () -> fixture.sidecar.queued() == 1);
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

  /** Guards against gateways considering a connection dead while an attempt waits. */
  @Test
  void sendsBeatsWhileIdle() throws Exception {
    AttemptRequest blocking = TestGateway.attempt("a", 20_000);
    TestGateway.Reply running = fixture.gateway.post(blocking);
    running.awaitData();
    TestGateway.Reply queued = fixture.gateway.post(TestGateway.attempt("a", 5));
    SidecarFixture.await("two beats are received", () -> queued.beats() >= 2);
    fixture.gateway.cancel(blocking.getAttemptId());
    assertThat(queued.await().finished()).as("%s", queued.last).isTrue();
  }

  /** Guards against deadlines that are not enforced in the queue or at the engine. */
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

  /** Guards against forwarding keys or cookies from a gateway to the endpoint. */
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

  /** Guards against attempts that keep running although no gateway reads their response. */
  @Test
  void cancelsAttemptWithoutGatewayAfterGracePeriod() throws Exception {
    // The deadline is far off, so that only the missing gateway can end the attempt.
    TestGateway.Reply reply =
        fixture.gateway.post(TestGateway.attempt("a", 20_000).setDeadlineMillis(600_000));
    reply.awaitData();
    reply.disconnect();
    SidecarFixture.await(
        "the engine cancels the run",
        () -> engine.record().runs().get(0).state().equals("cancelled"));
  }

  /** Guards against a planned stop that interrupts running attempts or dispatches queued ones. */
  @Test
  void plannedStopFinishesRunningAndRefusesQueuedAttempts() throws Exception {
    TestGateway.Reply running = fixture.gateway.post(TestGateway.attempt("a", 150));
    running.awaitData();
    TestGateway.Reply queued = fixture.gateway.post(TestGateway.attempt("a", 5));
    SidecarFixture.await("the attempt is queued", () -> fixture.sidecar.queued() == 1);
    fixture.sidecar.close();
    assertThat(queued.await().refusal()).isEqualTo(RefusalReason.STOPPING);
    assertThat(running.await().finished()).as("%s", running.last).isTrue();
  }
}
