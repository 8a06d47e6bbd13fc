package org.comfreygap.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.comfreygap.protocol.generated.BeginRequest;
import org.comfreygap.protocol.generated.Change;
import org.comfreygap.protocol.generated.ChangeKind;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailableException;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.MembershipAgent;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.Timeline;
import org.comfreygap.settings.SettingsView;

/**
 * Measures the growth of state, messages, processor time and memory at several sizes each, and
 * prints {@code name size value} lines.
 *
 * <p>The real programs run as processes; their live heap is measured after a full collection.
 * Thread safety: one run in a process.
 *
 * @since 0.1
 */
public final class CapacityMain {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final int TEAMS = 100;
  private static final int[] ADAPTER_COUNTS = {3_000, 6_000, 12_000};
  private static final int[] CUSTOMER_COUNTS = {100, 500, 1_000};
  private static final int[] LEDGER_SIZES = {500, 1_000, 2_000};
  private static final int[] PROCESS_COUNTS = {100, 200, 400};

  // Each agent in this process keeps its own settings view; memory limits their number.
  private static final int[] PROCESS_COUNTS_WITH_ADAPTERS = {20, 40, 80};
  private static final long OBSERVATION_MILLIS = 10_000;
  private static final int PROXIED_AGENTS = 5;
  private static final int LEDGER_THREADS = 8;
  private static final int CHANGES = 20;

  private final Path folder;
  private final Layout layout;
  private final ProductFleet fleet;
  private final FakesProcess fakes;
  private final PeerSecurity security;
  private int adapters;
  private int customers;
  private int ledgerEntries;

  private CapacityMain() throws IOException {
    Path root = Path.of(System.getProperty("comfreygap.root", ".")).toAbsolutePath();
    this.folder = Files.createTempDirectory("comfreygap-capacity-");
    this.layout = new Layout(Profile.LIANHUA, new Random());
    this.fakes = FakesProcess.start(root, "fakes", folder, layout);
    this.fleet = new ProductFleet(layout, root, folder);
    this.security = PeerSecurity.of(ProductFleet.sharedKey());
  }

  /** Runs all measurements, or only the in-process ones with the argument {@code views}. */
  public static void main(String[] args) throws Exception {
    SelectorSize.measure();
    if (args.length > 0 && args[0].equals("views")) {
      return;
    }
    CapacityMain capacity = new CapacityMain();
    Runtime.getRuntime().addShutdownHook(new Thread(capacity::stop, "stop-all"));
    capacity.measurePrograms();
    System.exit(0);
  }

  private void measurePrograms() throws Exception {
    fakes.awaitReady(TIMEOUT);
    for (int i = 0; i < Layout.INSTANCES; i++) {
      fleet.startControl(i);
    }
    fleet.startGateway(0);
    fleet.startSidecar(layout.runners.get(0));
    fleet.awaitLeader();
    Map<String, String> platform = new LinkedHashMap<>();
    platform.put("/platform/zones/zone-a", "{\"state\":\"in\"}");
    platform.put("/platform/store", FakesProcess.storeDocument(layout.profile.store()));
    platform.put(
        "/platform/endpoints/" + layout.runners.get(0).name(),
        fleet.endpointDocument(layout.runners.get(0)));
    fleet.admin().putAll(platform, TIMEOUT);
    printProgramSizes("empty", 0);
    measureProcesses(PROCESS_COUNTS, "");
    for (int size : ADAPTER_COUNTS) {
      addAdapters(size);
      Thread.sleep(3_000);
      printProgramSizes("adapters", size);
    }
    for (int size : CUSTOMER_COUNTS) {
      addCustomers(size);
      Thread.sleep(3_000);
      printProgramSizes("customers", size);
    }
    for (int size : LEDGER_SIZES) {
      addLedgerEntries(size);
      print("control_live_heap_bytes_by_ledger_entries", size, leader().liveHeapBytes());
    }
    measureProcesses(PROCESS_COUNTS_WITH_ADAPTERS, "_with_12000_adapters");
    try (EventLog events = new EventLog("capacity", clock(), new Timeline(16))) {
      measureAgentTraffic(events);
    }
  }

  private void printProgramSizes(String what, int size) throws IOException, InterruptedException {
    for (String id : List.of(fleet.leader(), "gateway-1", sidecarId())) {
      String role = id.substring(0, id.indexOf('-'));
      RunningProgram program = fleet.program(id);
      print(role + "_live_heap_bytes_by_" + what, size, program.liveHeapBytes());
      print(role + "_resident_bytes_by_" + what, size, program.residentBytes());
    }
  }

  private void addAdapters(int size) throws IOException, InterruptedException {
    Map<String, String> documents = new LinkedHashMap<>();
    for (; adapters < size; adapters++) {
      String path = "/teams/team-" + adapters % TEAMS + "/adapters/adapter-" + adapters;
      documents.put(path, "{\"baseModel\":\"base-1\",\"customers\":[\"*\"]}");
      documents.put(path + "/versions/1", "{\"source\":\"weights/adapter-" + adapters + "/1\"}");
    }
    fleet.admin().putAll(documents, TIMEOUT);
  }

