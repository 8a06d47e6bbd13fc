package org.comfreygap.consensus;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.RepeatingTask;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.runtime.Timeline;

/**
 * Measures three replicas on loopback with real files and syncs; prints one {@code name value} per
 * line.
 *
 * <p>Arguments: the data folder, by default {@code target/benchmark}, and {@code idle} or {@code
 * leader} to run only that measurement. Bytes are counted by a forwarder in front of each replica,
 * so they exclude TCP and IP headers. Thread safety: one thread.
 */
public final class ConsensusBenchmark {

  private static final int COMMAND_BYTES = 200;
  // Small enough that the log stays below the size that triggers a snapshot.
  private static final int SMALL_COMMAND_BYTES = 64;
  private static final int COMMITS = 20_000;
  private static final int LEADER_CHANGES = 10;
  private static final int RESTART_ENTRIES = 100_000;
  private static final Duration IDLE_PERIOD = Duration.ofSeconds(5);

  private final Path folder;
  private final EventLog events =
      new EventLog("benchmark", new HybridClock(System::currentTimeMillis), new Timeline(100));
  private final AtomicLong bytes = new AtomicLong();
  private final List<ReplicaMember> members = new ArrayList<>();
  private final List<ReplicaMember> directMembers = new ArrayList<>();
  private final List<RaftLog> logs = new ArrayList<>();

  private ConsensusBenchmark(Path folder) {
    this.folder = folder;
  }

