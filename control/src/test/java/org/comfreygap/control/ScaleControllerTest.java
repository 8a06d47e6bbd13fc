package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.comfreygap.control.ScaleState.EndpointOrder;
import org.comfreygap.control.ScaleState.Outcome;
import org.comfreygap.decisions.MembershipView;
import org.comfreygap.decisions.ScalePolicy;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.PoolDemand;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.InvalidSettingsException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Load pattern: four gateways report 4 endpoints of 50 slots in each of two zones once a second,
 * while leaders change and the platform does not respond. Guards against calls that are not in the
 * log, that differ when repeated, or that come back after a leader change.
 */
class ScaleControllerTest {

  private static final String SCALING = "{\"min\":2,\"max\":12,\"bootSeconds\":20}";
  private static final DutyReply ACCEPTED = DutyReply.of(200);

  private final MemoryCluster cluster = new MemoryCluster();
  private final List<Node> nodes = new ArrayList<>();
  private final Map<Node, ScaleController> controllers = new HashMap<>();
  private Node leader;
  private ScaleController controller;
  private LeaderTerm term;
  private long now;
  private int reporting = 4;

  @BeforeEach
  void startReplicas() throws Exception {
    for (String id : List.of("c1", "c2", "c3")) {
      Node node = new Node(cluster, id);
      nodes.add(node);
      controllers.put(
          node,
          new ScaleController(
              node.get(Leadership.class),
              node.state,
              ScalePolicy.Settings.DEFAULT,
              new TextDialect(),
              node.get(EventLog.class)));
    }
    now = System.nanoTime();
    lead(0);
    put("/routing/pools/app", "{\"healthPath\":\"/health\",\"maxConnections\":5}");
  }

  @AfterEach
  void stopReplicas() {
    nodes.forEach(Node::close);
  }

  @Test
  void commitsAnOrderBeforeItsCallAndRepeatsTheSameCall() throws Exception {
    put("/routing/scaling/app", SCALING);
    run(10, 100, 20);
    DutyCall call = next().orElseThrow();

    assertThat(call.body()).isEqualTo("app z1 6");
    assertThat(nodes).allSatisfy(n -> assertThat(order(n, "app/z1").call()).isEqualTo(call));
    reply(call, DutyReply.broken("no response"));
    reply(call, DutyReply.of(429));
    assertThat(next()).contains(call);
    reply(call, ACCEPTED);
    assertThat(next()).isEmpty();
    assertThat(nodes)
        .allSatisfy(n -> assertThat(order(n, "app/z1").outcome()).isEqualTo(Outcome.ACCEPTED));
    assertThat(order(leader, "app/z1").countBefore()).isEqualTo(-1);
    assertThat(MemoryCluster.copy(leader.state).readScale(ScaleState::all))
        .isEqualTo(leader.state.readScale(ScaleState::all));
  }

  @Test
  void replacesAnOrderThatIsNotAccepted() throws Exception {
    put("/routing/scaling/app", SCALING);
    run(10, 100, 20);
    DutyCall first = next().orElseThrow();
    run(10, 180, 20);
    DutyCall second = next().orElseThrow();

    assertThat(second.number()).isEqualTo(first.number() + 1);
    assertThat(second.body()).isEqualTo("app z1 10");
    reply(first, ACCEPTED);
    assertThat(next()).contains(second);
  }

  @Test
  void repeatsTheCommittedCallOnceAfterALeaderChangeAndOrdersNothingElse() throws Exception {
    put("/routing/scaling/app", SCALING);
    run(10, 100, 20);
    DutyCall call = next().orElseThrow();
    // The platform accepted the call, but the leader is gone before it records that.
    lead(1);
    assertThat(next()).contains(call);
    reply(call, ACCEPTED);
    lead(2);
    int commands = cluster.commandCount();
    run(40, 100, 20);

    assertThat(next()).isEmpty();
    assertThat(cluster.commandCount()).isEqualTo(commands);
  }

  @Test
  void ordersNothingOnTheReportsOfOneGatewayOfFour() throws Exception {
    put("/routing/scaling/app", SCALING);
    run(10, 20, 20);
    reporting = 1;
    // The newest reports of the others count for a while.
    run(3, 5, 5);
    run(20, 2_000, 2_000);

    assertThat(next()).isEmpty();
    assertThat(controller.numbers(term, now))
        .extracting(ScaleController.Numbers::now)
        .containsOnly(ScalePolicy.Reason.FEW_REPORTS.text());
  }

  @Test
  void ordersNothingForAZoneThatIsOut() throws Exception {
    put("/routing/scaling/app", SCALING, "/platform/zones/z1", "{\"state\":\"out\"}");
    run(20, 150, 150);

    assertThat(leader.state.readScale(ScaleState::all))
        .extracting(EndpointOrder::zone)
        .containsExactly("z2");
  }

