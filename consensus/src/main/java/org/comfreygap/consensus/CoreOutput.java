package org.comfreygap.consensus;

import java.util.function.Consumer;
import org.comfreygap.protocol.generated.AppendRequest;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.SnapshotChunk;
import org.comfreygap.protocol.generated.SnapshotReply;
import org.comfreygap.protocol.generated.TimeoutNow;
import org.comfreygap.protocol.generated.VoteRequest;

/**
 * Where the messages of {@link RaftCore} go.
 *
 * <p>Thread safety: called only by the thread of the core.
 */
interface CoreOutput {

  void vote(ReplicaMember to, VoteRequest request);

  void append(ReplicaMember to, AppendRequest request);

  void snapshot(ReplicaMember to, SnapshotMeta meta, long term, long round);

  void timeoutNow(ReplicaMember to, TimeoutNow request);

  void storeChunk(SnapshotChunk chunk, Consumer<SnapshotReply> replyTo);

  /** The state machine is to be replaced by the newest snapshot on disk. */
  void install(SnapshotMeta meta);

  void event(ConsensusEvent event, String detail);
}
