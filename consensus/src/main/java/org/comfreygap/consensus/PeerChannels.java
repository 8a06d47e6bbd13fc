package org.comfreygap.consensus;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.thrift.TException;
import org.comfreygap.protocol.generated.AppendRequest;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.SnapshotChunk;
import org.comfreygap.protocol.generated.SnapshotReply;
import org.comfreygap.protocol.generated.TimeoutNow;
import org.comfreygap.protocol.generated.VoteRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The two call queues to a peer: one for entries and snapshots, one for heartbeats and votes.
 *
 * <p>They are separate because a reply to entries waits for the peer's disk, while the lease and
 * the quorum check depend on prompt replies to heartbeats. Thread safety: any thread may submit.
 */
final class PeerChannels implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PeerChannels.class);

  private static final int RING_SIZE = 64;
  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(500);
  private static final Duration CONTROL_TIMEOUT = Duration.ofMillis(300);
  // Short, because an unresponsive connection delays commits and a retry is cheap.
  private static final Duration DATA_TIMEOUT = Duration.ofMillis(1_000);
  private static final int CHUNK_BYTES = 256 * 1024;

  private final ReplicaMember peer;
  private final CoreExecutor core;
  private final SnapshotStore snapshots;
  private final RingWorker<Call> control;
  private final RingWorker<Call> data;

  PeerChannels(
      String self,
      ReplicaMember peer,
      Transport transport,
      SnapshotStore snapshots,
      CoreExecutor core,
      Consumer<Exception> failureHandler) {
    this.peer = peer;
    this.core = core;
    this.snapshots = snapshots;
    String name = "raft-" + self + "-to-" + peer.getReplicaId();
    this.control = openChannel(name, transport.link(peer, CONTROL_TIMEOUT), failureHandler);
    this.data = openChannel(name + "-data", transport.link(peer, DATA_TIMEOUT), failureHandler);
  }

  /** Submits tasks to the core thread. */
  @FunctionalInterface
  interface CoreExecutor {

    void submit(CoreTask task);
  }

  /** A task of the core thread. */
  @FunctionalInterface
  interface CoreTask {

    void run(RaftCore core, long now);
  }

  @FunctionalInterface
  private interface Call {

    void run(Transport.Link link);
  }

  ReplicaMember peer() {
    return peer;
  }

  void sendVoteRequest(VoteRequest request) {
    control.tryPublish(
        link -> {
          try {
            var reply = link.requestVote(request);
            core.submit((raft, now) -> raft.onVoteReply(now, request, reply));
          } catch (TException e) {
            LOG.debug("vote request failed; the candidate will retry", e);
          }
        });
  }

  void sendTimeoutNow(TimeoutNow request) {
    control.tryPublish(
        link -> {
          try {
            link.timeoutNow(request);
          } catch (TException e) {
            LOG.debug("request to start an election failed; the leader will step down", e);
          }
        });
  }

  /** Sends entries or a heartbeat; false when the queue is full. */
  boolean sendAppend(AppendRequest request) {
    RingWorker<Call> channel = request.getEntriesSize() == 0 ? control : data;
    return channel.tryPublish(link -> callAppendEntries(link, request));
  }

  /** Sends the newest snapshot; false when the queue is full. */
  boolean sendSnapshot(SnapshotMeta meta, String self, long term, long round) {
    return data.tryPublish(link -> streamSnapshot(link, meta, self, term, round));
  }

  @Override
  public void close() {
    control.stop();
    data.stop();
  }

  private void callAppendEntries(Transport.Link link, AppendRequest request) {
    String to = peer.getReplicaId();
    try {
      var reply = link.appendEntries(request);
      core.submit((raft, now) -> raft.onAppendReply(now, to, request, reply));
    } catch (TException e) {
      core.submit((raft, now) -> raft.onSendFailed(now, to, request));
    }
  }

  private void streamSnapshot(
      Transport.Link link, SnapshotMeta meta, String self, long term, long round) {
    String to = peer.getReplicaId();
    boolean accepted = false;
    long peerTerm = 0;
    try {
      Optional<InputStream> file = snapshots.openNewest(meta.index());
      if (file.isPresent()) {
        try (InputStream in = file.get()) {
          SnapshotReply last = sendChunks(link, in, meta, self, term, round);
          peerTerm = last.getTerm();
          accepted = last.isAccepted();
        }
      }
    } catch (TException | IOException e) {
      LOG.debug("sending a snapshot failed; the leader will retry", e);
    }
    boolean done = accepted;
    long seenTerm = peerTerm;
    core.submit((raft, now) -> raft.onSnapshotSent(now, to, term, seenTerm, done, meta.index()));
  }

  private static SnapshotReply sendChunks(
      Transport.Link link, InputStream in, SnapshotMeta meta, String self, long term, long round)
      throws IOException, TException {
    byte[] membership = Memberships.encode(meta.members());
    long offset = 0;
    byte[] bytes = in.readNBytes(CHUNK_BYTES);
    while (true) {
      byte[] next = in.readNBytes(CHUNK_BYTES);
      SnapshotChunk chunk = new SnapshotChunk();
      chunk.setTerm(term).setLeader(self).setLastIndex(meta.index()).setLastTerm(meta.term());
      chunk.setMembership(membership).setOffset(offset).setBytes(bytes);
      chunk.setLast(next.length == 0).setRound(round);
      SnapshotReply reply = link.installSnapshot(chunk);
      offset += bytes.length;
      boolean stored = reply.isAccepted() && reply.getNextOffset() == offset;
      if (!stored || next.length == 0) {
        return reply.setAccepted(stored);
      }
      bytes = next;
    }
  }

  private static RingWorker<Call> openChannel(
      String name, Transport.Link link, Consumer<Exception> failureHandler) {
    return new RingWorker<Call>(
            name,
            RING_SIZE,
            IDLE_TIMEOUT,
            new RingWorker.Handler<>() {
              @Override
              public void handle(Call call, boolean endOfBatch) {
                call.run(link);
              }

              @Override
              public void onStopped() {
                link.close();
              }
            },
            failureHandler)
        .start();
  }
}
