package org.comfreygap.control;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.comfreygap.consensus.NotLeaderException;
import org.comfreygap.consensus.OutcomeUnknownException;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.protocol.generated.ReplicaMember;

/**
 * In-memory replicated logs that share one list of commands; the test sets the leader. Commands are
 * applied at every connected replica, in the proposing thread.
 */
final class MemoryCluster {

  private static final long LEASE_NANOS = 3_600_000_000_000L;

  private final List<byte[]> commands = new ArrayList<>();
  private final List<Replica> replicas = new ArrayList<>();
  private Replica leader;
  private long term;
  private int resultsToLose;
  private int commandsToRefuse;
  private Optional<Replica> nextLeader = Optional.empty();

  synchronized Replica add(String id, ControlState state) {
    Replica replica = new Replica(id, state);
    replicas.add(replica);
    return replica;
  }

  /** Makes {@code replica} the leader of a new term, after it applied all committed commands. */
  synchronized void elect(Replica replica) {
    term++;
    leader = replica;
    replica.connected = true;
    replica.catchUp();
  }

  /** Leaves the cluster without a leader. */
  synchronized void removeLeader() {
    leader = null;
  }

  /**
   * Makes the next {@code count} proposals fail with an unknown outcome although they are
   * committed.
   */
  synchronized void loseResults(int count) {
    resultsToLose = count;
  }

  /** Makes the leader refuse the next {@code count} proposals, as one does whose log is full. */
  synchronized void refuseCommands(int count) {
    commandsToRefuse = count;
  }

  /** Elects {@code replica} as soon as the next command is committed and applied. */
  synchronized void electAfterNextCommand(Replica replica) {
    nextLeader = Optional.of(replica);
  }

  synchronized int commandCount() {
    return commands.size();
  }

  /** Returns a copy of a state, restored from its snapshot. */
  static ControlState copy(ControlState state) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    state.writeSnapshot(bytes);
    ControlState copy = new ControlState();
    copy.readSnapshot(new ByteArrayInputStream(bytes.toByteArray()));
    return copy;
  }

  /** One replica. */
  final class Replica implements ReplicatedLog {

    private final ReplicaMember member;
    private ControlState state;
    private int applied;
    private boolean connected = true;
    private boolean lagging;

    private Replica(String id, ControlState state) {
      this.member = new ReplicaMember(id, "127.0.0.1:1", true);
      this.state = state;
    }

    ControlState state() {
      return state;
    }

    /** Stops applying commands while the replica still knows the leader. */
    void stopApplying() {
      synchronized (MemoryCluster.this) {
        lagging = true;
      }
    }

    /** Disconnects the replica from the leader and from further commands. */
    void disconnect() {
      synchronized (MemoryCluster.this) {
        connected = false;
      }
    }

    @Override
    public CompletableFuture<AppliedCommand> propose(byte[] command) {
      synchronized (MemoryCluster.this) {
        if (leader != this) {
          return CompletableFuture.failedFuture(new NotLeaderException("not the leader"));
        }
        if (commandsToRefuse > 0) {
          commandsToRefuse--;
          return CompletableFuture.failedFuture(new NotLeaderException("the log is full"));
        }
        commands.add(command);
        byte[] result = new byte[0];
        for (Replica replica : replicas) {
          if (replica.connected && !replica.lagging) {
            byte[] replicaResult = replica.catchUp();
            result = replica == this ? replicaResult : result;
          }
        }
        nextLeader.ifPresent(MemoryCluster.this::elect);
        nextLeader = Optional.empty();
        if (resultsToLose > 0) {
          resultsToLose--;
          return CompletableFuture.failedFuture(
              new OutcomeUnknownException("the test dropped the result"));
        }
        return CompletableFuture.completedFuture(new AppliedCommand(applied, result));
      }
    }

    @Override
    public Optional<LeaderLease> lease(long nowNanos) {
      synchronized (MemoryCluster.this) {
        return leader == this
            ? Optional.of(new LeaderLease(term, nowNanos + LEASE_NANOS))
            : Optional.empty();
      }
    }

    @Override
    public Role role() {
      synchronized (MemoryCluster.this) {
        return leader == this ? Role.LEADER : Role.FOLLOWER;
      }
    }

    @Override
    public long term() {
      synchronized (MemoryCluster.this) {
        return term;
      }
    }

    @Override
    public long appliedIndex() {
      synchronized (MemoryCluster.this) {
        return applied;
      }
    }

    @Override
    public Optional<ReplicaMember> leader() {
      synchronized (MemoryCluster.this) {
        return connected && leader != null ? Optional.of(leader.member) : Optional.empty();
      }
    }

    @Override
    public List<ReplicaMember> members() {
      synchronized (MemoryCluster.this) {
        return replicas.stream().map(replica -> replica.member).toList();
      }
    }

    @Override
    public CompletableFuture<Map<String, Long>> contacts() {
      return CompletableFuture.completedFuture(Map.of());
    }

    @Override
    public CompletableFuture<Void> addMember(ReplicaMember added) {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> removeMember(String replicaId) {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> transferLeadership() {
      synchronized (MemoryCluster.this) {
        replicas.stream().filter(r -> r != this).findFirst().ifPresent(MemoryCluster.this::elect);
      }
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public void close() {}

    private byte[] catchUp() {
      byte[] result = new byte[0];
      while (applied < commands.size()) {
        result = state.apply(applied + 1, commands.get(applied));
        applied++;
      }
      return result;
    }
  }
}
