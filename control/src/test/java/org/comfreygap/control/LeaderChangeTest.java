package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.comfreygap.decisions.StreamOrigins;
import org.comfreygap.protocol.generated.BeginReply;
import org.comfreygap.protocol.generated.BeginRequest;
import org.comfreygap.protocol.generated.CrashReport;
import org.comfreygap.protocol.generated.CreditExchange;
import org.comfreygap.protocol.generated.CreditItem;
import org.comfreygap.protocol.generated.CreditReply;
import org.comfreygap.protocol.generated.EndpointLeaseReply;
import org.comfreygap.protocol.generated.EndpointLeaseRequest;
import org.comfreygap.protocol.generated.FinishRequest;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.InvalidCall;
import org.comfreygap.protocol.generated.LedgerState;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.protocol.generated.Outcome;
import org.comfreygap.protocol.generated.PermitReply;
import org.comfreygap.protocol.generated.PermitRequest;
import org.comfreygap.protocol.generated.Priority;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.protocol.generated.StoredAnswer;
import org.comfreygap.protocol.generated.StreamBatch;
import org.comfreygap.protocol.generated.StreamBatchReply;
import org.comfreygap.protocol.generated.StreamLookup;
import org.comfreygap.protocol.generated.StreamOrigin;
import org.comfreygap.protocol.generated.StreamRecord;
import org.comfreygap.protocol.generated.WatchReply;
import org.comfreygap.protocol.generated.WatchRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the Thrift service across two instances: leader changes, lost results and lagging replicas.
 */
class LeaderChangeTest {

  private static final String CUSTOMER = "blue/press";

  private final MemoryCluster cluster = new MemoryCluster();
  private Node first;
  private Node second;

  @BeforeEach
  void start() throws Exception {
    first = new Node(cluster, "c1");
    second = new Node(cluster, "c2");
    cluster.elect(first.log);
    first.term();
    first.put(
        "setup",
        "/teams/blue/customers/press",
        "{}",
        "/teams/blue/customers/press/limits",
        "{\"tokensPerSecond\":1,\"burstTokens\":1000}",
        "/platform/store",
        "{\"loadsPerSecond\":50,\"fullSpeedLoads\":2,\"maxInFlight\":4}");
  }

  @AfterEach
  void stop() {
    first.close();
    second.close();
  }

  /**
   * Guards against a follower, or a replica without a lease, that serves calls as leader (I6, I12).
   */
  @Test
  void nonLeadersRejectCallsAndNameLeader() {
    List<Call> calls =
        List.of(
            node -> node.handler.heartbeat(heartbeat("g", "s1", 0)),
            node -> node.handler.exchangeCredit(credit("g", 1, 0, 10)),
            node -> node.handler.acquireLoadPermit(permit("p", "v", 0)),
            node -> node.handler.releaseLoadPermit("p"),
            node -> node.handler.acquireEndpoint(lease("s1", 0)),
            node -> node.handler.beginRequest(begin("g", "r1")),
            node -> node.handler.finishRequest(finish("r1", Outcome.NOT_RUN)),
            node -> node.handler.reportCrash(crash("b1")));
    for (Call call : calls) {
      assertThatThrownBy(() -> call.on(second))
          .isInstanceOfSatisfying(
              NotLeader.class, e -> assertThat(e.getLeaderAddress()).isEqualTo("127.0.0.1:21"));
    }
    cluster.removeLeader();
    for (Call call : calls) {
      assertThatThrownBy(() -> call.on(first)).isInstanceOf(NotLeader.class);
    }
  }

  /** Guards against followers that know no address of a leader whose log was full at first. */
  @Test
  void leaderRegistersItsAddressOnceItsLogAcceptsCommands() {
    cluster.refuseCommands(1);
    cluster.elect(second.log);
    second.term();
    assertThat(first.get(Leadership.class).notLeader().getLeaderAddress()).isNull();
    second.term();
    assertThat(first.get(Leadership.class).notLeader().getLeaderAddress())
        .isEqualTo("127.0.0.1:22");
  }

