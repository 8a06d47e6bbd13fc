package org.comfreygap.consensus;

import java.util.List;
import org.comfreygap.protocol.generated.ReplicaMember;

/**
 * Metadata of a snapshot: the log position and the membership it covers.
 *
 * @param index last index covered
 * @param term term of that index
 * @param members members as of that index
 */
record SnapshotMeta(long index, long term, List<ReplicaMember> members) {

  static final SnapshotMeta NONE = new SnapshotMeta(0, 0, List.of());
}
