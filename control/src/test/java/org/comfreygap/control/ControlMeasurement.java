package org.comfreygap.control;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.thrift.TBase;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.comfreygap.consensus.RaftLog;
import org.comfreygap.consensus.RaftOptions;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.decisions.RequestLedger;
import org.comfreygap.protocol.generated.ControlService;
import org.comfreygap.protocol.generated.CreditExchange;
import org.comfreygap.protocol.generated.CreditItem;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.protocol.generated.Priority;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.WatchReply;
import org.comfreygap.protocol.generated.WatchRequest;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.ThriftConnection;
import org.comfreygap.runtime.Timeline;

/**
 * Measures a control instance and prints one {@code name value} pair per line. Arguments: {@code
 * state}, {@code small-heap}, {@code watch}, {@code credit}, {@code restart}.
 */
final class ControlMeasurement {

  private static final int WATCHERS = 400;
  private static final int TEAMS = 100;

  private ControlMeasurement() {}

  public static void main(String[] arguments) throws Exception {
    for (String argument : arguments) {
      switch (argument) {
        case "state" -> state();
        case "small-heap" -> smallHeap();
        case "watch" -> watch();
        case "credit" -> credit();
        case "restart" -> restart();
        default ->
            throw new IllegalArgumentException(
                "given " + argument + ", expected state, small-heap, watch, credit or restart");
      }
    }
    System.exit(0);
  }

  /** Returns a state with the settings of {@code adapters} adapters of two versions each. */
  static ControlState fleet(int adapters) {
    ControlState state = new ControlState();
    for (int i = 0; i < adapters; i++) {
      String path = "/teams/team-" + i % TEAMS + "/adapters/adapter-" + i;
      SettingsStateTest.change(
          state,
          "operation-" + i,
          path,
          "{\"baseModel\":\"base-1\",\"customers\":[\"*\"]}",
          path + "/versions/1",
          "{\"source\":\"weights/adapter-" + i + "/1\"}",
          path + "/versions/2",
          "{\"source\":\"weights/adapter-" + i + "/2\"}");
    }
    return state;
  }

  /** Applies {@code count} changes of customers' limits. */
  static void applyChanges(ControlState state, int from, int count) {
    for (int i = from; i < from + count; i++) {
      state.apply(i + 1, Codec.encode(changeCommand(i)));
    }
  }

  static Command changeCommand(int i) {
    String customer = "/teams/team-" + i % TEAMS + "/customers/customer-" + i % 500;
    return new Command.ChangeSettings(
        i,
        new Command.Author("change-" + i, "operator-" + i % 20, 1_700_000_000_000L + i),
        List.of(),
        List.of(
            new Command.DocumentChange(customer, "{}"),
            new Command.DocumentChange(
                customer + "/limits",
                "{\"tokensPerSecond\":" + (i + 1) + ",\"burstTokens\":1000}")));
  }

