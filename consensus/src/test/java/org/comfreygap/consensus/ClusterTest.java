package org.comfreygap.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.comfreygap.consensus.ReplicatedLog.Role;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.Timeline;
import org.junit.jupiter.api.Test;

/** Tests individual mechanisms of the replicated log with several replicas. */
class ClusterTest {

  private static final long SEED = 7;

  @Test
  void commandsReachFiveReplicasAndSurviveTheLossOfTwo() throws Exception {
    try (TestCluster cluster = new TestCluster(5, SEED);
        History history = new History(cluster, 3)) {
      cluster.await("first writes", () -> history.acknowledged() > 50);
      cluster.awaitLeader().crash();
      cluster.awaitLeader().crash();
      int before = history.acknowledged();
      cluster.await("writes by three replicas", () -> history.acknowledged() > before + 50);
      history.check();
    }
  }

  @Test
  void isolatedFollowerDoesNotRaiseTheTerm() throws Exception {
    try (TestCluster cluster = new TestCluster(3, SEED)) {
      TestCluster.Replica leader = cluster.awaitLeader();
      TestCluster.Replica follower = other(cluster, leader);
      long term = follower.log.term();
      cluster.network().isolate(follower.id, cluster.ids());
      TestCluster.sleep(4 * TestCluster.TIMING.electionMax().toMillis());
      assertThat(follower.log.term()).as("term after pre-votes only").isEqualTo(term);
      cluster.network().heal();
    }
  }

  @Test
  void isolatedLeaderStepsDown() throws Exception {
    try (TestCluster cluster = new TestCluster(3, SEED)) {
      TestCluster.Replica leader = cluster.awaitLeader();
      cluster.network().isolate(leader.id, cluster.ids());
      cluster.await("the old leader to step down", () -> leader.log.role() != Role.LEADER);
      cluster.await(
          "another leader",
          () -> cluster.leader().filter(r -> r != leader && r.hasLease()).isPresent());
      assertThat(leader.hasLease()).isFalse();
    }
  }

  @Test
  void leadershipTransferLosesNoCommands() throws Exception {
    try (TestCluster cluster = new TestCluster(3, SEED);
        History history = new History(cluster, 3)) {
      for (int i = 0; i < 3; i++) {
        TestCluster.Replica before = cluster.awaitLeader();
        cluster.retry(log -> log.transferLeadership().get(5, TimeUnit.SECONDS));
        cluster.await(
            "another leader", () -> cluster.leader().filter(r -> r != before).isPresent());
      }
      history.check();
    }
  }

  @Test
  void laggingReplicaReceivesASnapshotInChunks() throws Exception {
    try (TestCluster cluster = new TestCluster(3, SEED)) {
      TestCluster.Replica follower = other(cluster, cluster.awaitLeader());
      follower.crash();
      String big = "x".repeat(3_000);
      for (int i = 0; i < 450; i++) {
        String command = i + big;
        cluster.retry(log -> log.propose(bytes(command)).get(5, TimeUnit.SECONDS));
      }
      follower.start();
      cluster.await("the snapshot", () -> follower.machine.size() >= 450);
      cluster.await("the event", () -> recorded(cluster, ConsensusEvent.SNAPSHOT_INSTALLED));
      follower.crash();
      follower.start();
      cluster.await("the state after a restart", () -> follower.machine.size() >= 450);
    }
  }

  @Test
  void voterThatLostItsDiskDoesNotVoteUntilReplaced() throws Exception {
    try (TestCluster cluster = new TestCluster(3, SEED);
        History history = new History(cluster, 2)) {
      cluster.await("first writes", () -> history.acknowledged() > 50);
      TestCluster.Replica lost = other(cluster, cluster.awaitLeader());
      lost.kill();
      for (String name : lost.disk.list()) {
        lost.disk.delete(name);
      }
      lost.start();
      cluster.await(
          "detection of the lost disk",
          () -> recorded(cluster, ConsensusEvent.REPLICA_WITHOUT_DISK));
      assertThat(lost.log.role()).isEqualTo(Role.LEARNER);
      assertThat(lost.disk.list()).isEmpty();
      cluster.replace(lost);
      // A second failure right after the replacement: the new replica must already be a voter.
      cluster.awaitLeader().crash();
      int before = history.acknowledged();
      cluster.await("writes after the loss", () -> history.acknowledged() > before + 20);
      history.check();
    }
  }

  @Test
  void failedSyncStopsTheReplicaWithoutRetry() throws Exception {
    try (TestCluster cluster = new TestCluster(3, SEED)) {
      TestCluster.Replica leader = cluster.awaitLeader();
      leader.disk.syncFails(true);
      CompletableFuture<ReplicatedLog.AppliedCommand> future = leader.log.propose(bytes("x"));
      cluster.await("the failure handler", () -> leader.failed);
      leader.disk.syncFails(false);
      cluster.await("the proposal to complete", future::isDone);
      assertThat(leader.hasLease()).isFalse();
      // Events are recorded asynchronously.
      cluster.await("the event", () -> recorded(cluster, ConsensusEvent.SYNC_FAILED));
      assertThat(leader.log.propose(bytes("y")))
          .failsWithin(Duration.ofSeconds(30))
          .withThrowableThat()
          .withCauseInstanceOf(NotLeaderException.class);
    }
  }

  @Test
  void electionCompletesWithinTheSettingsLease() throws Exception {
    try (TestCluster cluster = new TestCluster(3, SEED)) {
      TestCluster.Replica leader = cluster.awaitLeader();
      leader.crash();
      long begin = System.nanoTime();
      cluster.awaitLeader();
      assertThat(System.nanoTime() - begin).isLessThan(TimeUnit.SECONDS.toNanos(5));
    }
  }

  @Test
  void firstLeaderMayBeLostOnceTheClusterIsComplete() throws Exception {
    for (long seed = SEED; seed < SEED + 5; seed++) {
      try (TestCluster cluster = new TestCluster(3, seed, 20)) {
        cluster.network().setFaults(0, 0, 0);
        TestCluster.Replica leader = cluster.leader().orElseThrow();
        // Messages that are on their way are lost with the leader.
        cluster.network().isolate(leader.id, cluster.ids());
        leader.crash();
        cluster.awaitLeader();
      }
    }
  }

  /** Guards against a new replica that is lost while it learns and blocks all later changes. */
  @Test
  void additionEndsWhenItsLearnerIsRemoved() throws Exception {
    try (TestCluster cluster = new TestCluster(3, SEED)) {
      RaftLog log = cluster.awaitLeader().log;
      CompletableFuture<Void> added = log.addMember(new ReplicaMember("lost", "127.0.0.1:9", true));
      cluster.await("the learner", () -> log.members().size() == 4);
      log.removeMember("lost").get(30, TimeUnit.SECONDS);
      assertThat(added)
          .failsWithin(Duration.ofSeconds(30))
          .withThrowableThat()
          .withMessageContaining("removed before it became a voter");
    }
  }

  private static TestCluster.Replica other(TestCluster cluster, TestCluster.Replica leader) {
    return cluster.replicas().stream().filter(r -> r != leader).findFirst().orElseThrow();
  }

  private static boolean recorded(TestCluster cluster, ConsensusEvent event) {
    for (Timeline.Entry entry :
        cluster.timeline().eventsSince(0, Optional.empty(), Optional.empty())) {
      if (entry.number() == event.number()) {
        return true;
      }
    }
    return false;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
