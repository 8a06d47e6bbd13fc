package org.comfreygap.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.BindException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.testkit.FakeSidecar;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What callers and sidecars see of a gateway in good order, and the refusals of bad requests. */
@Execution(ExecutionMode.SAME_THREAD)
class GatewayContractTest {

  private static GatewayFixture fixture;

  @BeforeAll
  static void start() throws Exception {
    fixture = GatewayFixture.start(2, 1);
  }

  @AfterAll
  static void stop() {
    fixture.close();
  }

  /**
   * Guards against a completion that runs on an adapter version other than the requested one (I1).
   */
  @Test
  void runsAChatOnTheRequestedVersion() throws Exception {
    HttpResponse<String> response = fixture.chat(GatewayFixture.CHAT);

    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    assertThat(response.body()).isEqualTo("{\"model\":\"blue/lexicon@1\",\"text\":\"ok\"}");
    assertThat(GatewayFixture.outcome(response)).isEqualTo("ran");
    assertThat(response.headers().firstValue(CallerResponse.REQUEST_ID_HEADER)).isPresent();
  }

  /** Guards against events that are lost, joined or delayed until the end of the stream. */
  @Test
  void streamsEvents() throws Exception {
    HttpResponse<String> response = fixture.chat(GatewayFixture.streamRequest(""));

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.headers().firstValue("Content-Type")).hasValue("text/event-stream");
    assertThat(response.body())
        .isEqualTo("data: {\"model\":\"blue/lexicon@1\"}\n\ndata: [DONE]\n\n");
  }

  /** Guards against attempts without the fields that a sidecar needs to admit and run them. */
  @Test
  void sendsTheSidecarAllAttemptFields() throws Exception {
    HttpResponse<String> response =
        fixture.send(
            fixture
                .request("/services/orders/a%20b/c?x=1&y=2")
                .header("Cookie", "session=1")
                .header("X-Forwarded-For", "10.0.0.1")
                .header("Content-Type", "text/plain")
                .header("Comfreygap-Priority", "urgent")
                .method("GET", HttpRequest.BodyPublishers.ofString("body")));

    assertThat(response.statusCode()).isEqualTo(200);
    FakeSidecar sidecar = fixture.sidecar("orders-1");
    AttemptRequest attempt = sidecar.receivedRequests().get(sidecar.receivedRequests().size() - 1);
    assertThat(attempt.getPath()).isEqualTo("/a%20b/c?x=1&y=2");
    assertThat(attempt.getMethod()).isEqualTo("GET");
    assertThat(attempt.getServiceName()).isEqualTo("orders");
    assertThat(attempt.getHeaders()).containsOnlyKeys("Content-Type");
    assertThat(attempt.getCustomer()).isEqualTo("blue/press");
    assertThat(attempt.getKeyId()).isEqualTo("k1");
    assertThat(attempt.isIdempotent()).isTrue();
    assertThat(attempt.getPriority()).isEqualTo(org.comfreygap.protocol.generated.Priority.URGENT);
    assertThat(attempt.getBody()).isEqualTo("body".getBytes());
    assertThat(attempt.getEndpoint()).isEqualTo("orders-1");
    assertThat(attempt.getDeadlineMillis()).isBetween(1L, 60_000L);
  }

  /** Guards against an endpoint that generates more tokens than were reserved. */
  @Test
  void setsTheMaximumOutputWhenTheCallerDoesNot() throws Exception {
    fixture.chat("{\"model\":\"lexicon@2\",\"messages\":[]}");

    AttemptRequest attempt =
        fixture.sidecars.values().stream()
            .flatMap(sidecar -> sidecar.receivedRequests().stream())
            .filter(request -> "2".equals(request.getVersion()))
            .findFirst()
            .orElseThrow();
    assertThat(new String(attempt.getBody())).contains("\"max_tokens\":16");
    assertThat(attempt.getReservedTokens()).isEqualTo(16);
    assertThat(attempt.getSource()).isEqualTo("s3://w/2");
  }

  /** Guards against open routes that require a key or attribute the request to a customer. */
  @Test
  void servesOpenRoutesWithoutAKeyAndWithoutACustomer() throws Exception {
    HttpResponse<String> response =
        fixture.send(HttpRequest.newBuilder(fixture.uri("/services/public/menu")).GET());

    assertThat(response.statusCode()).isEqualTo(200);
    FakeSidecar sidecar = fixture.sidecar("public-1");
    assertThat(sidecar.receivedRequests().get(sidecar.receivedRequests().size() - 1).getCustomer())
        .isEmpty();
  }

  /** Guards against a wrong status, outcome or error body for each kind of bad request. */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '^',
      value = {
        "not JSON            | {\"model\"                                          | 400",
        "trailing text       | {\"model\":\"lexicon@1\"} x                         | 400",
        "no model            | {\"messages\":[]}                                   | 400",
        "no version          | {\"model\":\"lexicon\"}                             | 400",
        "bad maximum         | {\"model\":\"lexicon@1\",\"max_tokens\":0}          | 400",
        "unknown adapter     | {\"model\":\"nothing@1\"}                           | 404",
        "unknown version     | {\"model\":\"lexicon@9\"}                           | 404",
        "another team        | {\"model\":\"red/lexicon@1\"}                       | 403",
        "team prefix         | {\"model\":\"bluex/lexicon@1\"}                     | 403"
      })
  void refusesBadCompletions(String name, String body, int status) throws Exception {
    int before = fixture.startedAttempts();

    HttpResponse<String> response = fixture.chat(body);

    assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
    assertThat(GatewayFixture.outcome(response)).isEqualTo("not-run");
    assertThat(response.body()).contains("\"error\"").contains("\"request_id\"");
    assertThat(fixture.startedAttempts()).isEqualTo(before);
  }

  /** Guards against invalid keys, and access to another customer's adapter or service (I3). */
  @ParameterizedTest(name = "{0} {1}")
  @CsvSource({
    "Basic abc,                          /v1/chat/completions, 401",
    "Bearer,                             /v1/chat/completions, 401",
    "Bearer sk-unknown,                  /v1/chat/completions, 401",
    "Bearer sk-unknown,                  /services/public/x,   401",
    "Bearer sk-test-0a77c1e59b2d4f60,    /v1/chat/completions, 403",
    "Bearer sk-test-0a77c1e59b2d4f60,    /services/orders/x,   403",
    "Bearer sk-test-5f1c9d7be2a84c33,    /services/nothing/x,  404",
    "Bearer sk-test-5f1c9d7be2a84c33,    /v2/other,            404",
    "Bearer sk-test-5f1c9d7be2a84c33,    /services/orders/%2e%2e/x, 400"
  })
  void refusesUnauthorizedCallers(String authorization, String path, int status) throws Exception {
    HttpResponse<String> response =
        fixture.send(
            HttpRequest.newBuilder(fixture.uri(path))
                .header("Authorization", authorization)
                .POST(HttpRequest.BodyPublishers.ofString(GatewayFixture.CHAT)));

    assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
    assertThat(GatewayFixture.outcome(response)).isEqualTo("not-run");
    assertThat(response.headers().firstValue(CallerResponse.REQUEST_ID_HEADER)).isPresent();
    assertThat(response.body()).contains("\"error\"").doesNotContain("sk-");
  }

  /** Guards against unbounded memory use for bodies with and without Content-Length. */
  @Test
  void refusesLargeBodies() throws Exception {
    byte[] large = new byte[fixture.settings.maxBodyBytes() + 1];

    HttpResponse<String> announced =
        fixture.send(
            fixture
                .request("/v1/chat/completions")
                .POST(HttpRequest.BodyPublishers.ofByteArray(large)));
    HttpResponse<String> chunked =
        fixture.send(
            fixture
                .request("/v1/chat/completions")
                .POST(
                    HttpRequest.BodyPublishers.ofInputStream(
                        () -> new java.io.ByteArrayInputStream(large))));

    assertThat(announced.statusCode()).isEqualTo(413);
    assertThat(chunked.statusCode()).isEqualTo(413);
  }

  /** Guards against a process that ends without an error when its address is in use. */
  @Test
  void reportsAnAddressInUse() {
    assertThatThrownBy(() -> Gateway.start(fixture.settings))
        .isInstanceOf(IOException.class)
        .hasRootCauseInstanceOf(BindException.class);
  }
}