  /** Returns the heap in use after a collection, in bytes. */
  static long heap() throws InterruptedException {
    long smallest = Long.MAX_VALUE;
    for (int i = 0; i < 4; i++) {
      System.gc();
      Thread.sleep(30);
      smallest =
          Math.min(smallest, ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
    }
    return smallest;
  }

  private static void state() throws Exception {
    for (int adapters : new int[] {3_000, 12_000, 24_000}) {
      long before = heap();
      ControlState state = fleet(adapters);
      long used = heap() - before;
      print("state.bytesPerAdapterWithTwoVersions.at" + adapters, used / adapters);
      state.revision();
    }
    for (int customers : new int[] {100, 1_000, 10_000}) {
      long before = heap();
      ControlState state = new ControlState();
      for (int i = 0; i < customers; i++) {
        String path = "/teams/t/customers/customer-" + i;
        SettingsStateTest.change(
            state,
            "op" + i,
            path,
            "{}",
            path + "/limits",
            "{\"tokensPerSecond\":1000,\"burstTokens\":1000}",
            path + "/keys/k1",
            "{\"sha256\":\"" + Operators.sha256("k" + i) + "\",\"state\":\"active\"}");
      }
      print("state.bytesPerCustomerWithLimitsAndKey.at" + customers, (heap() - before) / customers);
      state.revision();
    }
    for (int entries : new int[] {1_000, 5_000, 20_000}) {
      long before = heap();
      RequestLedger ledger = new RequestLedger(RequestLedger.Bounds.DEFAULT);
      for (int i = 0; i < entries; i++) {
        ledger.begin(
            "team/customer-" + i % 10,
            "idempotency-key-" + i,
            Operators.sha256("f" + i),
            new RequestLedger.Owner("gateway-" + i % 10, "start"),
            "request-" + i,
            0);
      }
      print("state.bytesPerLedgerEntry.at" + entries, (heap() - before) / entries);
      print("state.ledgerEntries.at" + entries, ledger.size());
    }
  }

  /**
   * Measures the fleet assumed in the design with a month of changes, and its snapshot; run it with
   * -Xmx32m.
   */
  private static void smallHeap() throws Exception {
    long empty = heap();
    ControlState state = fleet(12_000);
    applyChanges(state, 0, 100_000);
    print("smallHeap.stateBytes", heap() - empty);
    print("smallHeap.maxHeapBytes", Runtime.getRuntime().maxMemory());
    Path file = Files.createTempFile("control-snapshot", ".gz");
    long start = System.nanoTime();
    try (var out = Files.newOutputStream(file)) {
      state.writeSnapshot(out);
    }
    print("smallHeap.snapshotWriteMillis", seconds(start) * 1_000);
    print("smallHeap.snapshotBytes", Files.size(file));
    print("smallHeap.revision", state.revision());
    state = null;
    start = System.nanoTime();
    ControlState copy = new ControlState();
    try (var in = Files.newInputStream(file)) {
      copy.readSnapshot(in);
    }
    print("smallHeap.snapshotReadMillis", seconds(start) * 1_000);
    print("smallHeap.readRevision", copy.revision());
    print("smallHeap.readStateBytes", heap() - empty);
    Files.delete(file);
  }

  private static void restart() throws Exception {
    Path folder = Files.createTempDirectory("control-restart");
    ControlState state = new ControlState();
    try (RaftLog log = open(folder, state)) {
      awaitLease(log);
      List<CompletableFuture<ReplicatedLog.AppliedCommand>> pending = new ArrayList<>();
      long start = System.nanoTime();
      for (int i = 0; i < 100_000; i++) {
        pending.add(log.propose(Codec.encode(changeCommand(i))));
        if (pending.size() == 500) {
          CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0])).get();
          pending.clear();
        }
      }
      CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0])).get();
      print("restart.changesPerSecond", 100_000 / seconds(start));
    }
    long start = System.nanoTime();
    ControlState restarted = new ControlState();
    try (RaftLog log = open(folder, restarted)) {
      awaitLease(log);
      print("restart.millisAfter100000Changes", seconds(start) * 1_000);
      print("restart.revision", restarted.revision());
    }
    deleteAll(folder);
  }

  private static void watch() throws Exception {
    try (Instance control = new Instance()) {
      Watchers watchers = new Watchers(control.fixture);
      watchers.start();
      Thread.sleep(6_000);
      watchers.resetCounters();
      long start = System.nanoTime();
      long cpu = processCpu();
      long serverCpu = serverCpu();
      Thread.sleep(10_000);
      double watcherSeconds = seconds(start) * WATCHERS;
      print("watch.idleBytesPerWatcherSecond", watchers.bytes.get() / watcherSeconds);
      print(
          "watch.idleServerMicrosPerWatcherSecond",
          (serverCpu() - serverCpu) / 1e3 / watcherSeconds);
      print(
          "watch.idleBothSidesMicrosPerWatcherSecond", (processCpu() - cpu) / 1e3 / watcherSeconds);
      double[] millis = new double[100];
      watchers.resetCounters();
      cpu = processCpu();
      for (int i = 0; i < millis.length; i++) {
        ChangeResult result = control.change(i);
        millis[i] = watchers.awaitInForce(result.revision(), System.nanoTime());
      }
      Arrays.sort(millis);
      print("watch.commitToInForceMillis.p50", millis[50]);
      print("watch.commitToInForceMillis.p99", millis[98]);
      print("watch.commitToInForceMillis.max", millis[99]);
      print(
          "watch.bytesPerWatcherAndChange",
          (double) watchers.watchBytes.get() / WATCHERS / millis.length);
      print(
          "watch.bothSidesMicrosPerWatcherAndChange",
          (processCpu() - cpu) / 1e3 / WATCHERS / millis.length);
      watchers.stop();
    }
  }

  private static void credit() throws Exception {
    try (Instance control = new Instance()) {
      control.fixture.put("/teams/t/customers/c", "{}");
      control.fixture.put(
          "/teams/t/customers/c/limits", "{\"tokensPerSecond\":1000000,\"burstTokens\":1000000}");
      AtomicLong exchanges = new AtomicLong();
      AtomicLong notLeaderReplies = new AtomicLong();
      long end = System.nanoTime() + 8_000_000_000L;
      long start = System.nanoTime();
      List<Thread> threads = new ArrayList<>();
      for (int t = 0; t < 8; t++) {
        String gateway = "g" + t;
        Thread thread =
            new Thread(
                () -> {
                  try (ThriftConnection connection = control.connect()) {
                    ControlService.Client client = new ControlService.Client(connection.protocol());
                    long used = 0;
                    for (long n = 1; System.nanoTime() < end; n++) {
                      CreditItem item = new CreditItem("t/c", used, 0, 0, 200, Priority.NORMAL);
                      try {
                        used =
                            client
                                .exchangeCredit(new CreditExchange(gateway, "s", n, List.of(item)))
                                .getGrants()
                                .get(0)
                                .getGranted();
                      } catch (NotLeader ignored) {
                        notLeaderReplies.incrementAndGet();
                        continue;
                      }
                      exchanges.incrementAndGet();
                    }
                  } catch (Exception e) {
                    throw new IllegalStateException(e);
                  }
                });
        thread.start();
        threads.add(thread);
      }
      for (Thread thread : threads) {
        thread.join();
      }
      print("credit.exchangesPerSecond", exchanges.get() / seconds(start));
      print("credit.answersWithoutLease", notLeaderReplies.get());
    }
  }

  private static RaftLog open(Path folder, ControlState state) throws Exception {
    String address = ControlFixture.freeAddress();
    EventLog events =
        new EventLog("m", new HybridClock(System::currentTimeMillis), new Timeline(100));
    return RaftLog.open(
        RaftOptions.builder()
            .replicaId("c1")
            .dataFolder(folder)
            .address(address)
            .initialMembers(List.of(new ReplicaMember("c1", address, true)))
            .security(ControlFixture.SECURITY)
            .events(events)
            .stateMachine(state)
            .snapshotEntries(ControlMain.SNAPSHOT_ENTRIES)
            .trailingEntries(ControlMain.TRAILING_ENTRIES)
            .build());
  }

  private static void awaitLease(RaftLog log) throws InterruptedException {
    while (log.lease(System.nanoTime()).isEmpty()) {
      Thread.sleep(1);
    }
  }

  private static void deleteAll(Path folder) throws Exception {
    try (var files = Files.walk(folder)) {
      for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  private static double seconds(long start) {
    return (System.nanoTime() - start) / 1e9;
  }

  private static long processCpu() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  private static long serverCpu() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (Thread thread : Thread.getAllStackTraces().keySet()) {
      if (thread.getName().startsWith("control-")) {
        sum += Math.max(0, threads.getThreadCpuTime(thread.getId()));
      }
    }
    return sum;
  }

  private static void print(String name, Number value) {
    System.out.println(name + " " + String.format(Locale.ROOT, "%.1f", value.doubleValue()));
  }

  /** One instance with the log on disk. */
  private static final class Instance implements AutoCloseable {

    private final Closer closer = new Closer();
    private final ControlFixture fixture;

    Instance() throws Exception {
      ControlState state = new ControlState();
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      fleet(3_000).writeSnapshot(bytes);
      state.readSnapshot(new ByteArrayInputStream(bytes.toByteArray()));
      Path folder = Files.createTempDirectory("control-measure");
      RaftLog log = closer.register(open(folder, state));
      awaitLease(log);
      fixture = closer.register(new ControlFixture("c1", state, log, ""));
    }

    ChangeResult change(int i) {
      ControlSettings.Operator root = new ControlSettings.Operator("root", "", "/");
      return fixture
          .get(SettingsController.class)
          .change(
              root,
              "measured-" + i,
              List.of(),
              List.of(new Command.DocumentChange("/teams/team-" + i, "{}")));
    }

    ThriftConnection connect() throws Exception {
      return ThriftConnection.open(
          fixture.settings.rpcAddress(), ControlFixture.SECURITY, java.time.Duration.ofSeconds(20));
    }

    @Override
    public void close() {
      closer.close();
    }
  }

  /** Processes that watch and send heartbeats as the membership agent does. */
  private static final class Watchers {

    private final ControlFixture control;
    private final Map<String, Long> inForce = new ConcurrentHashMap<>();
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLong watchBytes = new AtomicLong();
    private final CountDownLatch ready = new CountDownLatch(WATCHERS);
    private volatile boolean stopped;

    Watchers(ControlFixture control) {
      this.control = control;
    }

    void start() throws InterruptedException {
      for (int i = 0; i < WATCHERS; i++) {
        String id = "w" + i;
        new Thread(null, () -> run(() -> watch(id)), id, 256 * 1024).start();
        new Thread(null, () -> run(() -> heartbeat(id)), id + "-hb", 256 * 1024).start();
      }
      ready.await(60, TimeUnit.SECONDS);
    }

    void stop() {
      stopped = true;
    }

    void resetCounters() {
      bytes.set(0);
      watchBytes.set(0);
    }

    double awaitInForce(long revision, long committedNanos) throws InterruptedException {
      synchronized (inForce) {
        while (inForce.values().stream().anyMatch(r -> r < revision)) {
          inForce.wait(1_000);
        }
      }
      return (System.nanoTime() - committedNanos) / 1e6;
    }

    private void watch(String id) throws Exception {
      try (ThriftConnection connection = connect()) {
        ControlService.Client client = new ControlService.Client(connection.protocol());
        long revision = 0;
        while (!stopped) {
          WatchRequest request = new WatchRequest(id, revision, 2_000);
          WatchReply reply = client.watch(request);
          watchBytes.addAndGet(count(request, reply));
          if (revision == 0) {
            ready.countDown();
          }
          revision = reply.getRevision();
          synchronized (inForce) {
            inForce.put(id, revision);
            inForce.notifyAll();
          }
        }
      }
    }

    private void heartbeat(String id) throws Exception {
      try (ThriftConnection connection = connect()) {
        ControlService.Client client = new ControlService.Client(connection.protocol());
        long version = 0;
        while (!stopped) {
          HeartbeatRequest request =
              new HeartbeatRequest(
                  ControlFixture.process(id, ProcessKind.GATEWAY, "s"),
                  inForce.getOrDefault(id, 0L),
                  false,
                  version);
          try {
            HeartbeatReply reply = client.heartbeat(request);
            version = reply.getMembershipVersion();
            count(request, reply);
          } catch (NotLeader ignored) {
            // The lease may expire on an overloaded machine; the next heartbeat follows in a
            // second.
          }
          Thread.sleep(1_000);
        }
      }
    }

    private ThriftConnection connect() throws Exception {
      return ThriftConnection.open(
          control.settings.rpcAddress(), ControlFixture.SECURITY, java.time.Duration.ofSeconds(20));
    }

    private long count(TBase<?, ?> request, TBase<?, ?> reply) throws Exception {
      TSerializer serializer = new TSerializer(new TCompactProtocol.Factory());
      // Each message has a frame length of 4 bytes and a call header of about 15 bytes.
      long size = serializer.serialize(request).length + serializer.serialize(reply).length + 38L;
      bytes.addAndGet(size);
      return size;
    }

    private void run(Task task) {
      try {
        task.run();
      } catch (Exception e) {
        if (!stopped) {
          throw new IllegalStateException(e);
        }
      }
    }

    /** Work of a watcher thread. */
    private interface Task {
      void run() throws Exception;
    }
  }
}