  private void addCustomers(int size) throws IOException, InterruptedException {
    Map<String, String> documents = new LinkedHashMap<>();
    for (; customers < size; customers++) {
      String path = "/teams/team-" + customers % TEAMS + "/customers/customer-" + customers;
      documents.put(path, "{\"defaultPriority\":\"normal\"}");
      documents.put(path + "/limits", "{\"tokensPerSecond\":1000,\"burstTokens\":10000}");
      documents.put(
          path + "/keys/main",
          "{\"sha256\":\"%064x\",\"state\":\"active\"}".formatted(customers + 1));
    }
    fleet.admin().putAll(documents, TIMEOUT);
  }

  private void addLedgerEntries(int size) throws Exception {
    int first = ledgerEntries;
    ledgerEntries = size;
    try (ControlClient client = new ControlClient(rpcAddresses(), security)) {
      List<Thread> threads = new ArrayList<>();
      for (int thread = 0; thread < LEDGER_THREADS; thread++) {
        int offset = thread;
        threads.add(
            new Thread(
                () -> {
                  for (int i = first + offset; i < size; i += LEDGER_THREADS) {
                    beginLedgerEntry(client, i);
                  }
                }));
      }
      long from = System.nanoTime();
      threads.forEach(Thread::start);
      for (Thread thread : threads) {
        thread.join();
      }
      double seconds = (System.nanoTime() - from) / 1e9;
      print("ledger_entries_per_second_with_8_callers", size, (size - first) / seconds);
    }
  }

  private static void beginLedgerEntry(ControlClient client, int number) {
    BeginRequest request =
        new BeginRequest(
            "team-1/customer-1",
            "order-" + number,
            "%064x".formatted(number),
            "gateway-1",
            "start-1",
            "request-" + number);
    try {
      client.callLeader(Duration.ofSeconds(5), service -> service.beginRequest(request));
    } catch (ControlUnavailableException e) {
      Progress.log("ledger entry " + number + ": " + e.getMessage());
    }
  }

  /** Runs membership agents like those of gateways and sidecars and measures control's load. */
  private void measureProcesses(int[] sizes, String suffix) throws Exception {
    List<MembershipAgent> agents = new ArrayList<>();
    try (EventLog events = new EventLog("capacity", clock(), new Timeline(16));
        ControlClient direct = new ControlClient(rpcAddresses(), security)) {
      for (int size : sizes) {
        while (agents.size() < size) {
          agents.add(agent(agents.size(), direct, events));
        }
        Thread.sleep(5_000);
        observe(size, suffix);
      }
      closeAll(agents);
    }
  }

