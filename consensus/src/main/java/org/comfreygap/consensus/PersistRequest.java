package org.comfreygap.consensus;

import java.util.List;
import java.util.Optional;
import org.comfreygap.protocol.generated.LogEntry;

/**
 * What the core wants written and synced, in the order of the fields.
 *
 * @param sequence number that reports completion to the core; rises by one
 * @param reset snapshot after which the log continues, dropping all earlier entries
 * @param hardState new hard state
 * @param entries entries to append; each replaces the entry of its index and all later ones
 */
record PersistRequest(
    long sequence,
    Optional<SnapshotMeta> reset,
    Optional<HardState> hardState,
    List<LogEntry> entries) {}
