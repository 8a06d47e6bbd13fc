package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.ProcessKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what an operator hears of a change that is committed when its leader hands over. */
class ChangeAtPlannedStopTest {

  private static final String PATH = "/teams/blue/customers/press";

  private final MemoryCluster cluster = new MemoryCluster();
  private MemoryCluster.Replica other;
  private ControlFixture leader;

  @BeforeEach
  void start() throws Exception {
    ControlState state = new ControlState();
    MemoryCluster.Replica first = cluster.add("c1", state);
    other = cluster.add("c2", new ControlState());
    cluster.elect(first);
    leader = new ControlFixture("c1", state, first, "");
    leader.handler();
  }

  @AfterEach
  void stop() {
    leader.close();
  }

  /**
   * Guards against a redirect to the new leader after the change is committed: the caller repeats
   * it there, under another operation id or as a conflict with itself.
   */
  @Test
  void acknowledgesChangeWhoseLeaderHandsOverAtItsCommit() throws Exception {
    cluster.electAfterNextCommand(other);

    ControlFixture.Response response =
        leader.call("PUT", "/settings" + PATH + "?wait=true", "{}", "If-Match", "0");

    assertAcknowledged(response);
  }

  /** Guards against a committed change that is answered as one of unknown outcome. */
  @Test
  void acknowledgesChangeWhoseLeaderHandsOverWhileItIsAwaited() throws Exception {
    leader
        .handler()
        .heartbeat(
            new HeartbeatRequest(
                ControlFixture.process("lag-1", ProcessKind.GATEWAY, "s1"), 0, false, 0));
    CompletableFuture<ControlFixture.Response> call =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return leader.call("PUT", "/settings" + PATH + "?wait=true", "{}", "If-Match", "0");
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    while (leader.state.revision() == 0) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    TimeUnit.MILLISECONDS.sleep(50);
    cluster.elect(other);

    assertAcknowledged(call.get(30, TimeUnit.SECONDS));
  }

  private void assertAcknowledged(ControlFixture.Response response) {
    assertThat(response.status()).as("%s", response.json()).isEqualTo(200);
    assertThat(response.json().path("revision").asLong()).isEqualTo(1);
    assertThat(response.json().path("operationId").asText()).isNotEmpty();
    assertThat(response.json().path("inForce").asBoolean(true)).isFalse();
  }
}