  /** Runs all measurements. */
  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args.length > 0 ? args[0] : "target/benchmark");
    new ConsensusBenchmark(folder).run(args.length > 1 ? args[1] : "all");
  }

  private void run(String part) throws Exception {
    deleteAll();
    startReplicas();
    if (!part.equals("all")) {
      if (part.equals("idle")) {
        measureIdle();
      } else {
        measureLeaderChanges();
      }
      logs.forEach(RaftLog::kill);
      events.close();
      return;
    }
    measureSync();
    measureCommits("warmup", 64, COMMITS, COMMAND_BYTES);
    measureCommits("1_client", 1, COMMITS / 20, COMMAND_BYTES);
    measureCommits("16_clients", 16, COMMITS, COMMAND_BYTES);
    measureCommits("256_clients", 256, 5 * COMMITS, COMMAND_BYTES);
    measureIdle();
    measureLeaderChanges();
    logs.forEach(RaftLog::close);
    measureRestart("snapshots", 20_000);
    measureRestart("log_only", Integer.MAX_VALUE / 2);
    events.close();
    deleteAll();
  }

  private void measureSync() throws Exception {
    try (FileDisk disk = FileDisk.open(folder.resolve("sync"));
        Disk.DiskFile file = disk.write("probe")) {
      long[] nanos = new long[500];
      for (int i = 0; i < nanos.length; i++) {
        long begin = System.nanoTime();
        file.write((long) i * COMMAND_BYTES, ByteBuffer.wrap(new byte[COMMAND_BYTES]));
        file.sync();
        nanos[i] = System.nanoTime() - begin;
      }
      Arrays.sort(nanos);
      print("sync_p50_ms", nanos[nanos.length / 2] / 1e6);
      print("sync_p99_ms", nanos[nanos.length * 99 / 100] / 1e6);
    }
  }

  private void startReplicas() throws Exception {
    for (int i = 0; i < 3; i++) {
      int port = freePort();
      Forwarder forwarder = new Forwarder(port);
      String id = "r" + i;
      members.add(new ReplicaMember(id, "127.0.0.1:" + forwarder.port(), true));
      directMembers.add(new ReplicaMember(id, "127.0.0.1:" + port, true));
    }
    for (int i = 0; i < 3; i++) {
      logs.add(open(i));
    }
    leader();
    while (leader().members().stream().filter(ReplicaMember::isVoter).count() < 3) {
      Thread.sleep(1);
    }
  }

  private RaftLog open(int number) throws Exception {
    ReplicaMember self = directMembers.get(number);
    while (true) {
      try {
        return open(self.getReplicaId(), self.getAddress(), members, 20_000);
      } catch (BindException e) {
        // An outgoing connection is temporarily using the port.
        Thread.sleep(1);
      }
    }
  }

  private RaftLog open(String id, String address, List<ReplicaMember> initial, int snapshot)
      throws IOException {
    return RaftLog.open(
        RaftOptions.builder()
            .replicaId(id)
            .dataFolder(folder.resolve(id))
            .address(address)
            .initialMembers(initial)
            .security(PeerSecurity.of(SharedKey.of(new byte[16])))
            .events(events)
            .stateMachine(new DigestMachine())
            .snapshotEntries(snapshot)
            .build());
  }

  private RaftLog leader() throws InterruptedException {
    while (true) {
      for (RaftLog log : logs) {
        if (log != null && log.lease(System.nanoTime()).isPresent()) {
          return log;
        }
      }
      Thread.sleep(1);
    }
  }

  private void measureCommits(String name, int clients, int commits, int size) throws Exception {
    RaftLog leader = leader();
    Semaphore free = new Semaphore(clients);
    long[] nanos = new long[commits];
    AtomicLong failed = new AtomicLong();
    long begin = System.nanoTime();
    for (int i = 0; i < commits; i++) {
      free.acquire();
      int number = i;
      long start = System.nanoTime();
      CompletableFuture<ReplicatedLog.AppliedCommand> future = leader.propose(new byte[size]);
      future.whenComplete(
          (applied, failure) -> {
            nanos[number] = System.nanoTime() - start;
            failed.addAndGet(failure == null ? 0 : 1);
            free.release();
          });
    }
    free.acquire(clients);
    double seconds = (System.nanoTime() - begin) / 1e9;
    Arrays.sort(nanos);
    print("commits_per_second_" + name, commits / seconds);
    print("commit_p50_ms_" + name, nanos[commits / 2] / 1e6);
    print("commit_p99_ms_" + name, nanos[commits * 99 / 100] / 1e6);
    if (failed.get() > 0) {
      print("commits_failed_" + name, failed.get());
    }
  }

  private void measureIdle() throws Exception {
    Thread.sleep(500);
    OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    long cpuBefore = system.getProcessCpuTime();
    long before = bytes.get();
    Thread.sleep(IDLE_PERIOD.toMillis());
    print("idle_bytes_per_second_all_replicas", (bytes.get() - before) / IDLE_PERIOD.toSeconds());
    double cpu = 100.0 * (system.getProcessCpuTime() - cpuBefore) / IDLE_PERIOD.toNanos();
    print("idle_cpu_percent_of_a_core_all_replicas", cpu);
  }

  private void measureLeaderChanges() throws Exception {
    List<Double> killed = new ArrayList<>();
    List<Double> handedOver = new ArrayList<>();
    for (int i = 0; i < LEADER_CHANGES; i++) {
      int number = logs.indexOf(leader());
      RaftLog old = logs.get(number);
      long begin = System.nanoTime();
      logs.set(number, null);
      old.kill();
      leader().propose(new byte[COMMAND_BYTES]).get(10, TimeUnit.SECONDS);
      killed.add((System.nanoTime() - begin) / 1e6);
      logs.set(number, open(number));
      Thread.sleep(1_000);
      begin = System.nanoTime();
      try {
        leader().transferLeadership().get(10, TimeUnit.SECONDS);
      } catch (ExecutionException e) {
        print("hand_over_failed_after_ms", (System.nanoTime() - begin) / 1e6);
      }
      leader().propose(new byte[COMMAND_BYTES]).get(10, TimeUnit.SECONDS);
      handedOver.add((System.nanoTime() - begin) / 1e6);
      Thread.sleep(500);
    }
    killed.sort(Comparator.naturalOrder());
    handedOver.sort(Comparator.naturalOrder());
    print("leader_change_killed_median_ms", killed.get(LEADER_CHANGES / 2));
    print("leader_change_killed_max_ms", killed.get(LEADER_CHANGES - 1));
    print("leader_change_hand_over_median_ms", handedOver.get(LEADER_CHANGES / 2));
    print("leader_change_hand_over_max_ms", handedOver.get(LEADER_CHANGES - 1));
  }

  private void measureRestart(String name, int snapshotEntries) throws Exception {
    String address = "127.0.0.1:0";
    List<ReplicaMember> alone = List.of(new ReplicaMember(name, address, true));
    logs.clear();
    logs.add(open(name, address, alone, snapshotEntries));
    measureCommits("alone_" + name, 256, RESTART_ENTRIES, SMALL_COMMAND_BYTES);
    logs.get(0).kill();
    long begin = System.nanoTime();
    logs.set(0, open(name, address, alone, snapshotEntries));
    print("restart_open_ms_" + name, (System.nanoTime() - begin) / 1e6);
    leader();
    print("restart_until_lease_ms_" + name, (System.nanoTime() - begin) / 1e6);
    logs.get(0).close();
  }

  private static void print(String name, double value) {
    System.out.printf("%s %.3f%n", name, value);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private void deleteAll() throws IOException {
    if (Files.exists(folder)) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }

  /** A cheap state machine, so that the measurements reflect the log. */
  private static final class DigestMachine implements StateMachine {

    private long digest;

    @Override
    public byte[] apply(long index, byte[] command) {
      digest = digest * 31 + Arrays.hashCode(command);
      return new byte[] {(byte) digest};
    }

    @Override
    public void writeSnapshot(OutputStream out) throws IOException {
      out.write(new byte[4 * 1024 * 1024]);
    }

    @Override
    public void readSnapshot(InputStream in) throws IOException {
      in.transferTo(OutputStream.nullOutputStream());
    }
  }

  /** Forwards connections to a replica and counts the bytes in both directions. */
  private final class Forwarder {

    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final int target;

    Forwarder(int target) throws IOException {
      this.target = target;
      RepeatingTask.continuous("forwarder", this::accept);
    }

    int port() {
      return server.getLocalPort();
    }

    private void accept() throws IOException {
      Socket from = server.accept();
      try {
        Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
        from.setTcpNoDelay(true);
        to.setTcpNoDelay(true);
        copy(from, to);
        copy(to, from);
      } catch (IOException e) {
        from.close();
      }
    }

    private void copy(Socket from, Socket to) {
      Thread thread =
          new Thread(
              () -> {
                byte[] buffer = new byte[64 * 1024];
                try (from;
                    to) {
                  int count = from.getInputStream().read(buffer);
                  while (count >= 0) {
                    bytes.addAndGet(count);
                    to.getOutputStream().write(buffer, 0, count);
                    count = from.getInputStream().read(buffer);
                  }
                } catch (IOException ignored) {
                  // The connection has ended.
                }
              });
      thread.setDaemon(true);
      thread.start();
    }
  }
}
