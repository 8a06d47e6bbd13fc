package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a live control instance that the leader takes for a silent one. */
class ControlHeartbeatTest {

  @Test
  void instanceFindsTheLeaderThroughItsLogWhenAllAddressesOfItsSettingsAreGone() throws Exception {
    MemoryCluster cluster = new MemoryCluster();
    ControlState leaderState = new ControlState();
    ControlState otherState = new ControlState();
    MemoryCluster.Replica leaderLog = cluster.add("c1", leaderState);
    MemoryCluster.Replica otherLog = cluster.add("c2", otherState);
    cluster.elect(leaderLog);
    Optional<String> gone = Optional.of("127.0.0.1:1");
    try (ControlFixture leader = new ControlFixture("c1", leaderState, leaderLog, "");
        ControlFixture other =
            new ControlFixture("c2", otherState, otherLog, "", DutyDialect.NONE, gone)) {
      LeaderTerm term = leader.get(Leadership.class).current().orElseThrow();
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      MembershipController members = leader.get(MembershipController.class);
      while (members.processes(term).stream()
          .noneMatch(p -> p.identity().processId().equals(other.settings.processId()))) {
        assertThat(end - System.nanoTime()).as("time left for its heartbeat").isPositive();
        TimeUnit.MILLISECONDS.sleep(50);
      }
    }
  }
}
