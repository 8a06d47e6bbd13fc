package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.protocol.generated.WatchRequest;
import org.comfreygap.runtime.RepeatingTask;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The contract of the administration API, called over HTTP. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AdministrationApiTest {

  private static final String LIMITS = "{\"tokensPerSecond\": 10, \"burstTokens\": 100}";

  private ControlFixture control;

  @BeforeAll
  void start() throws Exception {
    control = ControlFixture.startLeader();
    for (String team : List.of("blue", "red", "zones", "keys")) {
      assertThat(control.put("/teams/" + team + "/customers/c", "{}").status()).isEqualTo(200);
    }
  }

  @AfterAll
  void stop() {
    control.close();
  }

  /** Guards against a write that cannot be read back with its author and revision. */
  @Test
  void documentsAreWrittenReadListedAndDeleted() throws Exception {
    ControlFixture.Response put =
        control.put("/teams/red/customers/c/limits", LIMITS, "Comfreygap-Operation-Id", "op-1");
    assertThat(put.json().path("operationId").asText()).isEqualTo("op-1");
    ControlFixture.Response got =
        control.call("GET", "/settings/teams/red/customers/c/limits", null);
    assertThat(got.json().path("document").path("burstTokens").asLong()).isEqualTo(100);
    assertThat(got.json().path("revision")).isEqualTo(put.json().path("revision"));
    assertThat(got.json().path("changedBy").asText()).isEqualTo("root");
    assertThat(got.json().path("changedAtMillis").asLong()).isPositive();
    ControlFixture.Response listed = control.call("GET", "/settings/teams/red?prefix=true", null);
    assertThat(listed.json().path("entries")).hasSize(2);
    assertThat(control.call("DELETE", "/settings/teams/red?prefix=true", null).status())
        .isEqualTo(200);
    assertThat(control.call("GET", "/settings/teams/red/customers/c", null).status())
        .isEqualTo(404);
  }

  /**
   * Guards against lost updates: of two concurrent writes at one revision, the second fails with a
   * conflict that names the author of the first.
   */
  @Test
  void exactlyOneOfTwoConcurrentWritesSucceeds() throws Exception {
    JsonNode first = control.put("/teams/blue/customers/race", "{}").json();
    String revision = first.path("revision").asText();
    ExecutorService pool = Executors.newFixedThreadPool(2);
    List<Future<ControlFixture.Response>> calls = new ArrayList<>();
    for (String token : List.of(ControlFixture.ROOT_TOKEN, ControlFixture.BLUE_TOKEN)) {
      calls.add(
          pool.submit(
              () ->
                  control.put(
                      "/teams/blue/customers/race",
                      "{\"defaultPriority\": \"urgent\"}",
                      "If-Match",
                      revision,
                      "Authorization",
                      "Bearer " + token)));
    }
    List<ControlFixture.Response> responses = List.of(calls.get(0).get(), calls.get(1).get());
    pool.shutdown();
    assertThat(responses).extracting(ControlFixture.Response::status).containsOnlyOnce(200, 409);
    int lost = responses.get(0).status() == 409 ? 0 : 1;
    JsonNode error = responses.get(lost).json().path("error");
    assertThat(error.path("currentRevision"))
        .isEqualTo(responses.get(1 - lost).json().path("revision"));
    assertThat(error.path("changedBy").asText()).isEqualTo(lost == 0 ? "blue" : "root");
  }

  /**
   * Guards against a resend that applies a change twice, and against an operation id reused for
   * another change.
   */
  @Test
  void repeatedOperationReturnsFirstResponse() throws Exception {
    String[] operation = {"Comfreygap-Operation-Id", "again", "If-Match", "0"};
    ControlFixture.Response first = control.put("/teams/blue/customers/again", "{}", operation);
    ControlFixture.Response second = control.put("/teams/blue/customers/again", "{}", operation);
    assertThat(second.status()).isEqualTo(200);
    assertThat(second.json()).isEqualTo(first.json());
    ControlFixture.Response other = control.put("/teams/blue/customers/other", "{}", operation);
    assertThat(other.status()).isEqualTo(409);
    assertThat(other.json().path("error").path("code").asText()).isEqualTo("operationReused");
  }

  /** Guards against calls without a token, and calls outside the subtree of the token. */
  @ParameterizedTest
  @CsvSource({
    "GET, /settings/teams/blue/customers/c, none, 401",
    "GET, /settings/teams/blue/customers/c, wrong, 401",
    "GET, /settings/teams/blue/customers/c, blue-token, 200",
    "GET, /settings/teams/keys/customers/c, blue-token, 403",
    "GET, /settings/teams/bluebell, blue-token, 403",
    "GET, /settings/?prefix=true, blue-token, 403",
    "PUT, /settings/platform/zones/z1, blue-token, 403",
    "DELETE, /settings/teams?prefix=true, blue-token, 403",
    "GET, /history?prefix=/, blue-token, 403",
    "GET, /history, blue-token, 200",
    "GET, /watch?prefix=/platform, blue-token, 403",
    "POST, /zones/z1, blue-token, 403",
    "DELETE, /keys/keys/c/k1, blue-token, 403",
    "DELETE, /members/c1, blue-token, 403",
    "GET, /quarantine, none, 401",
    "DELETE, /quarantine/parts/5c1e, blue-token, 403",
    "DELETE, /quarantine/parts/5c1e, root-token, 200",
    "GET, /status, none, 401",
    "GET, /members, none, 401"
  })
  void tokensAreBoundToTheirSubtree(String method, String path, String token, int status)
      throws Exception {
    String body = method.equals("PUT") || method.equals("POST") ? "{\"state\": \"in\"}" : null;
    assertThat(control.call(method, path, body, "Authorization", "Bearer " + token).status())
        .isEqualTo(status);
  }

  /** Guards against malformed calls that reach the log or end as a server error. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "PUT | /settings/teams/blue/customers/c | nonsense | 400",
        "PUT | /settings/teams/blue/customers/c | [1] | 400",
        "PUT | /settings/teams/blue/nothing/c | {} | 422",
        "PUT | /settings/teams/blue/customers/c/limits | {\"tokensPerSecond\": -1} | 422",
        "PUT | /settings/teams/b%20d | {} | 400",
        "PUT | /settings/platform/endpoints/e | {\"zone\": \"z\", \"kind\": \"engine\", "
            + "\"sidecar\": \"127.0.0.1:1\", \"maxBatch\": 1, \"coldStart\": "
            + "{\"initialConcurrency\": 1, \"rampSeconds\": 1}} | 422",
        "PUT | /settings/teams/blue/customers/c?wait=true&timeoutMillis=soon | {} | 400",
        "POST | /rollback | {} | 400",
        "POST | /rollback | {\"toRevision\": 99999} | 410",
        "POST | /transactions | {\"changes\": []} | 422",
        "POST | /keys | {\"customer\": \"nobody\", \"keyId\": \"k\"} | 400",
        "POST | /keys | {\"customer\": \"blue/none\", \"keyId\": \"k\"} | 422",
        "POST | /zones/z1 | {\"state\": \"gone\"} | 422",
        "DELETE | /settings/teams/none |  | 404",
        "DELETE | /members/none |  | 404",
        "POST | /members | {\"replicaId\": \"c2\"} | 400"
      })
  void malformedCallsAreRefused(String method, String path, String body, int status)
      throws Exception {
    long before = control.state.revision();
    assertThat(control.call(method, path, body).status()).isEqualTo(status);
    assertThat(control.state.revision()).isEqualTo(before);
  }

  /** Guards against a response that reports only the first fault. */
  @Test
  void allFaultsAreReported() throws Exception {
    ControlFixture.Response response =
        control.put(
            "/teams/blue/customers/c/limits",
            "{\"tokensPerSecond\": 0, \"burstTokens\": \"x\", \"more\": 1}");
    assertThat(response.json().path("error").path("faults")).hasSize(3);
  }

  /** Guards against a partly applied transaction. */
  @Test
  void transactionsApplyAllOrNone() throws Exception {
    String ok =
        """
        {"operationId": "t1", "expect": {"/teams/blue/customers/t": 0}, "changes": [
          {"path": "/teams/blue/customers/t", "document": {}},
          {"path": "/teams/blue/customers/t/limits", "document": %s}]}
        """
            .formatted(LIMITS);
    assertThat(control.call("POST", "/transactions", ok).status()).isEqualTo(200);
    String broken =
        """
        {"operationId": "t2", "changes": [
          {"path": "/teams/blue/customers/u", "document": {}},
          {"path": "/teams/blue/customers/v/limits", "document": %s},
          {"path": "/teams/blue/customers/t", "document": null}]}
        """
            .formatted(LIMITS);
    ControlFixture.Response refused = control.call("POST", "/transactions", broken);
    assertThat(refused.status()).isEqualTo(422);
    assertThat(refused.json().path("error").path("faults")).hasSize(2);
    assertThat(control.call("GET", "/settings/teams/blue/customers/u", null).status())
        .isEqualTo(404);
  }

  /** Guards against a key that can be read again, or that stays valid after its withdrawal. */
  @Test
  void keysAreShownOnceStoredHashedAndWithdrawn() throws Exception {
    ControlFixture.Response granted =
        control.call("POST", "/keys", "{\"customer\": \"keys/c\", \"keyId\": \"k1\"}");
    String key = granted.json().path("key").asText();
    ControlFixture.Response stored =
        control.call("GET", "/settings/teams/keys/customers/c/keys/k1", null);
    assertThat(stored.json().path("document").path("sha256").asText())
        .isEqualTo(Operators.sha256(key));
    assertThat(stored.raw().body()).doesNotContain(key);
    long before = control.state.revision();
    assertThat(control.call("DELETE", "/keys/keys/c/k1", null).status()).isEqualTo(200);
    String rollback =
        "{\"operationId\": \"r1\", \"toRevision\": "
            + before
            + ", "
            + "\"prefix\": \"/teams/keys\"}";
    assertThat(control.call("POST", "/rollback", rollback).status()).isEqualTo(200);
    ControlFixture.Response after =
        control.call("GET", "/settings/teams/keys/customers/c/keys/k1", null);
    assertThat(after.json().path("document").path("state").asText()).isEqualTo("withdrawn");
  }

  /** Guards against a rollback that rewrites history instead of adding a change. */
  @Test
  void rollbackIsANewChange() throws Exception {
    control.call("POST", "/zones/zr", "{\"state\": \"in\"}");
    long good = control.state.revision();
    control.call("POST", "/zones/zr", "{\"state\": \"out\"}");
    String body =
        "{\"operationId\": \"rz\", \"toRevision\": " + good + ", \"prefix\": \"/platform/zones\"}";
    ControlFixture.Response response = control.call("POST", "/rollback", body);
    assertThat(response.json().path("revision").asLong()).isGreaterThan(good + 1);
    ControlFixture.Response history =
        control.call("GET", "/history?prefix=/platform/zones/zr&limit=2", null);
    JsonNode newest = history.json().path("changes").path(0);
    assertThat(newest.path("document").path("state").asText()).isEqualTo("in");
    assertThat(newest.path("previous").path("state").asText()).isEqualTo("out");
    assertThat(newest.path("changedBy").asText()).isEqualTo("root");
  }

  /** Guards against a put that reports a change in force while a live process lags (I14). */
  @Test
  void waitReportsLaggardsAndReturnsWhenTheyCatchUp() throws Exception {
    RepeatingTask heartbeats =
        RepeatingTask.every("lag-1", Duration.ofMillis(500), () -> heartbeat("lag-1"));
    String path = "/teams/blue/customers/waited";
    ControlFixture.Response withLaggard =
        control.call("PUT", "/settings" + path + "?wait=true&timeoutMillis=3500", "{}");
    assertThat(withLaggard.json().path("inForce").asBoolean()).isFalse();
    assertThat(withLaggard.json().path("laggards")).extracting(JsonNode::asText).contains("lag-1");
    long target = control.state.revision() + 1;
    Thread follower =
        new Thread(
            () -> {
              try {
                control.handler().watch(new WatchRequest("lag-1", target - 1, 20_000));
                control.handler().watch(new WatchRequest("lag-1", target, 1));
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    follower.start();
    ControlFixture.Response afterCatchUp =
        control.call(
            "PUT",
            "/settings" + path + "?wait=true&timeoutMillis=20000",
            "{\"defaultPriority\": \"urgent\"}");
    follower.join();
    heartbeats.close();
    assertThat(afterCatchUp.json().path("inForce").asBoolean()).isTrue();
    assertThat(afterCatchUp.json().path("laggards")).isEmpty();
  }

  /** Guards against a status that omits a process or the replicas. */
  @Test
  void statusShowsReplicasAndProcesses() throws Exception {
    heartbeat("st-1");
    JsonNode status = control.call("GET", "/status", null).json();
    assertThat(status.path("leader").asText()).isEqualTo("c1");
    assertThat(status.path("replicas").path(0).path("role").asText()).isEqualTo("leader");
    assertThat(status.path("processes"))
        .extracting(p -> p.path("processId").asText() + " " + p.path("state").asText())
        .contains("st-1 live");
  }

  private void heartbeat(String id) throws Exception {
    control
        .handler()
        .heartbeat(
            new HeartbeatRequest(
                ControlFixture.process(id, ProcessKind.GATEWAY, "s1"), 0, false, 0));
  }
}
