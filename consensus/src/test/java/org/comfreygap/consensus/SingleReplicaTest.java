package org.comfreygap.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.comfreygap.consensus.ReplicatedLog.Applied;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.runtime.Timeline;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a single replica that loses or repeats commands over restarts, on real files. */
class SingleReplicaTest {

  private static final long BOUND_SECONDS = 30;

  @TempDir private Path folder;
  private EventLog events;

  @BeforeEach
  void openEvents() {
    events = new EventLog("test", new HybridClock(System::currentTimeMillis), new Timeline(100));
  }

  @AfterEach
  void closeEvents() {
    events.close();
  }

  @Test
  void commandsAndAnswersSurviveRestartsWithSnapshots() throws Exception {
    List<String> expected = new ArrayList<>();
    for (int run = 0; run < 3; run++) {
      CounterMachine machine = new CounterMachine();
      RaftLog log = open(machine);
      awaitLease(log);
      List<CompletableFuture<Applied>> futures = new ArrayList<>();
      for (int i = 0; i < 250; i++) {
        String command = run + "-" + i;
        expected.add(command);
        futures.add(log.propose(command.getBytes(StandardCharsets.UTF_8)));
      }
      for (CompletableFuture<Applied> future : futures) {
        future.get(BOUND_SECONDS, TimeUnit.SECONDS);
      }
      assertThat(machine.commands()).isEqualTo(expected);
      if (run == 1) {
        log.kill();
      } else {
        log.close();
      }
    }
  }

  private RaftLog open(StateMachine machine) throws Exception {
    return RaftLog.open(
        RaftOptions.builder()
            .replicaId("a")
            .dataFolder(folder)
            .address("127.0.0.1:0")
            .initialMembers(List.of(new ReplicaMember("a", "127.0.0.1:0", true)))
            .security(PeerSecurity.of(SharedKey.of(new byte[16])))
            .events(events)
            .stateMachine(machine)
            .snapshotEntries(100)
            .trailingEntries(10)
            .build());
  }

  private static void awaitLease(RaftLog log) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOUND_SECONDS);
    while (log.lease(System.nanoTime()).isEmpty()) {
      assertThat(System.nanoTime()).as("a lease within the bound").isLessThan(end);
      Thread.sleep(5);
    }
  }
}