  /** Closes all agents in parallel, since each waits for its long poll to end. */
  private static void closeAll(List<MembershipAgent> agents) throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (MembershipAgent agent : agents) {
      Thread thread = new Thread(agent::close, "close-agent");
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void observe(int size, String suffix) throws Exception {
    String leader = fleet.leader();
    double before = fleet.program(leader).cpuSeconds();
    double allBefore = controlCpu();
    double gatewayBefore = fleet.program("gateway-1").cpuSeconds();
    double sidecarBefore = fleet.program(sidecarId()).cpuSeconds();
    Thread.sleep(OBSERVATION_MILLIS);
    double seconds = OBSERVATION_MILLIS / 1_000.0;
    double used = fleet.program(leader).cpuSeconds() - before;
    print("control_leader_core_share_by_processes" + suffix, size, used / seconds);
    print(
        "control_all_core_share_by_processes" + suffix, size, (controlCpu() - allBefore) / seconds);
    double gateway = fleet.program("gateway-1").cpuSeconds() - gatewayBefore;
    print("gateway_idle_core_share_by_processes" + suffix, size, gateway / seconds);
    double sidecar = fleet.program(sidecarId()).cpuSeconds() - sidecarBefore;
    print("sidecar_idle_core_share_by_processes" + suffix, size, sidecar / seconds);
    print(
        "control_live_heap_bytes_by_processes" + suffix,
        size,
        fleet.program(leader).liveHeapBytes());
  }

  /** Counts the bytes of a few agents through a TCP forwarder, idle and with changes. */
  private void measureAgentTraffic(EventLog events) throws Exception {
    try (ByteCounter counter = new ByteCounter(rpcAddresses())) {
      List<ControlClient> clients = new ArrayList<>();
      List<MembershipAgent> agents = new ArrayList<>();
      for (int i = 0; i < PROXIED_AGENTS; i++) {
        ControlClient client = new ControlClient(counter.addresses(), security);
        clients.add(client);
        agents.add(agent(10_000 + i, client, events));
      }
      Thread.sleep(8_000);
      print(
          "watch_snapshot_bytes_per_process_by_adapters",
          adapters,
          counter.take() / PROXIED_AGENTS);
      Thread.sleep(OBSERVATION_MILLIS);
      double idle = counter.take() * 1_000.0 / OBSERVATION_MILLIS / PROXIED_AGENTS;
      print("idle_bytes_per_second_per_process", PROXIED_AGENTS, idle);
      for (int i = 0; i < CHANGES; i++) {
        String path = "/teams/team-1/customers/customer-1/limits";
        String document = "{\"tokensPerSecond\":" + (2_000 + i) + ",\"burstTokens\":10000}";
        fleet.admin().put(path, document, TIMEOUT);
        Thread.sleep(OBSERVATION_MILLIS / CHANGES);
      }
      double changed =
          counter.take() / (double) PROXIED_AGENTS - idle * OBSERVATION_MILLIS / 1_000.0;
      print("bytes_per_process_and_change", CHANGES, changed / CHANGES);
      closeAll(agents);
      clients.forEach(ControlClient::close);
    }
  }

  private static MembershipAgent agent(int number, ControlClient client, EventLog events) {
    ProcessIdentity identity =
        new ProcessIdentity(
            "agent-" + number,
            ProcessKind.GATEWAY,
            "start-" + number,
            "zone-a",
            "127.0.0.1:1",
            "127.0.0.1:1");
    return MembershipAgent.start(identity, client, events, Optional::empty);
  }

  private static HybridClock clock() {
    return new HybridClock(System::currentTimeMillis);
  }

  private List<InetSocketAddress> rpcAddresses() {
    return layout.controls.stream()
        .map(ports -> new InetSocketAddress("127.0.0.1", ports.rpc()))
        .toList();
  }

  private RunningProgram leader() throws IOException, InterruptedException {
    return fleet.program(fleet.leader());
  }

  private String sidecarId() {
    return "sidecar-" + layout.runners.get(0).name();
  }

  private double controlCpu() {
    double sum = 0;
    for (int i = 1; i <= Layout.INSTANCES; i++) {
      sum += fleet.program("control-" + i).cpuSeconds();
    }
    return sum;
  }

  private void stop() {
    try {
      fleet.stop();
      fakes.program().kill();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static long minUsedHeapBytes() throws InterruptedException {
    long min = Long.MAX_VALUE;
    // The serial collector keeps dead objects in place in three of four full collections.
    for (int i = 0; i < 5; i++) {
      System.gc();
      Thread.sleep(50);
      Runtime runtime = Runtime.getRuntime();
      min = Math.min(min, runtime.totalMemory() - runtime.freeMemory());
    }
    return min;
  }

  static void print(String name, long size, double value) {
    System.out.println(name + " " + size + " " + Report.format(value));
    System.out.flush();
  }

  /** Sizes of the read models that every gateway keeps, measured in this process. */
  private static final class SelectorSize {

    private SelectorSize() {}

    static void measure() throws InterruptedException {
      measureInNewThread("", 100, SelectorSize::viewBytes);
      for (int size : ADAPTER_COUNTS) {
        measureInNewThread("settings_view_heap_bytes_by_adapters", size, SelectorSize::viewBytes);
      }
      measureInNewThread("", 10, SelectorSize::selectorBytes);
      for (int size : new int[] {230, 460, 920}) {
        measureInNewThread(
            "endpoint_selector_heap_bytes_by_endpoints", size, SelectorSize::selectorBytes);
      }
    }

    /** Measures in a new thread, so that no stack frame keeps an earlier object alive. */
    private static void measureInNewThread(String name, int size, Measure measure)
        throws InterruptedException {
      Thread thread =
          new Thread(
              () -> {
                try {
                  long bytes = measure.bytes(size);
                  if (!name.isEmpty()) {
                    print(name, size, bytes);
                  }
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      thread.start();
      thread.join();
    }

    private static long viewBytes(int size) throws InterruptedException {
      long before = minUsedHeapBytes();
      SettingsView view = view(size);
      long after = minUsedHeapBytes();
      java.lang.ref.Reference.reachabilityFence(view);
      return after - before;
    }

    /** Includes the table of adapter homes, which has a fixed size, and 12,000 queries. */
    private static long selectorBytes(int size) throws InterruptedException {
      long before = minUsedHeapBytes();
      DecisionBenchmarks.Routing routing = new DecisionBenchmarks.Routing(size);
      routing.fill();
      long after = minUsedHeapBytes();
      java.lang.ref.Reference.reachabilityFence(routing);
      return after - before;
    }

    private static SettingsView view(int size) {
      List<Change> changes = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        String path = "/teams/team-" + i % TEAMS + "/adapters/adapter-" + i;
        changes.add(change(path, "{\"baseModel\":\"base-1\",\"customers\":[\"*\"]}", i));
        changes.add(change(path + "/versions/1", "{\"source\":\"weights/" + i + "\"}", i));
      }
      return SettingsView.snapshot(changes, size);
    }

    private interface Measure {

      long bytes(int size) throws InterruptedException;
    }

    private static Change change(String path, String document, int revision) {
      Change change = new Change();
      change.setPath(path);
      change.setKind(ChangeKind.PUT);
      change.setDocument(document);
      change.setRevision(revision);
      return change;
    }
  }
}
