package org.comfreygap.consensus;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.comfreygap.consensus.ReplicatedLog.Role;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.Timeline;

/**
 * Runs several {@link RaftLog} replicas in one process, on a fault-injecting network and disks.
 *
 * <p>Thread safety: modified by the test thread; client threads read the replicas.
 */
final class TestCluster implements AutoCloseable {

  static final long TIMEOUT_SECONDS = 60;
  static final RaftTiming TIMING =
      new RaftTiming(
          Duration.ofMillis(30),
          Duration.ofMillis(150),
          Duration.ofMillis(300),
          Duration.ofMillis(100),
          Duration.ofMillis(500));

  private final long seed;
  private final Random random;
  private final FaultyNetwork network;
  private final Timeline timeline = new Timeline(100_000);
  private final AtomicLong wallJumpMillis = new AtomicLong();
  private final EventLog events;
  private final Map<String, Replica> replicas = new TreeMap<>();
  private final List<ReplicaMember> initial = new ArrayList<>();
  private int created;

  TestCluster(int size, long seed) throws Exception {
    this(size, seed, 0);
  }

  /** Creates the log on a network that delays each message by up to {@code delayMillis}. */
  TestCluster(int size, long seed, int delayMillis) throws Exception {
    this.seed = seed;
    this.random = new Random(seed);
    this.network = new FaultyNetwork(seed);
    network.setFaults(0, 0, delayMillis);
    this.events =
        new EventLog(
            "test",
            new HybridClock(() -> System.currentTimeMillis() + wallJumpMillis.get()),
            timeline);
    for (int i = 0; i < size; i++) {
      initial.add(nextMember());
    }
    for (ReplicaMember member : initial) {
      replicas.put(member.getReplicaId(), new Replica(member.getReplicaId(), initial));
    }
    for (Replica replica : replicas.values()) {
      replica.start();
    }
    await("all voters", () -> voters() == size && leader().isPresent());
    // A leader lists a voter as soon as it proposes it. Until that is committed, the other replicas
    // may know fewer voters and cannot elect one of them when the leader is lost.
    for (ReplicaMember member : initial) {
      retry(log -> log.addMember(member).get(5, TimeUnit.SECONDS));
    }
  }

  FaultyNetwork network() {
    return network;
  }

  Timeline timeline() {
    return timeline;
  }

  Random random() {
    return random;
  }

  synchronized List<Replica> replicas() {
    return List.copyOf(replicas.values());
  }

  List<String> ids() {
    return replicas().stream().map(replica -> replica.id).toList();
  }

  Replica randomReplica() {
    List<Replica> all = replicas();
    return all.get(random.nextInt(all.size()));
  }

  /** Returns the leader with the newest term. */
  Optional<Replica> leader() {
    Replica newest = null;
    for (Replica replica : replicas()) {
      RaftLog log = replica.log;
      if (log != null
          && log.role() == Role.LEADER
          && (newest == null || log.term() > newest.log.term())) {
        newest = replica;
      }
    }
    return Optional.ofNullable(newest);
  }

  Replica awaitLeader() {
    await("a leader with a lease", () -> leader().filter(Replica::hasLease).isPresent());
    return leader().orElseGet(this::awaitLeader);
  }

  void jumpWallClock(long millis) {
    wallJumpMillis.addAndGet(millis);
  }

  /** Removes a replica that lost its disk and adds a replica with a new id in its place. */
  void replace(Replica lost) throws Exception {
    lost.kill();
    ReplicaMember member = nextMember();
    Replica fresh = new Replica(member.getReplicaId(), List.of());
    fresh.start();
    retry(log -> log.removeMember(lost.id).get(5, TimeUnit.SECONDS));
    synchronized (this) {
      replicas.remove(lost.id);
      replicas.put(fresh.id, fresh);
    }
    retry(log -> log.addMember(member).get(5, TimeUnit.SECONDS));
  }

  /** Starts a replica with an empty disk that is no member yet. */
  ReplicaMember startNew() throws Exception {
    ReplicaMember member = nextMember();
    Replica fresh = new Replica(member.getReplicaId(), List.of());
    fresh.start();
    synchronized (this) {
      replicas.put(fresh.id, fresh);
    }
    return member;
  }

  /** Ends a replica for good. */
  void forget(Replica gone) {
    gone.kill();
    synchronized (this) {
      replicas.remove(gone.id);
    }
  }

  /** Ends all faults and restarts stopped and failed replicas. */
  void repair() throws Exception {
    network.heal();
    for (Replica replica : replicas()) {
      replica.disk.full(false);
      replica.disk.syncDelayMillis(0);
      if (replica.log == null || replica.failed) {
        replica.crash();
        replica.start();
      }
    }
  }

  /** Runs a step at the leader and retries it until it succeeds. */
  void retry(Step step) {
    await(
        "the step to succeed",
        () -> {
          Optional<Replica> leader = leader();
          try {
            if (leader.isPresent()) {
              step.run(leader.get().log);
              return true;
            }
          } catch (Exception ignored) {
            // The leader may change at any time; the step is retried.
          }
          return false;
        });
  }

  /** Waits up to a minute for a condition; long because the test machine may be busy. */
  void await(String description, BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("seed " + seed + ": timed out waiting for " + description);
      }
      sleep(5);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    network.heal();
    replicas().forEach(Replica::kill);
    network.close();
    events.close();
  }

  private int voters() {
    return leader()
        .map(replica -> (int) replica.log.members().stream().filter(m -> m.isVoter()).count())
        .orElse(0);
  }

  private ReplicaMember nextMember() {
    created++;
    return new ReplicaMember("r" + created, "127.0.0.1:" + created, true);
  }

  /** A step that may fail. */
  @FunctionalInterface
  interface Step {

    void run(RaftLog log) throws Exception;
  }

  /** One replica with its disk. */
  final class Replica {

    final String id;
    final MemoryDisk disk = new MemoryDisk();
    private final List<ReplicaMember> initialMembers;
    volatile CounterMachine machine;
    volatile RaftLog log;
    volatile boolean failed;

    Replica(String id, List<ReplicaMember> initialMembers) {
      this.id = id;
      this.initialMembers = initialMembers;
    }

    void start() throws Exception {
      CounterMachine fresh = new CounterMachine();
      Consumer<Exception> onFailure = failure -> failed = true;
      failed = false;
      machine = fresh;
      log =
          RaftLog.open(
              RaftOptions.builder()
                  .replicaId(id)
                  .disk(disk)
                  .transport(network.transport(id))
                  .initialMembers(initialMembers)
                  .events(events)
                  .stateMachine(fresh)
                  .timing(TIMING)
                  .segmentBytes(16 * 1024)
                  .snapshotEntries(200)
                  .trailingEntries(20)
                  .failureHandler(onFailure)
                  .seed(seed)
                  .build());
    }

    /** Stops the replica without losing unsynced disk writes. */
    void kill() {
      RaftLog running = log;
      log = null;
      if (running != null) {
        running.kill();
      }
    }

    /** Stops the replica as in a power loss. */
    void crash() {
      kill();
      disk.crash(random);
    }

    boolean hasLease() {
      RaftLog running = log;
      return running != null && running.lease(System.nanoTime()).isPresent();
    }
  }
}
