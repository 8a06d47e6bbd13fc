package org.comfreygap.consensus;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.transport.TTransportException;
import org.comfreygap.protocol.generated.AppendReply;
import org.comfreygap.protocol.generated.AppendRequest;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.ReplicationService;
import org.comfreygap.protocol.generated.SnapshotChunk;
import org.comfreygap.protocol.generated.SnapshotReply;
import org.comfreygap.protocol.generated.TimeoutNow;
import org.comfreygap.protocol.generated.VoteReply;
import org.comfreygap.protocol.generated.VoteRequest;

/**
 * In-memory transports that can drop, delay, repeat and reorder calls.
 *
 * <p>Thread safety: all methods may be called from any thread.
 */
final class FaultyNetwork implements AutoCloseable {

  private static final int FAILURE_MILLIS = 15;

  private final Map<String, ReplicationService.Iface> replicas = new ConcurrentHashMap<>();
  private final Set<String> blocked = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4);
  private final Random random;
  private volatile int dropPercent;
  private volatile int repeatPercent;
  private volatile int delayMillis;

  FaultyNetwork(long seed) {
    this.random = new Random(seed);
  }

  /** Drops all messages from one replica to another, both calls and replies. */
  void block(String from, String to) {
    blocked.add(from + ">" + to);
  }

  void isolate(String id, Iterable<String> others) {
    for (String other : others) {
      block(id, other);
      block(other, id);
    }
  }

  void setFaults(int newDropPercent, int newRepeatPercent, int newDelayMillis) {
    dropPercent = newDropPercent;
    repeatPercent = newRepeatPercent;
    delayMillis = newDelayMillis;
  }

  void heal() {
    blocked.clear();
    setFaults(0, 0, 0);
  }

  Transport transport(String self) {
    return new MemoryTransport(self);
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
  }

  @FunctionalInterface
  private interface Call<T> {

    T invoke(ReplicationService.Iface replica) throws TException;
  }

  private synchronized boolean chance(int percent) {
    return random.nextInt(100) < percent;
  }

  private synchronized int delay() {
    return delayMillis == 0 ? 0 : random.nextInt(delayMillis);
  }

  private <T> T call(String from, String to, Call<T> call) throws TException {
    pause(delay());
    ReplicationService.Iface replica = replicas.get(to);
    if (replica == null || blocked.contains(from + ">" + to) || chance(dropPercent)) {
      pause(FAILURE_MILLIS);
      throw new TTransportException("injected: call lost from " + from + " to " + to);
    }
    if (chance(repeatPercent)) {
      scheduler.schedule(() -> repeat(from, to, call), 2L * delay(), TimeUnit.MILLISECONDS);
    }
    T reply = call.invoke(replica);
    pause(delay());
    if (blocked.contains(to + ">" + from) || chance(dropPercent)) {
      pause(FAILURE_MILLIS);
      throw new TTransportException("injected: reply lost from " + to + " to " + from);
    }
    return reply;
  }

  private <T> void repeat(String from, String to, Call<T> call) {
    ReplicationService.Iface replica = replicas.get(to);
    if (replica != null && !blocked.contains(from + ">" + to)) {
      try {
        call.invoke(replica);
      } catch (TException ignored) {
        // Nobody waits for the reply to a repeated call.
      }
    }
  }

  private static void pause(long millis) {
    if (millis > 0) {
      try {
        Thread.sleep(millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private final class MemoryTransport implements Transport {

    private final String self;

    MemoryTransport(String self) {
      this.self = self;
    }

    @Override
    public void serve(ReplicationService.Iface handler) {
      replicas.put(self, handler);
    }

    @Override
    public Link link(ReplicaMember peer, Duration timeout) {
      return new MemoryLink(self, peer.getReplicaId());
    }

    @Override
    public void close() {
      replicas.remove(self);
    }
  }

  private final class MemoryLink implements Transport.Link {

    private final String from;
    private final String to;

    MemoryLink(String from, String to) {
      this.from = from;
      this.to = to;
    }

    @Override
    public VoteReply requestVote(VoteRequest request) throws TException {
      return call(from, to, replica -> replica.requestVote(request));
    }

    @Override
    public AppendReply appendEntries(AppendRequest request) throws TException {
      return call(from, to, replica -> replica.appendEntries(request));
    }

    @Override
    public SnapshotReply installSnapshot(SnapshotChunk chunk) throws TException {
      return call(from, to, replica -> replica.installSnapshot(chunk));
    }

    @Override
    public void timeoutNow(TimeoutNow request) throws TException {
      call(
          from,
          to,
          replica -> {
            replica.timeoutNow(request);
            return true;
          });
    }

    @Override
    public void close() {}
  }
}
