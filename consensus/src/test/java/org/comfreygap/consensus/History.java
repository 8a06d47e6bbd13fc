package org.comfreygap.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.comfreygap.consensus.ReplicatedLog.LeaderLease;
import org.comfreygap.runtime.RepeatingTask;
import org.comfreygap.runtime.Timeline;

/**
 * Runs clients that write to and read from a cluster, records their operations and checks them.
 *
 * <p>The object under test is a list that returns the position of each appended command. A history
 * is linearizable exactly when the positions match the final list, an operation that began after
 * another ended comes after it, and the size seen by each read lies between the number of writes
 * that ended before it and the number that had begun. Thread safety: clients add to concurrent
 * queues; the check runs after the clients have stopped.
 */
final class History implements AutoCloseable {

  private final TestCluster cluster;
  private final Queue<Write> writes = new ConcurrentLinkedQueue<>();
  private final Queue<String> refused = new ConcurrentLinkedQueue<>();
  private final Queue<Read> reads = new ConcurrentLinkedQueue<>();
  private final Map<String, long[]> leases = new HashMap<>();
  private final AtomicInteger attempts = new AtomicInteger();
  private final AtomicInteger nextCommand = new AtomicInteger();
  private final List<RepeatingTask> clients = new ArrayList<>();

  History(TestCluster cluster, int writers) {
    this.cluster = cluster;
    for (int i = 0; i < writers; i++) {
      clients.add(RepeatingTask.continuous("writer-" + i, this::write));
    }
    clients.add(RepeatingTask.continuous("reader", this::read));
  }

  /** Returns the number of acknowledged writes. */
  int acknowledged() {
    return (int) writes.stream().filter(write -> write.position > 0).count();
  }

  /** Stops the clients and checks the history against the final state of all replicas. */
  void check() throws Exception {
    close();
    cluster.repair();
    cluster.retry(log -> log.propose(bytes("last")).get(5, TimeUnit.SECONDS));
    for (TestCluster.Replica replica : cluster.replicas()) {
      cluster.await(
          replica.id + " to apply everything",
          () -> !replica.failed && replica.machine.commands().contains("last"));
    }
    List<String> order = cluster.replicas().get(0).machine.commands();
    for (TestCluster.Replica replica : cluster.replicas()) {
      List<String> other = replica.machine.commands();
      int common = Math.min(order.size(), other.size());
      assertThat(other.subList(0, common)).isEqualTo(order.subList(0, common));
    }
    checkOrder(order);
    checkReads();
    checkLeaders();
    checkLeases();
  }

  @Override
  public void close() {
    clients.forEach(RepeatingTask::close);
  }

  private void write() throws InterruptedException {
    // Some commands are sent to a replica that may not be the leader.
    Optional<TestCluster.Replica> target =
        attempts.incrementAndGet() % 5 == 0
            ? Optional.of(cluster.replicas().get(0))
            : cluster.leader();
    RaftLog log = target.map(replica -> replica.log).orElse(null);
    if (log == null) {
      Thread.sleep(5);
      return;
    }
    String command = "c" + nextCommand.incrementAndGet();
    long begin = System.nanoTime();
    try {
      byte[] result = log.propose(bytes(command)).get(2, TimeUnit.SECONDS).result();
      long position = Long.parseLong(new String(result, StandardCharsets.UTF_8));
      writes.add(new Write(command, begin, System.nanoTime(), position));
    } catch (ExecutionException e) {
      if (e.getCause() instanceof NotLeaderException) {
        refused.add(command);
        Thread.sleep(5);
      } else {
        writes.add(new Write(command, begin, Long.MAX_VALUE, 0));
      }
    } catch (TimeoutException | InterruptedException e) {
      writes.add(new Write(command, begin, Long.MAX_VALUE, 0));
      if (e instanceof InterruptedException interrupt) {
        throw interrupt;
      }
    }
    Thread.sleep(1);
  }

  private void read() throws InterruptedException {
    for (TestCluster.Replica replica : cluster.replicas()) {
      CounterMachine machine = replica.machine;
      RaftLog log = replica.log;
      if (log == null || machine == null) {
        continue;
      }
      long begin = System.nanoTime();
      Optional<LeaderLease> lease = log.lease(begin);
      if (lease.isPresent()) {
        long size = machine.size();
        long end = System.nanoTime();
        long leaseEnd = lease.get().endNanos();
        leases.merge(
            replica.id + "/" + lease.get().term(),
            new long[] {begin, leaseEnd},
            (a, b) -> new long[] {Math.min(a[0], b[0]), Math.max(a[1], b[1])});
        if (end - leaseEnd < 0 && replica.machine == machine) {
          reads.add(new Read(begin, end, size));
        }
      }
    }
    Thread.sleep(1);
  }

  private void checkOrder(List<String> order) {
    Map<String, Integer> positions = new HashMap<>();
    for (int i = 0; i < order.size(); i++) {
      Integer earlier = positions.put(order.get(i), i + 1);
      assertThat(earlier == null || order.get(i).equals("last")).as(order.get(i)).isTrue();
    }
    assertThat(refused).as("rejected commands found in the log").noneMatch(positions::containsKey);
    List<Write> acknowledgedWrites = new ArrayList<>();
    for (Write write : writes) {
      if (write.position > 0) {
        assertThat(positions.get(write.command))
            .as("position of acknowledged " + write.command)
            .isEqualTo((int) write.position);
        acknowledgedWrites.add(write);
      }
    }
    acknowledgedWrites.sort(Comparator.comparingLong(Write::position));
    long latestBegin = Long.MIN_VALUE;
    for (Write write : acknowledgedWrites) {
      assertThat(write.end).as("end of " + write.command).isGreaterThan(latestBegin);
      latestBegin = Math.max(latestBegin, write.begin);
    }
  }

  private void checkReads() {
    List<Write> allWrites = new ArrayList<>(writes);
    for (Read read : reads) {
      long lowest = 0;
      long begun = 0;
      for (Write write : allWrites) {
        if (write.end < read.begin) {
          lowest = Math.max(lowest, write.position);
        }
        begun += write.begin <= read.end ? 1 : 0;
      }
      assertThat(read.size).as("read under a lease").isBetween(lowest, begun);
    }
  }

  private void checkLeaders() {
    Map<String, String> leaderOfTerm = new HashMap<>();
    for (Timeline.Entry entry :
        cluster.timeline().eventsSince(0, Optional.empty(), Optional.empty())) {
      if (entry.name().equals("ROLE_CHANGED") && entry.fields().get("role").equals("LEADER")) {
        String replica = entry.fields().get("replica");
        String other = leaderOfTerm.put(entry.fields().get("term"), replica);
        assertThat(other == null || other.equals(replica)).as("one leader per term").isTrue();
      }
    }
  }

  private void checkLeases() {
    List<long[]> intervals = new ArrayList<>(leases.values());
    intervals.sort(Comparator.comparingLong(interval -> interval[0]));
    for (int i = 1; i < intervals.size(); i++) {
      assertThat(intervals.get(i)[0])
          .as("start of a lease after the end of the previous one")
          .isGreaterThanOrEqualTo(intervals.get(i - 1)[1]);
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private record Write(String command, long begin, long end, long position) {}

  private record Read(long begin, long end, long size) {}
}
