package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Predicate;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.protocol.generated.WatchReply;
import org.comfreygap.protocol.generated.WatchRequest;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.InvalidSettingsException;
import org.comfreygap.runtime.RepeatingTask;
import org.junit.jupiter.api.Test;

/**
 * Tests a control instance through its interfaces to operators, the platform and other processes.
 */
class InstanceTest {

  private static final long TIMEOUT_NANOS = 60_000_000_000L;

  /** Time for several rounds of the leader's membership task. */
  private static final Duration MEMBERSHIP_ROUNDS = Duration.ofMillis(1_000);

  /**
   * Guards against a planned stop that leaves the group without a leader until an election (I13).
   */
  @Test
  void plannedStopTransfersLeadership() throws Exception {
    MemoryCluster cluster = new MemoryCluster();
    ControlState state = new ControlState();
    MemoryCluster.Replica first = cluster.add("c1", state);
    MemoryCluster.Replica second = cluster.add("c2", new ControlState());
    cluster.elect(first);
    ControlFixture control = new ControlFixture("c1", state, first, "");
    assertThat(control.put("/teams/a", "{}").status()).isEqualTo(200);
    control.close();
    assertThat(second.role()).isEqualTo(ReplicatedLog.Role.LEADER);
  }

  /** Guards against an instance that serves operators without a leader lease. */
  @Test
  void operatorCallsAreRetryableWithoutLeader() throws Exception {
    MemoryCluster cluster = new MemoryCluster();
    ControlState state = new ControlState();
    try (ControlFixture control = new ControlFixture("c1", state, cluster.add("c1", state), "")) {
      for (String path : new String[] {"/settings/teams/a", "/status", "/members", "/history"}) {
        ControlFixture.Response response = control.call("GET", path, null);
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.raw().headers().firstValue("Retry-After")).isPresent();
      }
    }
  }

  /** Guards against processes that try to call an instance which only forwards calls. */
  @Test
  void forwardingInstanceIsNotAControlAddress() throws Exception {
    try (ControlFixture control = ControlFixture.startLeader()) {
      ProcessIdentity forwarder =
          new ProcessIdentity("control-2", ProcessKind.CONTROL, "start-1", "z1", "", "127.0.0.1:8");
      control.handler().heartbeat(new HeartbeatRequest(forwarder, 0, false, 0));
      ProcessIdentity gateway = ControlFixture.process("g1", ProcessKind.GATEWAY, "start-1");
      Thread.sleep(MEMBERSHIP_ROUNDS.toMillis());

      HeartbeatReply heartbeat =
          control.handler().heartbeat(new HeartbeatRequest(gateway, 0, false, 0));

      assertThat(heartbeat.getControlAddresses()).isNotEmpty().doesNotContain("");
    }
  }

  /** Guards against a withdrawn key that a heartbeat or a watch still reports as valid (I5). */
  @Test
  void withdrawnKeyAppearsInNextHeartbeatAndWatch() throws Exception {
    try (ControlFixture control = ControlFixture.startLeader()) {
      control.put("/teams/a/customers/c", "{}");
      control.call("POST", "/keys", "{\"customer\": \"a/c\", \"keyId\": \"k\"}");
      JsonNode withdrawn = control.call("DELETE", "/keys/a/c/k", null).json();
      long revision = withdrawn.path("revision").asLong();
      ProcessIdentity gateway = ControlFixture.process("g", ProcessKind.GATEWAY, "s");
      HeartbeatReply heartbeat =
          control.handler().heartbeat(new HeartbeatRequest(gateway, 0, false, 0));
      assertThat(heartbeat.getCommittedRevision()).isGreaterThanOrEqualTo(revision);
      WatchReply watch = control.handler().watch(new WatchRequest("g", revision - 1, 0));
      assertThat(watch.getChanges()).hasSize(1);
      assertThat(watch.getChanges().get(0).getDocument()).contains("withdrawn");
    }
  }

  /**
   * Guards against a leaving instance that is reported as live because the platform's list is not
   * polled (I12).
   */
  @Test
  void platformListIsPolled() throws Exception {
    HttpServer platform = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    String list = "{\"instances\": [{\"address\": \"127.0.0.1:9\", \"state\": \"leaving\"}]}";
    platform.createContext(
        "/list",
        exchange -> {
          byte[] body = list.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    platform.start();
    String url = "http://127.0.0.1:" + platform.getAddress().getPort() + "/list";
    try (ControlFixture control =
            ControlFixture.startLeader("platformList: {url: \"" + url + "\", pollMillis: 100}");
        Closer closer = new Closer()) {
      ProcessIdentity gateway = ControlFixture.process("g", ProcessKind.GATEWAY, "s");
      closer.register(
          RepeatingTask.every(
              "heartbeat",
              Duration.ofMillis(500),
              () -> control.handler().heartbeat(new HeartbeatRequest(gateway, 0, false, 0))));
      awaitProcess(control, p -> p.path("state").asText().equals("leaving"));
    } finally {
      platform.stop(0);
    }
  }

  /** Guards against a status that omits the instance itself and so hides its address. */
  @Test
  void instanceIsListedAsProcess() throws Exception {
    try (ControlFixture control = ControlFixture.startLeader()) {
      awaitProcess(control, p -> p.path("kind").asText().equals("control"));
    }
  }

  /** Guards against an error that reports only the first fault of a settings file. */
  @Test
  void allFaultsOfSettingsFileAreReported() {
    try {
      ControlSettings.parse("processId: \"a b\"\nzone: z\noperators: [{name: x}]\n");
      throw new AssertionError("the file was accepted");
    } catch (InvalidSettingsException e) {
      assertThat(e.faults().size()).isGreaterThanOrEqualTo(10);
    }
  }

  private static void awaitProcess(ControlFixture control, Predicate<JsonNode> condition)
      throws Exception {
    long end = System.nanoTime() + TIMEOUT_NANOS;
    while (end - System.nanoTime() > 0) {
      for (JsonNode process : control.call("GET", "/status", null).json().path("processes")) {
        if (condition.test(process)) {
          return;
        }
      }
      Thread.sleep(50);
    }
    throw new AssertionError("no process in the status met the condition");
  }
}
