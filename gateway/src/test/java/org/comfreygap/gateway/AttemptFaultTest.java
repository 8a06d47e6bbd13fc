package org.comfreygap.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.RefusalReason;
import org.comfreygap.testkit.FakeSidecar;
import org.comfreygap.testkit.FakeSidecar.EndpointResponse;
import org.comfreygap.testkit.FakeSidecar.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests faults of sidecars and their connections for each kind of request (I9, I10, I11). */
class AttemptFaultTest {

  private static final String JSON = "{\"text\":\"first half, second half\"}";
  private static final List<String> EVENTS = List.of("one", "two", "three", "[DONE]");
  private static final String STREAM = "data: one\n\ndata: two\n\ndata: three\n\ndata: [DONE]\n\n";
  private static final String SEED = "\"seed\":7,";

  private GatewayFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = GatewayFixture.start(3, 2);
    fixture.sidecars.values().forEach(sidecar -> sidecar.responder(AttemptFaultTest::answer));
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  /**
   * Guards against lost, truncated or mixed responses when a fault interrupts an idempotent
   * request.
   */
  @ParameterizedTest(name = "{0}: {1} starts")
  @CsvSource({
    "REFUSE,             1",
    "CRASH,              2",
    "CLOSE_BEFORE_HEAD,  1",
    "LOSE_REQUEST,       1",
    "SILENT_BEFORE_HEAD, 1",
    "SILENT_HALFWAY,     1",
    "END_HALFWAY,        1",
    "CUT_HALFWAY,        1",
    "FORGET_HALFWAY,     2",
    "WRONG_ATTEMPT,      1",
    "WRONG_OFFSET,       1",
    "WRONG_TOTAL,        1"
  })
  void completesIdempotentRequests(Fault fault, int starts) throws Exception {
    FakeSidecar home = homeEngine();
    home.planFault(fault);

    HttpResponse<String> response = fixture.chat(GatewayFixture.CHAT);

    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    assertThat(response.body()).isEqualTo(JSON);
    assertThat(fixture.startedAttempts() - 1).isEqualTo(starts);
    assertThat(fixture.chat(GatewayFixture.CHAT).body()).isEqualTo(JSON);
  }

  /**
   * Guards against duplicated or spliced streams, and against incomplete streams without an error
   * event.
   */
  @ParameterizedTest(name = "{0}, seed {1}: {2}")
  @CsvSource({
    "REFUSE,             false, complete",
    "CLOSE_BEFORE_HEAD,  false, complete",
    "SILENT_HALFWAY,     false, complete",
    "END_HALFWAY,        false, complete",
    "CUT_HALFWAY,        false, complete",
    "WRONG_ATTEMPT,      false, complete",
    "WRONG_OFFSET,       false, complete",
    "WRONG_TOTAL,        false, complete",
    "CRASH,              false, error",
    "FORGET_HALFWAY,     false, error",
    "CRASH,              true,  complete",
    "FORGET_HALFWAY,     true,  complete"
  })
  void completesStreamsOrEndsThemWithAnError(Fault fault, boolean seed, String expected)
      throws Exception {
    FakeSidecar home = homeEngine();
    home.planFault(fault);

    HttpResponse<String> response = fixture.chat(GatewayFixture.streamRequest(seed ? SEED : ""));

    assertThat(response.statusCode()).isEqualTo(200);
    if (expected.equals("complete")) {
      assertThat(response.body()).isEqualTo(STREAM);
    } else {
      assertThat(response.body()).startsWith("data: one\n\ndata: two\n\ndata: {\"error\"");
      assertThat(response.body()).contains("\"outcome\":\"unknown\"").doesNotContain("[DONE]");
      fixture.awaitEvent(GatewayEvent.ANSWER_BROKEN);
    }
  }

  /**
   * Guards against a response spliced from two different ones when a retry with a seed is not
   * deterministic.
   */
  @Test
  void endsAStreamWithAnErrorWhenTheRetryResponseDiffers() throws Exception {
    FakeSidecar home = homeEngine();
    fixture.sidecars.values().stream()
        .filter(sidecar -> sidecar != home)
        .forEach(
            sidecar ->
                sidecar.responder(
                    request -> EndpointResponse.events(List.of("one", "2", "three", "[DONE]"), 0)));
    home.planFault(Fault.FORGET_HALFWAY);

    HttpResponse<String> response = fixture.chat(GatewayFixture.streamRequest(SEED));

    assertThat(response.body()).startsWith("data: one\n\ndata: two\n\ndata: {\"error\"");
    assertThat(response.body()).doesNotContain("three");
  }

