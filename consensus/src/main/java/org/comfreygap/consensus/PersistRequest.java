package org.comfreygap.consensus;

import java.util.List;
import java.util.Optional;
import org.comfreygap.protocol.generated.LogEntry;

/**
 * State to be written and synced, in the order of the components.
 *
 * @param sequence number by which completion is reported to the core; increases by one
 * @param reset snapshot after which the log continues; all earlier entries are dropped
 * @param hardState new hard state
 * @param entries entries to append; each replaces the entry of its index and all later ones
 */
record PersistRequest(
    long sequence,
    Optional<SnapshotMeta> reset,
    Optional<HardState> hardState,
    List<LogEntry> entries) {}
