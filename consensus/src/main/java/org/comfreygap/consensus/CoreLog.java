package org.comfreygap.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.comfreygap.protocol.generated.EntryKind;
import org.comfreygap.protocol.generated.LogEntry;
import org.comfreygap.protocol.generated.ReplicaMember;

/**
 * The in-memory part of the log, after the newest compaction.
 *
 * <p>Invariant: indexes increase by one and terms never decrease. Thread safety: not thread-safe.
 */
final class CoreLog {

  private static final long MAX_TRAILING_BYTES = 2 * 1024 * 1024;

  private final List<LogEntry> entries = new ArrayList<>();
  private final TreeMap<Long, List<ReplicaMember>> memberships = new TreeMap<>();
  private long baseIndex;
  private long baseTerm;
  private long bytes;
  private SnapshotMeta snapshot;
  private boolean entriesDiscarded;

  /**
   * Creates the log from the contents of the disk.
   *
   * <p>Entries are kept only when they continue the snapshot; otherwise the replica received the
   * snapshot because its entries were out of date.
   */
  CoreLog(SnapshotMeta snapshot, long baseIndex, long baseTerm, List<LogEntry> entries) {
    this.snapshot = snapshot;
    this.baseIndex = baseIndex;
    this.baseTerm = baseTerm;
    memberships.put(snapshot.index(), snapshot.members());
    for (LogEntry entry : entries) {
      append(entry);
    }
    if (!contains(snapshot.index(), snapshot.term())) {
      install(snapshot);
      entriesDiscarded = true;
    }
  }

  /** Returns true when the entries on disk did not continue the snapshot. */
  boolean entriesDiscarded() {
    return entriesDiscarded;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).getTerm();
  }

  /** Returns the size of all payloads in memory, in bytes. */
  long bytes() {
    return bytes;
  }

  /** Returns the newest index whose entry has been removed. */
  long baseIndex() {
    return baseIndex;
  }

  SnapshotMeta snapshot() {
    return snapshot;
  }

  /** Returns the term at {@code index}, or -1 when the index is outside the log. */
  long term(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    return index < baseIndex || index > lastIndex() ? -1 : get(index).getTerm();
  }

  boolean contains(long index, long term) {
    return term(index) == term;
  }

  /** Returns true when a log with the given last entry is at least as up to date as this one. */
  boolean isCoveredBy(long otherIndex, long otherTerm) {
    return otherTerm > lastTerm() || (otherTerm == lastTerm() && otherIndex >= lastIndex());
  }

  /** Returns the index after which the leader resumes when its entry at {@code index} differs. */
  long conflictHint(long index, long commitIndex) {
    if (index > lastIndex()) {
      return lastIndex();
    }
    long conflictTerm = term(index);
    long hint = index - 1;
    while (hint > Math.max(commitIndex, 1) && term(hint) == conflictTerm) {
      hint--;
    }
    return hint;
  }

  LogEntry get(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  /** Returns entries from {@code from} on within the limits, but at least one if present. */
  List<LogEntry> slice(long from, long to, int maxEntries, int maxBytes) {
    List<LogEntry> result = new ArrayList<>();
    int bytes = 0;
    for (long i = from; i <= to && result.size() < maxEntries && bytes < maxBytes; i++) {
      LogEntry entry = get(i);
      result.add(entry);
      bytes += entry.bufferForPayload().remaining();
    }
    return result;
  }

  void append(LogEntry entry) {
    entries.add(entry);
    bytes += size(entry);
    if (entry.getKind() == EntryKind.MEMBERSHIP) {
      memberships.put(entry.getIndex(), Memberships.decode(LogRecord.payload(entry)));
    }
  }

  /** Removes the entries from {@code index} on. */
  void truncateFrom(long index) {
    drop((int) (index - baseIndex - 1), entries.size());
    memberships.tailMap(index, true).clear();
  }

  /** Returns the members of the newest membership entry, committed or not. */
  List<ReplicaMember> members() {
    return memberships.lastEntry().getValue();
  }

  /** Returns the index of the newest membership entry. */
  long membershipIndex() {
    return memberships.lastKey();
  }

  /** Returns the members as of {@code index}. */
  List<ReplicaMember> membersAt(long index) {
    Map.Entry<Long, List<ReplicaMember>> entry = memberships.floorEntry(index);
    return entry == null ? List.of() : entry.getValue();
  }

  /** Records a snapshot; keeps up to {@code trailing} entries before it, within a size limit. */
  void compact(SnapshotMeta newer, int trailing) {
    snapshot = newer;
    long newBase = newer.index() - 1;
    long kept = 0;
    while (newBase > baseIndex && newer.index() - newBase < trailing && kept < MAX_TRAILING_BYTES) {
      kept += size(get(newBase));
      newBase--;
    }
    if (newBase > baseIndex) {
      baseTerm = term(newBase);
      drop(0, (int) (newBase - baseIndex));
      baseIndex = newBase;
    }
    memberships.headMap(newer.index(), true).clear();
    memberships.put(newer.index(), newer.members());
  }

  /** Removes all entries and continues after a snapshot from the leader. */
  void install(SnapshotMeta newer) {
    drop(0, entries.size());
    snapshot = newer;
    baseIndex = newer.index();
    baseTerm = newer.term();
    memberships.clear();
    memberships.put(newer.index(), newer.members());
  }

  private void drop(int from, int to) {
    List<LogEntry> dropped = entries.subList(from, to);
    for (LogEntry entry : dropped) {
      bytes -= size(entry);
    }
    dropped.clear();
  }

  private static int size(LogEntry entry) {
    return entry.bufferForPayload().remaining();
  }
}