  @Test
  void triesCallsOfAllZonesWhileOneFails() throws Exception {
    put("/routing/scaling/app", SCALING);
    run(10, 100, 100);
    DutyCall first = next().orElseThrow();
    reply(first, DutyReply.of(500));
    now += 1;
    DutyCall second = next().orElseThrow();

    assertThat(second.subject()).isNotEqualTo(first.subject());
    reply(second, ACCEPTED);
    assertThat(next()).contains(first);
  }

  @Test
  void makesNoOrderRightAfterOneThatThePlatformRefused() throws Exception {
    put("/routing/scaling/app", SCALING);
    run(10, 100, 20);
    reply(next().orElseThrow(), DutyReply.of(400));
    int commands = cluster.commandCount();
    run(30, 150, 20);

    assertThat(next()).isEmpty();
    assertThat(cluster.commandCount()).isEqualTo(commands);
    assertThat(order(leader, "app/z1").countInForce()).isEmpty();
  }

  @Test
  void doesNothingForPoolsWithoutBounds() throws Exception {
    int commands = cluster.commandCount();
    run(20, 500, 500);

    assertThat(cluster.commandCount()).isEqualTo(commands);
    assertThat(controller.numbers(term, now)).isEmpty();
  }

  @Test
  void readsAnOperatorsWishes() throws Exception {
    assertThat(ScaleSettings.of(settings("").file())).isEqualTo(ScalePolicy.Settings.DEFAULT);
    assertThat(
            ScaleSettings.of(
                settings("endpointNumbers: {targetShare: 0.7, maxChangesPerMinute: 2}").file()))
        .isEqualTo(new ScalePolicy.Settings(0.7, 1, 2));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"targetShare: 0", "targetShare: 1.5", "priceWeight: -1", "maxChangesPerMinute: 0"})
  void refusesWishesOutOfRange(String line) {
    assertThatThrownBy(() -> settings("endpointNumbers: {" + line + "}"))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining(line.replaceAll(".*: ", "given "));
  }

  private static ControlSettings settings(String block) throws InvalidSettingsException {
    return ControlSettings.parse(
        """
        processId: c1
        zone: z1
        adminAddress: 127.0.0.1:1
        control: ["127.0.0.1:2"]
        security: {sharedKeyFile: unused}
        replicaId: c1
        rpcAddress: 127.0.0.1:2
        replicationAddress: 127.0.0.1:3
        httpAddress: 127.0.0.1:4
        dataFolder: unused
        operators: []
        """
            + block);
  }

  private void lead(int index) {
    leader = nodes.get(index);
    cluster.elect(leader.log);
    controller = controllers.get(leader);
    term = leader.term();
    now = Math.max(now, System.nanoTime());
  }

  private void put(String... pathsAndDocuments) {
    assertThat(leader.put("op-" + pathsAndDocuments[0], pathsAndDocuments).code())
        .isEqualTo(ChangeResult.Code.OK);
  }

  /** Reports work in progress in each zone, over all gateways, once a second. */
  private void run(int seconds, int inFirstZone, int inSecondZone) throws Exception {
    for (int i = 0; i < seconds; i++) {
      now += TimeUnit.SECONDS.toNanos(1);
      for (int gateway = 0; gateway < reporting; gateway++) {
        ProcessIdentity identity =
            ControlFixture.process("g" + gateway, ProcessKind.GATEWAY, "start");
        synchronized (term.members()) {
          term.members()
              .heartbeat(
                  new MembershipView.Identity<>(
                      identity.getProcessId(), "start", identity.getAddress(), identity),
                  0,
                  false,
                  now);
        }
        HeartbeatRequest request = new HeartbeatRequest(identity, 0, false, 0);
        request.setDemand(
            List.of(
                new PoolDemand("app", "z1", inFirstZone / reporting, 0, 0, 4, 200),
                new PoolDemand("app", "z2", inSecondZone / reporting, 0, 0, 4, 200)));
        controller.heartbeat(term, request, now);
      }
      controller.maintain(term, now);
    }
  }

  private Optional<DutyCall> next() {
    return controller.next(term, now);
  }

  private void reply(DutyCall call, DutyReply reply) throws LeadershipLost {
    controller.replied(term, call, reply, now);
  }

  private static EndpointOrder order(Node node, String subject) {
    return node.state.readScale(scale -> scale.find(subject)).orElseThrow();
  }

  private static final class TextDialect implements DutyDialect {

    @Override
    public Request usage(long window, Map<String, Long> begun) {
      throw new IllegalStateException("given a window, expected an order");
    }

    @Override
    public Request endpoints(String pool, String zone, int count) {
      return new Request("POST", "/scale", pool + " " + zone + " " + count);
    }

    @Override
    public String holderHeader() {
      return "holder";
    }

    @Override
    public String fencingHeader() {
      return "fencing";
    }

    @Override
    public Optional<Duty> duty(String name) {
      return Optional.empty();
    }
  }
}
