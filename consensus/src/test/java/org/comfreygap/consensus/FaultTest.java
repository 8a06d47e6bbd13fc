package org.comfreygap.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Injects each fault and each pair of faults under load and checks the recorded history.
 *
 * <p>Guards against lost, reverted or duplicated commands, two leaders in one term, overlapping
 * leases and stale reads. The seed of each run is fixed and part of its name.
 */
class FaultTest {

  private static final int PARALLEL_CLUSTERS = 5;
  private static final long SEED = 20_240;

  /** Faults that the replicas must survive. */
  private enum Fault {
    LEADER_KILLED {
      @Override
      void inject(TestCluster cluster) {
        cluster.leader().ifPresent(TestCluster.Replica::crash);
      }
    },
    LEADER_ISOLATED {
      @Override
      void inject(TestCluster cluster) {
        cluster.leader().ifPresent(leader -> cluster.network().isolate(leader.id, cluster.ids()));
      }
    },
    LEADER_OUTBOUND_BLOCKED {
      @Override
      void inject(TestCluster cluster) {
        cluster
            .leader()
            .ifPresent(
                leader -> cluster.ids().forEach(id -> cluster.network().block(leader.id, id)));
      }
    },
    LEADER_INBOUND_BLOCKED {
      @Override
      void inject(TestCluster cluster) {
        cluster
            .leader()
            .ifPresent(
                leader -> cluster.ids().forEach(id -> cluster.network().block(id, leader.id)));
      }
    },
    SLOW_DISK {
      @Override
      void inject(TestCluster cluster) {
        cluster.randomReplica().disk.syncDelayMillis(200);
      }
    },
    FULL_DISK {
      @Override
      void inject(TestCluster cluster) {
        cluster.leader().ifPresent(leader -> leader.disk.full(true));
      }
    },
    FAILED_SYNC {
      @Override
      void inject(TestCluster cluster) {
        cluster.randomReplica().disk.syncFails(true);
      }
    },
    TORN_WRITE {
      @Override
      void inject(TestCluster cluster) throws Exception {
        TestCluster.Replica replica = cluster.randomReplica();
        replica.crash();
        replica.start();
      }
    },
    UNRELIABLE_NETWORK {
      @Override
      void inject(TestCluster cluster) {
        cluster.network().setFaults(10, 30, 25);
      }
    },
    DISK_LOST_AND_REPLACED {
      @Override
      void inject(TestCluster cluster) throws Exception {
        TestCluster.Replica lost = cluster.randomReplica();
        if (cluster.replicas().stream().allMatch(r -> r.log != null && !r.failed)) {
          cluster.replace(lost);
        }
      }
    },
    ALL_RESTARTED {
      @Override
      void inject(TestCluster cluster) throws Exception {
        for (TestCluster.Replica replica : cluster.replicas()) {
          replica.crash();
        }
        for (TestCluster.Replica replica : cluster.replicas()) {
          replica.start();
        }
      }
    },
    WALL_CLOCK_JUMPS {
      @Override
      void inject(TestCluster cluster) {
        cluster.jumpWallClock(cluster.random().nextBoolean() ? 3_600_000 : -3_600_000);
      }
    };

    abstract void inject(TestCluster cluster) throws Exception;
  }

  @TestFactory
  List<DynamicTest> historiesStayCorrectUnderFaults() {
    ExecutorService runs = Executors.newFixedThreadPool(PARALLEL_CLUSTERS);
    List<DynamicTest> tests = new ArrayList<>();
    Fault[] faults = Fault.values();
    for (int i = 0; i < faults.length; i++) {
      tests.add(start(runs, List.of(faults[i]), SEED + i));
      for (int j = i + 1; j < faults.length; j++) {
        // Replacing a replica goes first, so that the other fault occurs right after the
        // replacement.
        List<Fault> pair =
            faults[j] == Fault.DISK_LOST_AND_REPLACED
                ? List.of(faults[j], faults[i])
                : List.of(faults[i], faults[j]);
        tests.add(start(runs, pair, SEED + 100L * (i + 1) + j));
      }
    }
    runs.shutdown();
    return tests;
  }

  private static DynamicTest start(ExecutorService runs, List<Fault> faults, long seed) {
    Future<?> run =
        runs.submit(
            () -> {
              runScenario(faults, seed);
              return null;
            });
    return DynamicTest.dynamicTest(faults + " seed " + seed, run::get);
  }

  private static void runScenario(List<Fault> faults, long seed) throws Exception {
    try (TestCluster cluster = new TestCluster(3, seed);
        History history = new History(cluster, 3)) {
      cluster.await("first writes", () -> history.acknowledged() > 30);
      for (Fault fault : faults) {
        fault.inject(cluster);
      }
      TestCluster.sleep(500);
      cluster.repair();
      int before = history.acknowledged();
      cluster.await("writes after the faults", () -> history.acknowledged() > before + 30);
      history.check();
      assertThat(history.acknowledged()).isGreaterThan(60);
    }
  }
}
