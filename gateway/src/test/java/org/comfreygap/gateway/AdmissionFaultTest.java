package org.comfreygap.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.comfreygap.protocol.generated.CreditItem;
import org.comfreygap.protocol.generated.FinishRequest;
import org.comfreygap.protocol.generated.MemberState;
import org.comfreygap.protocol.generated.Outcome;
import org.comfreygap.protocol.generated.RefusalReason;
import org.comfreygap.testkit.FakeControl;
import org.comfreygap.testkit.FakeSidecar;
import org.comfreygap.testkit.FakeSidecar.EndpointResponse;
import org.comfreygap.testkit.FakeSidecar.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests faults of control, settings changes during operation, credit and the ledger (I5, I6, I8,
 * I11).
 */
class AdmissionFaultTest {

  private GatewayFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = GatewayFixture.start(3, 1);
  }

  @AfterEach
  void stop() {
    fixture.control.fault(FakeControl.Fault.NONE);
    fixture.close();
  }

  /** Guards against a withdrawn key that is still accepted on an open connection (I5). */
  @Test
  void refusesAWithdrawnKeyOnAKeepAliveConnection() throws Exception {
    assertThat(fixture.chat(GatewayFixture.CHAT).statusCode()).isEqualTo(200);

    fixture.key("press", "k1", GatewayFixture.KEY, "withdrawn");
    fixture.awaitRevision(fixture.control.revision());

    assertThat(fixture.chat(GatewayFixture.CHAT).statusCode()).isEqualTo(401);
  }

  /** Guards against a retry with a key that was withdrawn during the first attempt (I5). */
  @Test
  void rechecksTheKeyBeforeARetry() throws Exception {
    fixture.sidecars.values().forEach(sidecar -> sidecar.planFault(Fault.CRASH));
    fixture.sidecars.values().forEach(sidecar -> sidecar.responder(request -> withdrawKey()));

    HttpResponse<String> response = fixture.chat(GatewayFixture.CHAT);

    assertThat(response.statusCode()).isEqualTo(401);
    assertThat(GatewayFixture.outcome(response)).isEqualTo("unknown");
    assertThat(fixture.startedAttempts()).isEqualTo(1);
  }

  /** Guards against a key that goes on as long as another key has its name (I5). */
  @Test
  void refusesARetryWithAKeyThatWasReplacedUnderItsName() throws Exception {
    fixture.sidecars.values().forEach(sidecar -> sidecar.planFault(Fault.CRASH));
    fixture.sidecars.values().forEach(sidecar -> sidecar.responder(request -> replaceKey()));

    HttpResponse<String> response = fixture.chat(GatewayFixture.CHAT);

    assertThat(response.statusCode()).isEqualTo(401);
    assertThat(fixture.startedAttempts()).isEqualTo(1);
  }

  /** Guards against tokens that go to the new holder of a key instead of their owner (I6). */
  @Test
  void refundsTheCustomerThatWasChargedWhenItsKeyMoves() throws Exception {
    fixture.limits("press", 10_000, 10_000);
    fixture.limits("radio", 10_000, 10_000);
    fixture
        .sidecars
        .values()
        .forEach(s -> s.setDefaultFault(Fault.REFUSE, RefusalReason.QUEUE_FULL));

    CompletableFuture<HttpResponse<String>> response = fixture.chatLater(GatewayFixture.CHAT);
    GatewayFixture.await(() -> charged() > 0);
    moveKey();

    assertThat(response.get().statusCode()).isEqualTo(401);
    assertThat(GatewayFixture.outcome(response.get())).isEqualTo("not-run");
    GatewayFixture.await(() -> charged() == 0);
    assertThat(fixture.control.creditItems())
        .extracting(CreditItem::getCustomer)
        .containsOnly("blue/press");
  }

  /**
   * Guards against a gateway that keeps admitting requests while it is disconnected from control
   * (I5).
   */
  @ParameterizedTest
  @ValueSource(strings = {"SILENT", "NOT_LEADER"})
  void refusesNewWorkWithoutASettingsLease(FakeControl.Fault fault) throws Exception {
    assertThat(fixture.chat(GatewayFixture.CHAT).statusCode()).isEqualTo(200);
    fixture.control.fault(fault);

    GatewayFixture.await(() -> !fixture.gateway.ready());
    HttpResponse<String> response = fixture.chat(GatewayFixture.CHAT);

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(GatewayFixture.outcome(response)).isEqualTo("not-run");
    assertThat(response.headers().firstValue("Retry-After")).isPresent();
    assertThat(fixture.startedAttempts()).isEqualTo(1);

    fixture.control.fault(FakeControl.Fault.NONE);
    GatewayFixture.await(() -> fixture.gateway.ready());
    assertThat(fixture.chat(GatewayFixture.CHAT).statusCode()).isEqualTo(200);
  }

  /** Guards against new requests in a zone that is out or at a leaving endpoint (I8, I12). */
  @ParameterizedTest
  @ValueSource(strings = {"zone", "endpoint", "member"})
  void sendsNoRequestsToZonesOrEndpointsTakenOutOfService(String kind) throws Exception {
    fixture.chat(GatewayFixture.CHAT);
    FakeSidecar home =
        fixture.sidecars.values().stream()
            .filter(s -> s.startedAttempts() == 1)
            .findFirst()
            .orElseThrow();
    String name =
        fixture.sidecars.entrySet().stream()
            .filter(entry -> entry.getValue() == home)
            .findFirst()
            .orElseThrow()
            .getKey();
    String zone = String.valueOf((char) ('a' + Integer.parseInt(name.substring(7)) - 1));
    switch (kind) {
      case "zone" -> fixture.control.put("/platform/zones/" + zone, "{\"state\":\"out\"}");
      case "endpoint" -> setEndpointLeaving(name, zone, home);
      default -> fixture.control.addSidecar(name, zone, MemberState.LEAVING);
    }
    fixture.awaitRevision(fixture.control.revision());
    // Membership has no revision, so wait until requests no longer reach the endpoint.
    GatewayFixture.await(() -> !reaches(home));
    int before = home.startedAttempts();

    for (int i = 0; i < 20; i++) {
      assertThat(fixture.chat(GatewayFixture.CHAT).statusCode()).isEqualTo(200);
    }

    assertThat(home.startedAttempts()).isEqualTo(before);
    if (kind.equals("zone")) {
      fixture.control.put("/platform/zones/" + zone, "{\"state\":\"in\"}");
      fixture.awaitRevision(fixture.control.revision());
      GatewayFixture.await(() -> reaches(home));
    }
  }

  /**
   * Guards against a request that fails during a zone move because its first endpoints refuse it.
   */
  @Test
  void servesWhileTwoOfThreeZonesRefuse() throws Exception {
    fixture.sidecar("engine-1").setDefaultFault(Fault.REFUSE, RefusalReason.ZONE_OUT);
    fixture.sidecar("engine-2").setDefaultFault(Fault.REFUSE, RefusalReason.LEAVING);

    for (int i = 0; i < 50; i++) {
      assertThat(fixture.chat(GatewayFixture.CHAT).statusCode()).isEqualTo(200);
    }
  }

  /** Guards against a customer that exceeds its rate and burst (I6). */
  @Test
  void keepsACustomerWithinItsRate() throws Exception {
    fixture.limits("press", 100, 60);
    long began = System.nanoTime();
    int ran = 0;
    HttpResponse<String> refused = null;
    for (int i = 0; i < 40; i++) {
      HttpResponse<String> response = fixture.chat(GatewayFixture.CHAT);
      ran += response.statusCode() == 200 ? 1 : 0;
      refused = response.statusCode() == 429 ? response : refused;
    }
    double seconds = (System.nanoTime() - began) / 1e9;

    // Each request uses 10 tokens.
    assertThat(ran * 10.0).isLessThanOrEqualTo(60 + 100 * seconds);
    assertThat(ran).isPositive();
    if (refused != null) {
      assertThat(GatewayFixture.outcome(refused)).isEqualTo("not-run");
      assertThat(refused.headers().firstValue("Retry-After")).isPresent();
    }
  }

  /** Guards against a late refusal when control reports that no credit will be granted in time. */
  @Test
  void refusesWithRetryAfterWhenNoCreditIsExpected() throws Exception {
    fixture.limits("press", 1, 40);
    assertThat(fixture.chat(GatewayFixture.CHAT).statusCode()).isEqualTo(200);
    fixture.chat(GatewayFixture.CHAT);
    fixture.chat(GatewayFixture.CHAT);

    HttpResponse<String> response = fixture.chat(GatewayFixture.CHAT);

    assertThat(response.statusCode()).isEqualTo(429);
    int retryAfter = Integer.parseInt(response.headers().firstValue("Retry-After").orElseThrow());
    assertThat(retryAfter).isGreaterThan(1);
  }

  /**
   * Guards against idle credit, which another gateway could use, and unused reservations that are
   * not returned to control.
   */
  @Test
  void returnsUnusedCredit() throws Exception {
    fixture.limits("press", 1_000, 10_000);

    fixture.chat(GatewayFixture.CHAT);

    // 25 tokens are reserved and 10 used.
    GatewayFixture.await(
        () -> sum(CreditItem::getRefunded) == 15 && sum(CreditItem::getUsed) == 25);
    fixture.chat(GatewayFixture.CHAT);
    fixture.chat(GatewayFixture.CHAT);
    GatewayFixture.await(() -> sum(CreditItem::getReturned) > 0);
  }

  /** Guards against a quarantine that is applied only by the gateway that observed the crash. */
  @Test
  void refusesQuarantinedRequests() throws Exception {
    fixture.chat(GatewayFixture.CHAT);
    String fingerprint =
        fixture.sidecars.values().stream()
            .flatMap(sidecar -> sidecar.receivedRequests().stream())
            .findFirst()
            .orElseThrow()
            .getFingerprint();
    fixture.control.quarantine(fingerprint, Duration.ofMinutes(1));

    GatewayFixture.await(() -> status(GatewayFixture.CHAT) == 422);
    assertThat(status(GatewayFixture.CHAT.replace("hello", "other"))).isEqualTo(200);
  }

  /** Guards against a second run of a call that is resent with its idempotency key (I11). */
  @Test
  void replaysTheStoredResponseForARepeatedKey() throws Exception {
    HttpResponse<String> first = fixture.callOrders("POST", "key-1", "order");
    HttpResponse<String> repeat = fixture.callOrders("POST", "key-1", "order");
    HttpResponse<String> other = fixture.callOrders("POST", "key-1", "another order");

    assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
    assertThat(repeat.body()).isEqualTo(first.body());
    assertThat(GatewayFixture.outcome(repeat)).isEqualTo("ran");
    assertThat(other.statusCode()).isEqualTo(409);
    assertThat(GatewayFixture.outcome(other)).isEqualTo("not-run");
    assertThat(fixture.startedAttempts()).isEqualTo(1);
  }

  /** Guards against two concurrent calls with one idempotency key that both run (I11). */
  @Test
  void refusesARepeatedKeyWhileTheFirstRequestIsInProgress() throws Exception {
    FakeSidecar orders = fixture.sidecar("orders-1");
    orders.responder(
        request -> {
          GatewayFixture.await(() -> orders.running() < 0 || orderReleased);
          return EndpointResponse.json(200, "{}");
        });
    CompletableFuture<Integer> first = CompletableFuture.supplyAsync(() -> orderStatus("key-2"));
    GatewayFixture.await(() -> orders.startedAttempts() == 1);

    assertThat(orderStatus("key-2")).isEqualTo(409);

    orderReleased = true;
    assertThat(first.join()).isEqualTo(200);
    assertThat(orders.startedAttempts()).isEqualTo(1);
  }

  private volatile boolean orderReleased;

  /** Guards against a ledger entry that is finished with an outcome other than that of the call. */
  @ParameterizedTest(name = "{0}: {1} {2}")
  @CsvSource({"REFUSE, 503, NOT_RUN", "LOSE_REQUEST, 502, UNKNOWN", "NONE, 200, RAN"})
  void closesTheLedgerEntryWithTheOutcome(Fault fault, int status, Outcome outcome) {
    fixture.sidecar("orders-1").setDefaultFault(fault, RefusalReason.QUEUE_FULL);

    assertThat(orderStatus("key-3")).isEqualTo(status);

    assertThat(fixture.control.finishedRequests()).hasSize(1);
    FinishRequest finished = fixture.control.finishedRequests().get(0);
    assertThat(finished.getOutcome()).isEqualTo(outcome);
    assertThat(finished.isSetAnswer()).isEqualTo(outcome == Outcome.RAN);
    if (fault == Fault.LOSE_REQUEST) {
      assertThat(orderStatus("key-3")).isEqualTo(409);
    }
  }

  /** Guards against a call that runs although the ledger did not record its start. */
  @Test
  void doesNotRunWithoutTheLedger() throws Exception {
    fixture.control.fault(FakeControl.Fault.ONLY_HEARTBEATS);

    HttpResponse<String> response = fixture.callOrders("POST", "key-4", "order");

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(GatewayFixture.outcome(response)).isEqualTo("not-run");
    assertThat(fixture.startedAttempts()).isZero();
  }

  private int orderStatus(String idempotencyKey) {
    try {
      return fixture.callOrders("POST", idempotencyKey, "order").statusCode();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private int status(String body) {
    try {
      return fixture.chat(body).statusCode();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private boolean reaches(FakeSidecar sidecar) {
    int before = sidecar.startedAttempts();
    status(GatewayFixture.CHAT);
    return sidecar.startedAttempts() > before;
  }

  private long sum(java.util.function.ToLongFunction<CreditItem> part) {
    return fixture.control.creditItems().stream().mapToLong(part).sum();
  }

  private EndpointResponse replaceKey() {
    fixture.key("press", "k1", "another-key", "active");
    fixture.awaitRevision(fixture.control.revision());
    return EndpointResponse.json(200, "{}");
  }

  private void moveKey() {
    synchronized (fixture.control) {
      fixture.control.delete("/teams/blue/customers/press/keys/k1");
      fixture.key("radio", "k2", GatewayFixture.KEY, "active");
    }
  }

  /** Returns the tokens that control was told of as used, less those refunded. */
  private long charged() {
    return fixture.control.creditItems().stream()
        .mapToLong(item -> item.getUsed() - item.getRefunded())
        .sum();
  }

  private EndpointResponse withdrawKey() {
    fixture.key("press", "k1", GatewayFixture.KEY, "withdrawn");
    fixture.awaitRevision(fixture.control.revision());
    return EndpointResponse.json(200, "{}");
  }

  private void setEndpointLeaving(String name, String zone, FakeSidecar sidecar) {
    fixture.control.put(
        "/platform/endpoints/" + name,
        "{\"zone\":\""
            + zone
            + "\",\"kind\":\"engine\",\"baseModel\":\"base\""
            + ",\"sidecar\":\"127.0.0.1:"
            + sidecar.address().getPort()
            + "\",\"maxBatch\":16,\"state\":\"leaving\","
            + "\"coldStart\":{\"initialConcurrency\":2,\"rampSeconds\":1}}");
  }
}
