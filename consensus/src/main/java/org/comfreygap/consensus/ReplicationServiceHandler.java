package org.comfreygap.consensus;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.thrift.TException;
import org.comfreygap.protocol.generated.AppendReply;
import org.comfreygap.protocol.generated.AppendRequest;
import org.comfreygap.protocol.generated.ReplicationService;
import org.comfreygap.protocol.generated.SnapshotChunk;
import org.comfreygap.protocol.generated.SnapshotReply;
import org.comfreygap.protocol.generated.TimeoutNow;
import org.comfreygap.protocol.generated.VoteReply;
import org.comfreygap.protocol.generated.VoteRequest;

/**
 * Passes calls from peers to the core and waits for its replies.
 *
 * <p>Thread safety: any thread may call.
 */
final class ReplicationServiceHandler implements ReplicationService.Iface {

  // Longer than the peer's call timeout, so that the peer times out first.
  private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;

  private final PeerChannels.CoreExecutor core;

  ReplicationServiceHandler(PeerChannels.CoreExecutor core) {
    this.core = core;
  }

  @Override
  public VoteReply requestVote(VoteRequest request) throws TException {
    CompletableFuture<VoteReply> reply = new CompletableFuture<>();
    core.submit((raft, now) -> raft.onVoteRequest(now, request, reply::complete));
    return await(reply);
  }

  @Override
  public AppendReply appendEntries(AppendRequest request) throws TException {
    CompletableFuture<AppendReply> reply = new CompletableFuture<>();
    core.submit((raft, now) -> raft.onAppend(now, request, reply::complete));
    return await(reply);
  }

  @Override
  public SnapshotReply installSnapshot(SnapshotChunk chunk) throws TException {
    CompletableFuture<SnapshotReply> reply = new CompletableFuture<>();
    core.submit((raft, now) -> raft.onSnapshotChunk(now, chunk, reply::complete));
    return await(reply);
  }

  @Override
  public void timeoutNow(TimeoutNow request) {
    core.submit((raft, now) -> raft.onTimeoutNow(now, request));
  }

  private static <T> T await(CompletableFuture<T> reply) throws TException {
    try {
      return reply.get(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TException("interrupted while waiting for the core thread", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new TException("the core thread did not reply in time", e);
    }
  }
}
