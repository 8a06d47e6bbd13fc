package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.apache.thrift.TException;
import org.comfreygap.protocol.generated.BeganReport;
import org.comfreygap.protocol.generated.BeginReply;
import org.comfreygap.protocol.generated.BeginRequest;
import org.comfreygap.protocol.generated.Change;
import org.comfreygap.protocol.generated.ChangeKind;
import org.comfreygap.protocol.generated.ControlService;
import org.comfreygap.protocol.generated.CrashReply;
import org.comfreygap.protocol.generated.CrashReport;
import org.comfreygap.protocol.generated.CreditExchange;
import org.comfreygap.protocol.generated.CreditReply;
import org.comfreygap.protocol.generated.EndpointLeaseReply;
import org.comfreygap.protocol.generated.EndpointLeaseRequest;
import org.comfreygap.protocol.generated.FinishRequest;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.Member;
import org.comfreygap.protocol.generated.MemberState;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.protocol.generated.PermitReply;
import org.comfreygap.protocol.generated.PermitRequest;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.protocol.generated.StreamBatch;
import org.comfreygap.protocol.generated.StreamBatchReply;
import org.comfreygap.protocol.generated.WatchReply;
import org.comfreygap.protocol.generated.WatchRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a process that acts on outdated settings or on a reverted revision. */
class MembershipAgentTest {