  /** Guards against a customer that gets no more credit after one command was refused (I6). */
  @Test
  void creditIsGrantedOnceTheLogAcceptsCommandsAgain() throws Exception {
    cluster.refuseCommands(1);
    assertThatThrownBy(() -> first.handler.exchangeCredit(credit("g", 1, 0, 700)))
        .isInstanceOf(NotLeader.class);
    assertThat(granted(first, credit("g", 2, 0, 700))).isEqualTo(700);
  }

  /** Guards against a new leader that grants credit already granted by its predecessor (I6). */
  @Test
  void outstandingCreditCountsAsSpentAfterLeaderChange() throws Exception {
    assertThat(granted(first, credit("g", 1, 0, 700))).isEqualTo(700);
    cluster.elect(second.log);
    long again = granted(second, credit("h", 1, 0, 1_000));
    again += granted(second, credit("h", 2, 0, 300));
    assertThat(again).isLessThanOrEqualTo(310);
    cluster.elect(first.log);
    assertThat(granted(first, credit("i", 1, 0, 1_000))).isLessThanOrEqualTo(20);
  }

  /** Guards against returned credit that a new leader counts a second time (I6). */
  @Test
  void resentReturnIsNotCreditedTwiceByNewLeader() throws Exception {
    granted(first, credit("g", 1, 0, 1_000));
    CreditExchange creditReturn = credit("g", 2, 400, 0);
    first.handler.exchangeCredit(creditReturn);
    assertThat(granted(first, credit("h", 1, 0, 400))).isEqualTo(400);
    cluster.elect(second.log);
    second.handler.exchangeCredit(creditReturn);
    assertThat(granted(second, credit("h", 2, 0, 1_000))).isLessThanOrEqualTo(10);
  }

  /** Guards against a lowered limit that the leader applies with a delay (I6). */
  @Test
  void loweredLimitAppliesFromNextExchange() throws Exception {
    first.put(
        "lower",
        "/teams/blue/customers/press/limits",
        "{\"tokensPerSecond\":1,\"burstTokens\":50}");
    assertThat(granted(first, credit("g", 1, 0, 1_000))).isLessThanOrEqualTo(50);
    first.put("none", "/teams/blue/customers/press/limits", null);
    assertThat(granted(first, credit("h", 1, 0, 10))).isZero();
  }

  /** Guards against malformed exchanges that grow the state or receive tokens. */
  @Test
  void malformedExchangesAreRefused() {
    CreditExchange negative = credit("g", 1, -5, 10);
    CreditExchange twice = credit("g", 1, 0, 10);
    twice.addToItems(twice.getItems().get(0));
    for (CreditExchange bad : List.of(negative, twice)) {
      assertThatThrownBy(() -> first.handler.exchangeCredit(bad)).isInstanceOf(InvalidCall.class);
    }
  }

  /** Guards against a ledger entry lost with the leader or in compaction (I11). */
  @Test
  void ledgerEntriesSurviveLeaderChangeAndSnapshot() throws Exception {
    assertThat(first.handler.beginRequest(begin("g", "r1")).getState())
        .isEqualTo(LedgerState.STARTED);
    cluster.elect(second.log);
    assertThat(second.handler.beginRequest(begin("g", "r1")).getState())
        .isEqualTo(LedgerState.STARTED);
    assertThat(second.handler.beginRequest(begin("h", "r2")).getState())
        .isEqualTo(LedgerState.IN_PROGRESS);
    second.handler.finishRequest(finish("r1", Outcome.RAN));
    ControlState copy = MemoryCluster.copy(second.state);
    assertThat(copy.ledgerSize()).isEqualTo(1);
    BeginReply repeat = second.handler.beginRequest(begin("h", "r2"));
    assertThat(repeat.getState()).isEqualTo(LedgerState.DONE);
    assertThat(repeat.getAnswer().getBody()).isEqualTo(new byte[] {7});
    BeginRequest other = begin("h", "r3");
    other.setFingerprint("another");
    assertThat(second.handler.beginRequest(other).getState()).isEqualTo(LedgerState.KEY_REUSED);
  }