  /** Guards against a non-idempotent call that runs twice or is reported with a wrong outcome. */
  @ParameterizedTest(name = "{0}: {1} {2}, {3} starts")
  @CsvSource({
    "REFUSE,             200, ran,     1",
    "CLOSE_BEFORE_HEAD,  200, ran,     1",
    "SILENT_BEFORE_HEAD, 200, ran,     1",
    "CUT_HALFWAY,        200, ran,     1",
    "END_HALFWAY,        200, ran,     1",
    "LOSE_REQUEST,       502, unknown, 0",
    "CRASH,              502, unknown, 1",
    "FORGET_HALFWAY,     502, unknown, 1"
  })
  void neverRunsNonIdempotentCallsTwice(Fault fault, int status, String outcome, int starts)
      throws Exception {
    FakeSidecar first = fixture.sidecar("orders-1");
    FakeSidecar second = fixture.sidecar("orders-2");
    first.planFault(fault);
    second.planFault(fault);

    HttpResponse<String> response = fixture.callOrders("POST", null, "order");

    assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
    assertThat(GatewayFixture.outcome(response)).isEqualTo(outcome);
    assertThat(first.startedAttempts() + second.startedAttempts()).isEqualTo(starts);
    long sent =
        fixture.sidecars.values().stream()
            .flatMap(sidecar -> sidecar.receivedRequests().stream())
            .filter(attempt -> !attempt.isAttachOnly())
            .count();
    assertThat(sent).isEqualTo(fault == Fault.REFUSE ? 3 : 1);
  }

  /**
   * Guards against a planned move of an endpoint that causes refusals to callers (I8, I12, I13).
   */
  @ParameterizedTest
  @EnumSource(
      value = RefusalReason.class,
      names = {"ZONE_OUT", "LEAVING", "STOPPING", "NO_LEASE", "QUEUE_FULL", "COLD", "SHED"})
  void movesRefusedRequestsToAnotherEndpoint(RefusalReason reason) throws Exception {
    homeEngine().setDefaultFault(Fault.REFUSE, reason);

    for (int i = 0; i < 5; i++) {
      assertThat(fixture.chat(GatewayFixture.CHAT).statusCode()).isEqualTo(200);
    }
  }

  /** Guards against retries of requests that every endpoint would refuse. */
  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({"KEY_WITHDRAWN, 401", "QUARANTINED, 422", "DEADLINE, 504"})
  void doesNotRetryFinalRefusals(RefusalReason reason, int status) throws Exception {
    homeEngine().planRefusal(reason);

    HttpResponse<String> response = fixture.chat(GatewayFixture.CHAT);

    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(GatewayFixture.outcome(response)).isEqualTo("not-run");
    assertThat(fixture.startedAttempts()).isEqualTo(1);
  }

  /** Guards against a late refusal, and against a refusal without Retry-After. */
  @Test
  void respondsImmediatelyWithRetryAfterWhenEveryEndpointRefuses() throws Exception {
    fixture
        .sidecars
        .values()
        .forEach(s -> s.setDefaultFault(Fault.REFUSE, RefusalReason.QUEUE_FULL));

    HttpResponse<String> response = fixture.chat(GatewayFixture.CHAT);

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(GatewayFixture.outcome(response)).isEqualTo("not-run");
    assertThat(response.headers().firstValue("Retry-After")).hasValue("1");
  }

  /** Guards against failed completions and service calls after a sidecar process has ended. */
  @Test
  void usesAnotherEndpointWhenASidecarIsDown() throws Exception {
    homeEngine().close();
    fixture.sidecar("orders-1").close();

    for (int i = 0; i < 4; i++) {
      assertThat(fixture.chat(GatewayFixture.CHAT).statusCode()).isEqualTo(200);
      assertThat(fixture.callOrders("POST", null, "order").statusCode()).isEqualTo(200);
    }

    assertThat(fixture.sidecar("orders-2").startedAttempts()).isEqualTo(4);
  }