  private static final PeerSecurity SECURITY =
      PeerSecurity.of(SharedKey.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8)));

  private final Closer closer = new Closer();
  private final StubControl control = new StubControl();
  private MembershipAgent agent;

  @AfterEach
  void stop() {
    closer.close();
  }

  @Test
  void admitsOnlyOnceTheCommittedRevisionIsInForce() throws Exception {
    control.committed = 5;
    control.watchRevision = 4;
    start();
    await(() -> agent.settings().revision() == 4);
    await(() -> control.heartbeats.size() >= 3);
    assertThat(agent.admits()).isFalse();

    control.watchRevision = 5;
    await(agent::admits);
  }

  /** Guards against a process that starts with the settings from before the newest ones. */
  @Test
  void givesAListenerNoOlderSettingsAfterNewerOnes() throws Exception {
    control.watchRevision = 4;
    start();
    await(() -> agent.settings().revision() == 4);
    List<Long> applied = new CopyOnWriteArrayList<>();

    agent.onSettings(
        view -> {
          if (view.revision() == 4) {
            control.watchRevision = 9;
            pauseForAChange();
          }
          applied.add(view.revision());
        });
    await(() -> applied.contains(9L));

    assertThat(applied).containsExactly(4L, 9L);
  }

  @Test
  void stopsAdmittingWithinTheBoundWhenControlHasNoLeader() throws Exception {
    start();
    await(agent::admits);
    control.leading = false;

    long start = System.nanoTime();
    await(() -> !agent.admits());

    // A heartbeat sent just before the change may still succeed: lease bound plus one period.
    assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(7));
  }

  @Test
  void keepsItsRevisionWhenAReplicaLags() throws Exception {
    control.watchRevision = 9;
    start();
    await(() -> agent.settings().revision() == 9);
    int watchesBefore = control.watches.size();
    control.watchRevision = 3;
    await(() -> control.watches.size() >= watchesBefore + 2);

    assertThat(agent.settings().revision()).isEqualTo(9);
    assertThat(agent.settings().customer("blue/c9")).isPresent();
  }

  /** Guards against admitting a quarantined request because a replica lags behind the others. */
  @Test
  void keepsQuarantineUnknownToLaggingReplica() throws Exception {
    start();
    control.quarantined = Map.of("bad", 60_000L);
    await(() -> agent.quarantined("bad", System.nanoTime()));
    int watchesBefore = control.watches.size();
    control.quarantined = Map.of("other", 60_000L);
    await(() -> control.watches.size() >= watchesBefore + 2);
    await(() -> agent.quarantined("other", System.nanoTime()));

    assertThat(agent.quarantined("bad", System.nanoTime())).isTrue();
    assertThat(agent.quarantineLeft("bad", System.nanoTime()).orElseThrow())
        .isLessThanOrEqualTo(Duration.ofSeconds(60));
  }

  @Test
  void keepsQuarantineForItsTimeAndMembersUntilTheyAreGone() throws Exception {
    start();
    control.quarantined = Map.of("bad", 60_000L);
    control.member = Optional.of(MemberState.LEAVING);
    await(() -> agent.quarantined("bad", System.nanoTime()));
    await(() -> !agent.members().isEmpty());
    long later = System.nanoTime() + Duration.ofSeconds(61).toNanos();
    assertThat(agent.quarantined("bad", later)).isFalse();
    assertThat(agent.quarantined("good", System.nanoTime())).isFalse();

    control.member = Optional.of(MemberState.GONE);
    await(() -> agent.members().isEmpty());
  }

  /** A new leader that knows few members must not confirm those that the one before reported. */
  @Test
  void confirmsMembersOnlyByAViewOfTheLeaderThatReplies() throws Exception {
    control.full = true;
    start();
    await(() -> agent.membersConfirmedAt().isPresent());
    control.full = false;
    ClockReading first = agent.membersConfirmedAt().orElseThrow();
    await(() -> agent.membersConfirmedAt().orElseThrow().nanos() > first.nanos());

    control.term = 2;
    int before = control.heartbeats.size();
    await(() -> control.heartbeats.size() >= before + 2);
    ClockReading last = agent.membersConfirmedAt().orElseThrow();
    await(() -> control.heartbeats.size() >= before + 4);
    assertThat(agent.membersConfirmedAt()).hasValue(last);

    control.full = true;
    await(() -> agent.membersConfirmedAt().orElseThrow().nanos() > last.nanos());
  }

  @Test
  void reportsThatItIsLeaving() throws Exception {
    start();
    agent.leave();

    await(() -> control.heartbeats.stream().anyMatch(HeartbeatRequest::isLeaving));
  }

  /**
   * Guards against losing the lease because the watch repeatedly returns to a suspended replica in
   * rotation and waits there for seconds each time.
   */
  @Test
  void followsChangesDespiteStuckReplica() throws Exception {
    StubControl stuck = new StubControl();
    stuck.stuck = true;
    stuck.leading = false;
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    ThriftServer other =
        closer.register(
            ThriftServer.start("stuck", any, SECURITY, new ControlService.Processor<>(stuck)));
    Duration tick = Duration.ofMillis(200);
    MembershipAgent.Timing timing =
        new MembershipAgent.Timing(tick, tick.multipliedBy(5), tick, tick, tick, tick);
    start(List.of(other.address()), timing);

    for (long revision = 1; revision <= 6; revision++) {
      long begin = System.nanoTime();
      long expected = revision;
      control.watchRevision = revision;
      control.committed = revision;
      await(() -> agent.settings().revision() == expected);
      // The watch may be at the stuck replica at the first change, but not at later ones.
      long bound = revision == 1 ? 3_000 : 450;
      assertThat(Duration.ofNanos(System.nanoTime() - begin)).isLessThan(Duration.ofMillis(bound));
      Thread.sleep(300);
    }
  }

  /** Starts the agent; called by each test once the responses of control are set. */
  private void start() throws Exception {
    start(List.of(), MembershipAgent.Timing.STANDARD);
  }

  private void start(List<InetSocketAddress> others, MembershipAgent.Timing timing)
      throws Exception {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    ThriftServer server =
        closer.register(
            ThriftServer.start("stub", any, SECURITY, new ControlService.Processor<>(control)));
    control.address = Addresses.text(server.address());
    EventLog events =
        closer.register(new EventLog("p", new HybridClock(() -> 1_000), new Timeline(100)));
    List<InetSocketAddress> seeds = new ArrayList<>(others);
    seeds.add(server.address());
    ControlClient client = closer.register(new ControlClient(seeds, SECURITY));
    ProcessIdentity identity =
        new ProcessIdentity(
            "gateway-1", ProcessKind.GATEWAY, "s1", "north", "127.0.0.1:1", "127.0.0.1:2");
    agent =
        closer.register(MembershipAgent.start(identity, client, events, Optional::empty, timing));
  }

  private static void pauseForAChange() {
    try {
      Thread.sleep(1_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("condition within 20 s").isLessThan(end);
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Serves heartbeats and watches from its fields; the other calls are not used here. */
  private static final class StubControl implements ControlService.Iface {

    private final List<HeartbeatRequest> heartbeats = new CopyOnWriteArrayList<>();
    private final List<WatchRequest> watches = new CopyOnWriteArrayList<>();
    private volatile String address;
    private volatile boolean leading = true;
    private volatile boolean stuck;
    private volatile long committed;
    private volatile long watchRevision;
    private volatile Map<String, Long> quarantined = Map.of();
    private volatile Optional<MemberState> member = Optional.empty();
    private volatile long term = 1;
    private volatile boolean full;

    @Override
    public HeartbeatReply heartbeat(HeartbeatRequest request) throws NotLeader {
      heartbeats.add(request);
      if (!leading) {
        throw new NotLeader();
      }
      List<Member> changed = new ArrayList<>();
      member.ifPresent(
          state -> {
            ProcessIdentity identity = request.getIdentity().deepCopy().setProcessId("sidecar-1");
            changed.add(new Member(identity, state, 0));
          });
      return new HeartbeatReply(committed, term, 1, changed, full, List.of(address));
    }

    @Override
    public WatchReply watch(WatchRequest request) {
      watches.add(request);
      pause(stuck ? 10_000 : 20);
      List<Change> changes = new ArrayList<>();
      if (watchRevision > request.getAfterRevision()) {
        String path = "/teams/blue/customers/c" + watchRevision;
        changes.add(new Change(path, ChangeKind.PUT, watchRevision).setDocument("{}"));
      }
      return new WatchReply(watchRevision, false, changes).setQuarantined(quarantined);
    }

    @Override
    public CreditReply exchangeCredit(CreditExchange request) throws TException {
      throw new TException("not used");
    }

    @Override
    public PermitReply acquireLoadPermit(PermitRequest request) throws TException {
      throw new TException("not used");
    }

    @Override
    public void releaseLoadPermit(String permitId) throws TException {
      throw new TException("not used");
    }

    @Override
    public EndpointLeaseReply acquireEndpoint(EndpointLeaseRequest request) throws TException {
      throw new TException("not used");
    }

    @Override
    public BeginReply beginRequest(BeginRequest request) throws TException {
      throw new TException("not used");
    }

    @Override
    public void finishRequest(FinishRequest request) throws TException {
      throw new TException("not used");
    }

    @Override
    public StreamBatchReply recordStreams(StreamBatch batch) throws TException {
      throw new TException("not used");
    }

    @Override
    public void reportBegan(BeganReport report) throws TException {
      throw new TException("not used");
    }

    @Override
    public CrashReply reportCrash(CrashReport report) throws TException {
      throw new TException("not used");
    }

    private static void pause(long millis) {
      try {
        Thread.sleep(millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