  /**
   * Guards against concurrent resends through several gateways of which more than one starts (I11).
   */
  @Test
  void onlyOneOfConcurrentResendsStarts() throws Exception {
    ExecutorService pool = Executors.newFixedThreadPool(8);
    List<Future<BeginReply>> replies = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      BeginRequest request = begin("g" + i, "r" + i);
      replies.add(pool.submit(() -> first.handler.beginRequest(request)));
    }
    int started = 0;
    for (Future<BeginReply> reply : replies) {
      started += reply.get().getState() == LedgerState.STARTED ? 1 : 0;
    }
    pool.shutdown();
    assertThat(started).isEqualTo(1);
  }

  /**
   * Guards against STARTED without a committed entry, and against a resend that then runs again
   * (I11).
   */
  @Test
  void unknownBeginOutcomeIsNotReportedAsStarted() throws Exception {
    cluster.loseResults(1);
    assertThatThrownBy(() -> first.handler.beginRequest(begin("g", "r1")))
        .isInstanceOf(NotLeader.class);
    assertThat(first.handler.beginRequest(begin("h", "r2")).getState())
        .isEqualTo(LedgerState.IN_PROGRESS);
    assertThat(first.handler.beginRequest(begin("g", "r1")).getState())
        .isEqualTo(LedgerState.STARTED);
  }

  /** Guards against ledger entries of a gone gateway that stay in progress forever (I11). */
  @Test
  void entriesOfARestartedGatewayBecomeUnknown() throws Exception {
    first.handler.heartbeat(heartbeat("g", "s1", 0));
    first.handler.beginRequest(begin("g", "r1"));
    first.term().ownerLastContactNanos().clear();
    first.get(LedgerController.class).maintain(first.term());
    assertThat(first.handler.beginRequest(begin("h", "r2")).getState())
        .isEqualTo(LedgerState.IN_PROGRESS);
    first.handler.heartbeat(heartbeat("g", "s2", 0));
    first.get(LedgerController.class).maintain(first.term());
    assertThat(first.handler.beginRequest(begin("h", "r2")).getState())
        .isEqualTo(LedgerState.UNKNOWN);
  }

  /** Guards against fencing numbers that decrease or repeat, and against a second holder. */
  @Test
  void fencingNumbersAreCommittedAndAnotherHolderWaits() throws Exception {
    EndpointLeaseReply held = first.handler.acquireEndpoint(lease("s1", 0));
    assertThat(held.isGranted()).isTrue();
    assertThat(held.getFencing()).isEqualTo(1);
    assertThat(first.handler.acquireEndpoint(lease("s2", 0)).isGranted()).isFalse();
    cluster.elect(second.log);
    EndpointLeaseReply refused = second.handler.acquireEndpoint(lease("s2", 0));
    assertThat(refused.isGranted()).isFalse();
    assertThat(refused.getRetryAfterMillis()).isBetween(6_000L, 8_000L);
    EndpointLeaseReply renewed = second.handler.acquireEndpoint(lease("s1", 1));
    assertThat(renewed.isGranted()).isTrue();
    assertThat(renewed.getFencing()).isEqualTo(1);
    assertThat(MemoryCluster.copy(second.state).endpointGrant("e1").orElseThrow().fencing())
        .isEqualTo(1);
  }

  /** Guards against a stream that is joined because a new leader does not know where it began. */
  @Test
  void originsOfStreamsSurviveLeaderChange() throws Exception {
    StreamOrigin base = new StreamOrigin("app", "v1");
    StreamOrigin other = new StreamOrigin("app", "v2");
    String prefix = StreamOrigins.key("shop.example", "/chat/");
    Map<String, List<StreamOrigin>> listed = Map.of(prefix, List.of(base, other));
    StreamRecord record = new StreamRecord("r1", prefix, other);
    first.handler.recordStreams(new StreamBatch("g", List.of(record), List.of(), listed));
    cluster.elect(second.log);

    String path = StreamOrigins.key("shop.example", "/chat/7");
    List<StreamLookup> lookups =
        List.of(
            new StreamLookup(0, path).setRequestId("r1"),
            new StreamLookup(1, path).setRequestId("r2"),
            new StreamLookup(2, path));
    StreamBatchReply reply =
        second.handler.recordStreams(new StreamBatch("g", List.of(), lookups, listed));
    assertThat(reply.getFound()).isEqualTo(Map.of(0, other, 1, base));
    assertThat(reply.getBases()).isEqualTo(Map.of(prefix, base));
  }

  /** Guards against a leader change between a new route and the take-up of an earlier stream. */
  @Test
  void originsOfStreamsSurviveRouteAndLeaderChange() throws Exception {
    StreamOrigin base = new StreamOrigin("app", "v1");
    StreamOrigin other = new StreamOrigin("app", "v2");
    String prefix = StreamOrigins.key("shop.example", "/chat/");
    String added = StreamOrigins.key("shop.example", "/chat/long/");
    first.handler.recordStreams(
        new StreamBatch("g", List.of(), List.of(), Map.of(prefix, List.of(base))));
    cluster.elect(second.log);

    StreamLookup lookup =
        new StreamLookup(0, StreamOrigins.key("shop.example", "/chat/long/7")).setRequestId("r1");
    StreamBatchReply reply =
        second.handler.recordStreams(
            new StreamBatch("g", List.of(), List.of(lookup), Map.of(added, List.of(other, base))));
    assertThat(reply.getFound()).isEqualTo(Map.of(0, base));
    assertThat(reply.getBases()).isEqualTo(Map.of(added, base));
  }

  /** Guards against a quarantine known to one instance only, and against a crash counted twice. */
  @Test
  void secondCrashQuarantinesOnAllInstances() throws Exception {
    first.handler.reportCrash(crash("b1"));
    assertThat(first.handler.reportCrash(crash("b1")).getQuarantined()).isEmpty();
    cluster.elect(second.log);
    WatchReply before = second.handler.watch(new WatchRequest("g", 1, 0));
    assertThat(before.getQuarantined()).isEmpty();
    ExecutorService pool = Executors.newSingleThreadExecutor();
    Future<WatchReply> watch =
        pool.submit(() -> first.handler.watch(new WatchRequest("g", 1, 30_000)));
    assertThat(second.handler.reportCrash(crash("b2")).getQuarantined()).containsExactly("bad");
    WatchReply reply = watch.get();
    pool.shutdown();
    assertThat(reply.getRevision()).isEqualTo(1);
    assertThat(reply.getQuarantined().get("bad")).isBetween(800_000L, 900_000L);
    assertThat(MemoryCluster.copy(first.state).quarantined()).containsKey("bad");
  }

  /**
   * Guards against a watcher that receives an older revision, or stays with a disconnected replica.
   */
  @Test
  void laggingReplicaRejectsWatches() throws Exception {
    assertThat(second.handler.watch(new WatchRequest("g", 0, 0)).isSnapshot()).isTrue();
    second.log.stopApplying();
    first.put("later", "/teams/blue", "{}");
    WatchReply newer = first.handler.watch(new WatchRequest("g", 1, 0));
    assertThat(newer.getRevision()).isEqualTo(2);
    assertThat(newer.getChanges()).hasSize(1);
    assertThatThrownBy(() -> second.handler.watch(new WatchRequest("g", 2, 0)))
        .isInstanceOf(InvalidCall.class);
    assertThat(second.handler.watch(new WatchRequest("g", 1, 0)).getRevision()).isEqualTo(1);
    second.log.disconnect();
    assertThatThrownBy(() -> second.handler.watch(new WatchRequest("g", 1, 0)))
        .isInstanceOf(InvalidCall.class);
  }

  /** Guards against a resend after a lost response that changes the tree twice (I14). */
  @Test
  void resendAfterLostResponseReturnsFirstResult() {
    cluster.loseResults(1);
    assertThatThrownBy(() -> first.put("op", "/teams/blue", "{}")).isInstanceOf(ApiException.class);
    cluster.elect(second.log);
    assertThat(second.put("op", "/teams/blue", "{}").revision()).isEqualTo(2);
    assertThat(second.state.revision()).isEqualTo(2);
  }

  /**
   * Guards against heartbeat replies that repeat every member, or omit members after an election.
   */
  @Test
  void heartbeatRepliesCarryChangesOnly() throws Exception {
    HeartbeatReply joined = first.handler.heartbeat(heartbeat("a", "s1", 0));
    HeartbeatRequest sidecar =
        new HeartbeatRequest(ControlFixture.process("b", ProcessKind.SIDECAR, "s1"), 0, false, 0);
    first.handler.heartbeat(sidecar);
    assertThat(joined.isFull()).isFalse();
    long deadline = System.nanoTime() + 30_000_000_000L;
    HeartbeatReply full = first.handler.heartbeat(heartbeat("a", "s1", 0));
    while (!full.isFull() && System.nanoTime() < deadline) {
      Thread.sleep(50);
      full = first.handler.heartbeat(heartbeat("a", "s1", 0));
    }
    assertThat(full.getMembers())
        .extracting(member -> member.getIdentity().getProcessId())
        .containsExactlyInAnyOrder("a", "b");
    assertThat(first.handler.heartbeat(sidecar).getMembers()).isEmpty();
    assertThat(full.getCommittedRevision()).isEqualTo(1);
    long version = full.getMembershipVersion();
    HeartbeatReply delta = first.handler.heartbeat(heartbeat("a", "s1", version));
    assertThat(delta.isFull()).isFalse();
    assertThat(delta.getMembers()).isEmpty();
    cluster.elect(second.log);
    HeartbeatReply after = second.handler.heartbeat(heartbeat("a", "s1", version));
    assertThat(after.isFull()).isFalse();
    assertThat(after.getMembershipVersion()).isEqualTo(version);
  }

  /** Guards against two permits for one version, and against waiting calls that are never woken. */
  @Test
  void aWaitingPermitIsGrantedOnRelease() throws Exception {
    ExecutorService pool = Executors.newSingleThreadExecutor();
    PermitReply held = acquireUntilGranted("p1", "v");
    assertThat(held.isGranted()).isTrue();
    PermitReply refused = first.handler.acquireLoadPermit(permit("p2", "v", 0));
    assertThat(refused.isGranted()).isFalse();
    assertThat(refused.getLoadingAt()).isEqualTo("e1");
    Future<PermitReply> waiting =
        pool.submit(() -> first.handler.acquireLoadPermit(permit("p3", "v", 500)));
    first.handler.releaseLoadPermit("p1");
    boolean granted = waiting.get().isGranted() || acquireUntilGranted("p3", "v").isGranted();
    assertThat(granted).isTrue();
    pool.shutdown();
  }

  private PermitReply acquireUntilGranted(String id, String version) throws Exception {
    long deadline = System.nanoTime() + 30_000_000_000L;
    PermitReply reply = first.handler.acquireLoadPermit(permit(id, version, 100));
    while (!reply.isGranted() && System.nanoTime() < deadline) {
      reply = first.handler.acquireLoadPermit(permit(id, version, 100));
    }
    return reply;
  }

  private static long granted(Node node, CreditExchange exchange) throws Exception {
    CreditReply reply = node.handler.exchangeCredit(exchange);
    return reply.getGrants().get(0).getGranted();
  }

  private static CreditExchange credit(
      String gateway, long sequence, long returned, long requested) {
    CreditItem item = new CreditItem(CUSTOMER, 0, returned, 0, requested, Priority.NORMAL);
    return new CreditExchange(gateway, "s1", sequence, new ArrayList<>(List.of(item)));
  }

  private static PermitRequest permit(String id, String version, int waitMillis) {
    return new PermitRequest(id, "e1", version, CUSTOMER, Priority.URGENT, waitMillis);
  }

  private static EndpointLeaseRequest lease(String startId, long fencing) {
    return new EndpointLeaseRequest("e1", "sidecar", startId, fencing);
  }

  private static BeginRequest begin(String gateway, String requestId) {
    return new BeginRequest(CUSTOMER, "key", "print", gateway, "s1", requestId);
  }

  private static FinishRequest finish(String requestId, Outcome outcome) {
    FinishRequest request = new FinishRequest(CUSTOMER, "key", requestId, outcome);
    request.setAnswer(new StoredAnswer(200, Map.of(), ByteBuffer.wrap(new byte[] {7})));
    return request;
  }

  private static CrashReport crash(String boot) {
    return new CrashReport("e1", boot, List.of("bad"), "sidecar");
  }

  private static HeartbeatRequest heartbeat(String id, String startId, long version) {
    return new HeartbeatRequest(
        ControlFixture.process(id, ProcessKind.GATEWAY, startId), 0, false, version);
  }

  /** A call on a node. */
  private interface Call {
    void on(Node node) throws Exception;
  }
}
