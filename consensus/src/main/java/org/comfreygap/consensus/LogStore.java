package org.comfreygap.consensus;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.comfreygap.protocol.generated.LogEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The log on disk: append-only segment files of checksummed records.
 *
 * <p>A new segment is filled with zeros if there is room, so that syncing records does not have to
 * wait for the file system's journal to record a new file size. The log ends where only zeros
 * follow.
 *
 * <p>An entry record replaces the entry with the same index and all later entries, so a conflicting
 * suffix is never removed from a file. Each segment starts with a copy of the newest hard state.
 *
 * <p>Invariant: a segment is created only after the previous one is completely synced, so only the
 * last segment can have a torn tail. Thread safety: one thread.
 */
final class LogStore implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(LogStore.class);

  static final int SEGMENT_BYTES = 8 * 1024 * 1024;

  private static final String PREFIX = "log-";
  private static final int ZERO_BLOCK_BYTES = 1024 * 1024;

  private final Disk disk;
  private final Deque<Segment> segments = new ArrayDeque<>();
  private final List<LogRecord> batch = new ArrayList<>();
  private final int segmentBytes;
  private Disk.DiskFile file;
  private long syncedSize;
  private long writtenSize;
  private long tornEnd;
  private HardState hardState = HardState.NONE;
  private HardState syncedState = HardState.NONE;
  private long lastIndex;
  private long lastTerm;
  private long syncedIndex;
  private long syncedTerm;

  private LogStore(Disk disk, int segmentBytes) {
    this.disk = disk;
    this.segmentBytes = segmentBytes;
  }

  /** The log as read from disk. Thread safety: not thread-safe. */
  static final class Contents {

    private final List<LogEntry> entries = new ArrayList<>();
    private HardState hardState = HardState.NONE;
    private long baseIndex;
    private long baseTerm;
    private String tornSegment = "";
    private long tornBytes;
    private boolean baseOfDeletedSegments;

    /** Returns the entries after the base. */
    List<LogEntry> entries() {
      return entries;
    }

    HardState hardState() {
      return hardState;
    }

    /** Returns the index before the first entry. */
    long baseIndex() {
      return baseIndex;
    }

    long baseTerm() {
      return baseTerm;
    }

    /** Returns the number of bytes discarded from an incomplete write. */
    long tornBytes() {
      return tornBytes;
    }

    /** Returns the segment that ended in an incomplete write, or an empty string. */
    String tornSegment() {
      return tornSegment;
    }

    long lastIndex() {
      return baseIndex + entries.size();
    }

    private void replay(LogRecord record, String segment) throws LogCorruptException {
      switch (record.type()) {
        case HARD_STATE -> hardState = record.toHardState();
        case RESET -> {
          resetTo(record.index(), record.term());
          baseOfDeletedSegments = false;
        }
        case ENTRY -> replayEntry(record, segment);
        default -> {
          // Segment headers and sync marks carry no state.
        }
      }
    }

    private void replayEntry(LogRecord record, String segment) throws LogCorruptException {
      if (baseOfDeletedSegments && record.index() <= baseIndex) {
        // Entries of deleted segments were replaced here; the snapshot covers them.
        resetTo(record.index(), record.toEntry().getTerm());
        return;
      }
      if (record.index() > lastIndex() + 1 || record.index() <= baseIndex) {
        throw new LogCorruptException(
            segment
                + " has entry "
                + record.index()
                + ", expected "
                + (baseIndex + 1)
                + " to "
                + (lastIndex() + 1)
                + "; replace this replica under a new id");
      }
      int keep = (int) (record.index() - baseIndex - 1);
      if (keep < entries.size()) {
        entries.subList(keep, entries.size()).clear();
      }
      entries.add(record.toEntry());
    }

    private void resetTo(long index, long term) {
      entries.clear();
      baseIndex = index;
      baseTerm = term;
    }
  }

  /** A store and its contents when it was opened. */
  record OpenedStore(LogStore store, Contents contents) {}

  /**
   * Reads the log and prepares it for appending. An incomplete write at the end is overwritten with
   * zeros at the first {@link #write}, since the disk may be full.
   *
   * @throws LogCorruptException when synced data is damaged or missing
   */
  static OpenedStore open(Disk disk, int segmentBytes) throws IOException {
    LogStore store = new LogStore(disk, segmentBytes);
    Contents contents = new Contents();
    List<String> names = disk.list().stream().filter(name -> name.startsWith(PREFIX)).toList();
    for (int i = 0; i < names.size(); i++) {
      store.readSegment(names.get(i), i == 0, i == names.size() - 1, contents);
    }
    store.hardState = contents.hardState;
    store.syncedState = contents.hardState;
    store.lastIndex = contents.lastIndex();
    store.lastTerm =
        contents.entries.isEmpty()
            ? contents.baseTerm
            : contents.entries.get(contents.entries.size() - 1).getTerm();
    store.syncedIndex = store.lastIndex;
    store.syncedTerm = store.lastTerm;
    if (!store.segments.isEmpty()) {
      store.file = disk.write(store.segments.getLast().name);
      store.syncedSize = store.segments.getLast().end;
      // The process may have ended between a write and its sync; what was read counts as synced.
      store.file.sync();
    }
    return new OpenedStore(store, contents);
  }

  /** Adds a hard state to the batch. */
  void add(HardState state) {
    hardState = state;
    batch.add(LogRecord.hardState(state));
  }

  /** Adds an entry to the batch. */
  void add(LogEntry entry) {
    lastIndex = entry.getIndex();
    lastTerm = entry.getTerm();
    batch.add(LogRecord.entry(entry));
    if (!segments.isEmpty()) {
      Segment last = segments.getLast();
      last.maxIndex = Math.max(last.maxIndex, lastIndex);
    }
  }

  /** Adds a record that discards all entries and continues after a snapshot. */
  void reset(long index, long term) {
    lastIndex = index;
    lastTerm = term;
    batch.add(LogRecord.reset(index, term));
  }

  /**
   * Writes the batch; may be retried after a failure.
   *
   * @throws IOException when the write fails, for example because the disk is full; a retry
   *     overwrites a partially written batch
   */
  void write() throws IOException {
    if (file == null) {
      beginSegment();
    }
    clearTornTail();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    batch.forEach(record -> record.write(bytes, syncedSize));
    file.write(syncedSize, ByteBuffer.wrap(bytes.toByteArray()));
    writtenSize = syncedSize + bytes.size();
  }

  /**
   * Makes the written batch durable and begins the next one.
   *
   * @throws SyncFailedException when the batch may not be durable; the store must not be used again
   */
  void sync() throws IOException {
    file.sync();
    syncedSize = writtenSize;
    syncedState = hardState;
    syncedIndex = lastIndex;
    syncedTerm = lastTerm;
    batch.clear();
    if (syncedSize >= segmentBytes) {
      Disk.DiskFile full = file;
      file = null;
      full.close();
    }
  }

  /** Returns the size of the newest segment up to its last synced record, in bytes. */
  long syncedSize() {
    return syncedSize;
  }

  /** Deletes segments that contain only entries before {@code index}; may be repeated. */
  void compact(long index) throws IOException {
    boolean deleted = false;
    try {
      while (segments.size() > 1 && segments.getFirst().maxIndex < index) {
        disk.delete(segments.getFirst().name);
        segments.removeFirst();
        deleted = true;
      }
    } finally {
      if (deleted) {
        disk.syncFolder();
      }
    }
  }

  /** Writes a sync mark, so that later damage at the end of the log is detected, and closes. */
  @Override
  public void close() throws IOException {
    if (file != null) {
      batch.add(LogRecord.syncMark());
      write();
      sync();
    }
    abandon();
  }

  /** Closes the file without writing. */
  void abandon() throws IOException {
    if (file != null) {
      file.close();
      file = null;
    }
  }

  private void beginSegment() throws IOException {
    long sequence = segments.isEmpty() ? 1 : segments.getLast().sequence + 1;
    String name = PREFIX + "%016d".formatted(sequence);
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    LogRecord.segment(sequence, syncedIndex, syncedTerm).write(head, 0);
    LogRecord.hardState(syncedState).write(head, 0);
    Disk.DiskFile next = disk.write(name);
    try {
      next.truncate(0);
      next.write(0, ByteBuffer.wrap(head.toByteArray()));
      reserve(next, head.size());
    } catch (IOException e) {
      next.close();
      throw e;
    }
    next.sync();
    disk.syncFolder();
    file = next;
    syncedSize = head.size();
    Segment segment = new Segment(sequence, name);
    segment.maxIndex = lastIndex;
    segments.add(segment);
  }

  /** Fills a segment with zeros; leaves it without them when the disk lacks the room. */
  private void reserve(Disk.DiskFile segment, long begin) throws IOException {
    try {
      fillWithZeros(segment, begin, segmentBytes);
    } catch (IOException e) {
      LOG.debug("no room to fill a segment with zeros; its records are appended", e);
      segment.truncate(begin);
    }
  }

  private void readSegment(String name, boolean first, boolean last, Contents contents)
      throws IOException {
    ByteBuffer bytes;
    try (InputStream in = disk.read(name)) {
      bytes = ByteBuffer.wrap(in.readAllBytes());
    }
    Segment segment = new Segment(Long.parseLong(name.substring(PREFIX.length())), name);
    if (!segments.isEmpty() && segment.sequence != segments.getLast().sequence + 1) {
      throw new LogCorruptException(
          "segment "
              + name
              + " follows "
              + segments.getLast().name
              + ", expected the next sequence number; replace this replica under a new id");
    }
    int offset = 0;
    while (offset < bytes.limit()) {
      Optional<LogRecord> found = LogRecord.read(bytes, offset);
      if (found.isEmpty()) {
        noteTornTail(name, bytes, offset, last, contents);
        break;
      }
      LogRecord record = found.get();
      if (record.type() == LogRecord.Type.SEGMENT && first) {
        contents.resetTo(record.index(), record.term());
        contents.baseOfDeletedSegments = true;
      }
      contents.replay(record, name);
      segment.maxIndex = Math.max(segment.maxIndex, contents.lastIndex());
      offset += record.size();
    }
    if (offset == 0) {
      tornEnd = 0;
      disk.delete(name);
      disk.syncFolder();
      return;
    }
    segment.end = offset;
    segments.add(segment);
  }

  private void noteTornTail(
      String name, ByteBuffer bytes, int offset, boolean last, Contents contents)
      throws IOException {
    if (!last || isSyncedBeyond(bytes, offset)) {
      throw new LogCorruptException(
          "segment "
              + name
              + " is damaged at byte "
              + offset
              + ", which was synced before; replace this replica under a new id");
    }
    if (isZero(bytes, offset)) {
      return;
    }
    contents.tornSegment = name;
    contents.tornBytes = bytes.limit() - offset;
    tornEnd = bytes.limit();
  }

  /** Overwrites an incomplete write, whose intact records could otherwise follow a new one. */
  private void clearTornTail() throws IOException {
    if (tornEnd > 0) {
      fillWithZeros(file, syncedSize, tornEnd);
      file.sync();
      tornEnd = 0;
    }
  }

  private static boolean isZero(ByteBuffer bytes, int offset) {
    for (int i = offset; i < bytes.limit(); i++) {
      if (bytes.get(i) != 0) {
        return false;
      }
    }
    return true;
  }

  private static void fillWithZeros(Disk.DiskFile file, long from, long to) throws IOException {
    long position = from;
    while (position < to) {
      int length = (int) Math.min(ZERO_BLOCK_BYTES, to - position);
      file.write(position, ByteBuffer.allocate(length));
      position += length;
    }
  }

  /** Returns true when a later intact record proves that {@code offset} had been synced. */
  private static boolean isSyncedBeyond(ByteBuffer bytes, int offset) {
    int syncedOffsetAt = LogRecord.HEADER_BYTES + 1;
    for (int i = offset + 1; i + syncedOffsetAt + Long.BYTES <= bytes.limit(); i++) {
      long synced = bytes.getLong(i + syncedOffsetAt);
      if (synced > offset && synced <= i && LogRecord.read(bytes, i).isPresent()) {
        return true;
      }
    }
    return false;
  }

  private static final class Segment {

    private final long sequence;
    private final String name;
    private long maxIndex;
    private long end;

    Segment(long sequence, String name) {
      this.sequence = sequence;
      this.name = name;
    }
  }
}
