package org.comfreygap.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.comfreygap.consensus.ReplicatedLog.AppliedCommand;
import org.comfreygap.consensus.ReplicatedLog.Role;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.runtime.Timeline;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against data loss across restarts with real files and faults of the Thrift transport. */
class RealFilesTest {

  private static final long TIMEOUT_SECONDS = 30;

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
  void commandsSurviveRestartsWithSnapshots() throws Exception {
    List<String> expected = new ArrayList<>();
    for (int run = 0; run < 3; run++) {
      CounterMachine machine = new CounterMachine();
      RaftLog log = open(machine);
      await(() -> log.lease(System.nanoTime()).isPresent());
      List<CompletableFuture<AppliedCommand>> futures = new ArrayList<>();
      for (int i = 0; i < 250; i++) {
        String command = run + "-" + i;
        expected.add(command);
        futures.add(log.propose(command.getBytes(StandardCharsets.UTF_8)));
      }
      for (CompletableFuture<AppliedCommand> future : futures) {
        future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      }
      assertThat(machine.commands()).isEqualTo(expected);
      if (run == 1) {
        log.kill();
      } else {
        log.close();
      }
    }
  }

  @Test
  void threeReplicasAgreeOverTheRealTransport() throws Exception {
    List<ReplicaMember> members = new ArrayList<>();
    for (String id : List.of("a", "b", "c")) {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        members.add(new ReplicaMember(id, "127.0.0.1:" + socket.getLocalPort(), true));
      }
    }
    List<CounterMachine> machines = new ArrayList<>();
    List<RaftLog> logs = new ArrayList<>();
    try (Closer closer = new Closer()) {
      for (ReplicaMember member : members) {
        machines.add(new CounterMachine());
        logs.add(closer.register(open(member, members, machines.get(machines.size() - 1))));
      }
      await(() -> logs.stream().allMatch(log -> log.role() != Role.LEARNER));
      await(() -> logs.get(0).lease(System.nanoTime()).isPresent());
      logs.get(0).propose(new byte[] {'x'}).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      await(() -> machines.stream().allMatch(machine -> machine.commands().equals(List.of("x"))));
      logs.get(0).close();
      await(() -> logs.stream().anyMatch(log -> log.lease(System.nanoTime()).isPresent()));
    }
  }

  @Test
  void dataFolderIsLockedByOneReplica() throws Exception {
    try (RaftLog log = open(new CounterMachine())) {
      assertThatThrownBy(() -> open(new CounterMachine()))
          .isInstanceOf(IOException.class)
          .hasMessageContaining("another process uses");
    }
  }

  private RaftLog open(StateMachine machine) throws Exception {
    ReplicaMember alone = new ReplicaMember("a", "127.0.0.1:0", true);
    return open(alone, List.of(alone), machine);
  }

  private RaftLog open(ReplicaMember self, List<ReplicaMember> members, StateMachine machine)
      throws Exception {
    return RaftLog.open(
        RaftOptions.builder()
            .replicaId(self.getReplicaId())
            .dataFolder(folder.resolve(self.getReplicaId()))
            .address(self.getAddress())
            .initialMembers(members)
            .security(PeerSecurity.of(SharedKey.of(new byte[16])))
            .events(events)
            .stateMachine(machine)
            .snapshotEntries(100)
            .trailingEntries(10)
            .build());
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("the condition within the bound").isLessThan(end);
      Thread.sleep(5);
    }
  }
}