  /**
   * Guards against a call that ends as unknown, without a retry, because it reached its sidecar
   * over a kept connection while the sidecar's server stopped, which passes no call on.
   */
  @Test
  void movesCallsAwayFromASidecarWhoseServerStops() throws Exception {
    FakeSidecar stopping = fixture.sidecar("orders-1");
    for (int i = 0; i < 40; i++) {
      stopping.planFault(Fault.SERVER_STOPS);
    }

    for (int i = 0; i < 4; i++) {
      HttpResponse<String> response = fixture.callOrders("POST", null, "order");
      assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
      assertThat(GatewayFixture.outcome(response)).isEqualTo("ran");
    }

    assertThat(stopping.receivedRequests()).isNotEmpty();
    assertThat(stopping.startedAttempts()).isZero();
    assertThat(fixture.sidecar("orders-2").startedAttempts()).isEqualTo(4);
  }

  /** Guards against a crash suspect that is retried beside other requests and crashes them too. */
  @Test
  void isolatesAndReportsCrashSuspects() throws Exception {
    homeEngine().planFault(Fault.CRASH);

    fixture.chat(GatewayFixture.CHAT);
    fixture.chat(GatewayFixture.CHAT);

    List<AttemptRequest> attempts =
        fixture.sidecars.values().stream()
            .flatMap(sidecar -> sidecar.receivedRequests().stream())
            .filter(AttemptRequest::isIsolated)
            .toList();
    // The retry, and the same request resent by the caller.
    assertThat(attempts).hasSize(2);
    GatewayFixture.await(() -> !fixture.control.crashes().isEmpty());
    assertThat(fixture.control.crashes().get(0).getFingerprints())
        .containsExactly(attempts.get(0).getFingerprint());
    assertThat(fixture.control.crashes().get(0).getEndedBootId()).isEqualTo("boot-1");
  }

  /** Guards against requests lost to two faults on successive endpoints. */
  @ParameterizedTest(name = "{0}, then {1}")
  @CsvSource({
    "REFUSE,         CLOSE_BEFORE_HEAD",
    "CRASH,          REFUSE",
    "LOSE_REQUEST,   CUT_HALFWAY",
    "FORGET_HALFWAY, FORGET_HALFWAY",
    "WRONG_OFFSET,   CRASH",
    "LOSE_REQUEST,   SILENT_HALFWAY"
  })
  void completesUnderPairsOfFaults(Fault first, Fault second) throws Exception {
    FakeSidecar home = homeEngine();
    home.planFault(first);
    List<FakeSidecar> others =
        fixture.sidecars.values().stream().filter(sidecar -> sidecar != home).toList();
    others.forEach(sidecar -> sidecar.planFault(second));

    HttpResponse<String> response = fixture.chat(GatewayFixture.CHAT);

    // Three engines with at most one fault each: the third attempt meets no more than one of them.
    if (response.statusCode() != 200) {
      assertThat(GatewayFixture.outcome(response)).isNotEqualTo("ran");
      assertThat(response.headers().firstValue("Retry-After")).isPresent();
    } else {
      assertThat(response.body()).isEqualTo(JSON);
    }
    assertThat(fixture.chat(GatewayFixture.CHAT).body()).isEqualTo(JSON);
  }

  /** Sends one request and returns the engine that ran it and now holds the adapter. */
  private FakeSidecar homeEngine() throws Exception {
    assertThat(fixture.chat(GatewayFixture.CHAT).statusCode()).isEqualTo(200);
    return fixture.sidecars.values().stream()
        .filter(sidecar -> sidecar.startedAttempts() == 1)
        .findFirst()
        .orElseThrow();
  }

  private static EndpointResponse answer(AttemptRequest request) {
    if (request.isStream()) {
      return EndpointResponse.events(EVENTS, 0);
    }
    byte[] first = JSON.substring(0, 10).getBytes(StandardCharsets.UTF_8);
    byte[] second = JSON.substring(10).getBytes(StandardCharsets.UTF_8);
    return new EndpointResponse(
        200, Map.of("Content-Type", "application/json"), List.of(first, second), 0, 10);
  }
}
