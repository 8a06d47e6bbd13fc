package org.comfreygap.consensus;

import java.util.function.Consumer;
import org.comfreygap.protocol.generated.AppendRequest;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.SnapshotChunk;
import org.comfreygap.protocol.generated.SnapshotReply;
import org.comfreygap.protocol.generated.TimeoutNow;
import org.comfreygap.protocol.generated.VoteRequest;

/**
 * Receives the messages, storage requests and events of {@link RaftCore}.
 *
 * <p>Thread safety: called only by the core thread.
 */
interface CoreOutput {

  void sendVoteRequest(ReplicaMember to, VoteRequest request);

  void sendAppend(ReplicaMember to, AppendRequest request);

  void sendSnapshot(ReplicaMember to, SnapshotMeta meta, long term, long round);

  void sendTimeoutNow(ReplicaMember to, TimeoutNow request);

  void storeChunk(SnapshotChunk chunk, Consumer<SnapshotReply> replyTo);

  /** Replaces the state of the state machine with the newest snapshot on disk. */
  void installSnapshot(SnapshotMeta meta);

  void recordEvent(ConsensusEvent event, String detail);
}
