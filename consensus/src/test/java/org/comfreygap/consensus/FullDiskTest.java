package org.comfreygap.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.Timeline;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against changes that are refused or stay unanswered once full disks have room again. */
class FullDiskTest {

  private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(5);
  private static final int COMMAND_BYTES = 3 * 1024 * 1024;

  /** Guards against a group that stops accepting commands after its disks were full in turn. */
  @ParameterizedTest
  @CsvSource({"3,71", "3,72", "3,73", "5,74", "5,75"})
  void commandsAreAcknowledgedWhileDisksAreFullInTurn(int size, long seed) throws Exception {
    try (TestCluster cluster = new TestCluster(size, seed);
        History history = new History(cluster, 3)) {
      cluster.await("first writes", () -> history.acknowledged() > 30);
      for (int round = 0; round < 2; round++) {
        for (TestCluster.Replica replica : cluster.replicas()) {
          replica.disk.full(true);
          electSometimes(cluster);
          long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(fullMillis(cluster));
          int before = history.acknowledged();
          long begin = System.nanoTime();
          cluster.await("writes beside a full disk", () -> history.acknowledged() > before + 20);
          assertThat(System.nanoTime() - begin)
              .as("nanoseconds until 20 writes beside a full disk, seed " + seed)
              .isLessThan(PROPOSAL_TIMEOUT.toNanos());
          cluster.await("the end of the full disk", () -> System.nanoTime() - end >= 0);
          replica.disk.full(false);
          electSometimes(cluster);
          TestCluster.sleep(cluster.random().nextInt(300));
        }
      }
      assertThat(cluster.replicas()).noneMatch(replica -> replica.failed);
      int before = history.acknowledged();
      cluster.await("writes afterwards", () -> history.acknowledged() > before + 100);
      history.check();
    }
  }

  /**
   * Guards against a replica that refuses all commands because its log is full, while the snapshot
   * that would empty it waits for further commands.
   */
  @Test
  void commandsAreAcceptedAgainOnceASnapshotCanBeWritten() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    try (FaultyNetwork network = new FaultyNetwork(1);
        EventLog events =
            new EventLog("test", new HybridClock(System::currentTimeMillis), new Timeline(10_000));
        RaftLog log = open(disk, network, events)) {
      disk.refuseWrites(name -> name.endsWith(".tmp"));
      fillLog(log);
      disk.refuseWrites(name -> false);
      long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
      boolean accepted = accepts(log);
      while (!accepted && System.nanoTime() - end < 0) {
        TestCluster.sleep(50);
        accepted = accepts(log);
      }
      assertThat(accepted).as("a command after the disk has room again").isTrue();
    }
  }

  private static long fullMillis(TestCluster cluster) {
    return 100 + cluster.random().nextInt(3 * (int) TestCluster.TIMING.diskStall().toMillis());
  }

  private static void electSometimes(TestCluster cluster) throws Exception {
    switch (cluster.random().nextInt(4)) {
      case 0 -> cluster.leader().ifPresent(leader -> leader.log.transferLeadership());
      case 1 -> {
        TestCluster.Replica leader = cluster.awaitLeader();
        leader.crash();
        leader.start();
      }
      default -> {
        // The leader stays.
      }
    }
  }

  private static void fillLog(RaftLog log) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TestCluster.TIMEOUT_SECONDS);
    while (!log.lease(System.nanoTime()).isPresent() && System.nanoTime() - end < 0) {
      TestCluster.sleep(5);
    }
    boolean accepted = true;
    for (int i = 0; accepted && i < 100; i++) {
      accepted = accepts(log);
    }
    assertThat(accepted).as("a command while the log is full").isFalse();
  }

  private static boolean accepts(RaftLog log) throws Exception {
    try {
      log.propose(new byte[COMMAND_BYTES]).get(PROPOSAL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      return true;
    } catch (ExecutionException e) {
      assertThat(e).hasCauseInstanceOf(NotLeaderException.class);
      return false;
    }
  }

  private static RaftLog open(MemoryDisk disk, FaultyNetwork network, EventLog events)
      throws Exception {
    return RaftLog.open(
        RaftOptions.builder()
            .replicaId("r1")
            .disk(disk)
            .transport(network.transport("r1"))
            .initialMembers(List.of(new ReplicaMember("r1", "127.0.0.1:1", true)))
            .events(events)
            .stateMachine(new EmptyMachine())
            .timing(TestCluster.TIMING)
            .segmentBytes(16 * 1024)
            .failureHandler(failure -> {})
            .build());
  }

  /** Keeps nothing, so that only the log needs memory. Thread safety: stateless. */
  private static final class EmptyMachine implements StateMachine {

    @Override
    public byte[] apply(long index, byte[] command) {
      return new byte[0];
    }

    @Override
    public void writeSnapshot(OutputStream out) {}

    @Override
    public void readSnapshot(InputStream in) {}
  }
}
