package org.comfreygap.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Replaces the replicas of a group one after the other while clients write, with seeded cuts, lost
 * messages and power losses in between, and checks the recorded history.
 *
 * <p>Guards against two majorities, acknowledged commands that are lost, a replica that votes
 * before it has everything, and a lost replica that takes part again.
 */
class ReplacementTest {

  private static final int SEEDS = 12;
  private static final int REPLACEMENTS = 4;

  @TestFactory
  List<DynamicTest> historiesStayCorrectWhileReplicasAreReplaced() {
    return IntStream.range(0, SEEDS)
        .mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> play(5_100 + seed)))
        .toList();
  }

  private static void play(long seed) throws Exception {
    try (TestCluster cluster = new TestCluster(3, seed);
        History history = new History(cluster, 3)) {
      for (int i = 0; i < REPLACEMENTS; i++) {
        awaitWrites(cluster, history, 20);
        TestCluster.Replica gone = chooseLost(cluster);
        boolean planned = cluster.random().nextBoolean();
        if (planned) {
          ReplicaMember fresh = cluster.startNew();
          disturb(cluster, gone);
          cluster.retry(log -> log.addMember(fresh).get(5, TimeUnit.SECONDS));
          cluster.network().heal();
          cluster.forget(gone);
          cluster.retry(log -> log.removeMember(gone.id).get(5, TimeUnit.SECONDS));
        } else {
          boolean cutOff = cluster.random().nextBoolean();
          if (cutOff) {
            cluster.network().isolate(gone.id, cluster.ids());
          } else {
            gone.crash();
          }
          ReplicaMember fresh = cluster.startNew();
          disturb(cluster, gone);
          cluster.retry(log -> log.addMember(fresh).get(5, TimeUnit.SECONDS));
          cluster.retry(log -> log.removeMember(gone.id).get(5, TimeUnit.SECONDS));
          cluster.network().setFaults(0, 0, 0);
          // It is heard again for a moment when the cut heals, and is gone then.
          cluster.network().heal();
          awaitWrites(cluster, history, 5);
          cluster.forget(gone);
        }
        assertThat(cluster.awaitLeader().log.members())
            .as("seed " + seed)
            .hasSize(3)
            .allMatch(ReplicaMember::isVoter)
            .noneMatch(member -> member.getReplicaId().equals(gone.id));
        // The new one votes: the group survives the loss of any other.
        TestCluster.Replica other = cluster.randomReplica();
        other.crash();
        awaitWrites(cluster, history, 10);
        other.start();
      }
      history.check();
      assertThat(cluster.replicas()).hasSize(3);
    }
  }

  /** Picks the leader, the replica with the oldest disk, or any. */
  private static TestCluster.Replica chooseLost(TestCluster cluster) {
    return switch (cluster.random().nextInt(3)) {
      case 0 -> cluster.awaitLeader();
      case 1 -> cluster.replicas().get(0);
      default -> cluster.randomReplica();
    };
  }

  /** Loses messages, or lets a replica that stays lose its power for a moment. */
  private static void disturb(TestCluster cluster, TestCluster.Replica gone) throws Exception {
    if (cluster.random().nextBoolean()) {
      cluster.network().setFaults(10, 20, 15);
      return;
    }
    TestCluster.Replica blinking =
        cluster.replicas().stream()
            .filter(r -> r != gone && r.log != null)
            .findFirst()
            .orElseThrow();
    blinking.crash();
    TestCluster.sleep(100);
    blinking.start();
  }

  private static void awaitWrites(TestCluster cluster, History history, int count) {
    int before = history.acknowledged();
    cluster.await("writes", () -> history.acknowledged() > before + count);
  }
}
