package org.comfreygap.consensus;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.comfreygap.protocol.generated.EntryKind;
import org.comfreygap.protocol.generated.LogEntry;

/**
 * One record of a segment file: {@code length, CRC-32C, type, synced offset, content}.
 *
 * <p>The synced offset is the file size before the batch of the record, all of which was already
 * synced. Damage before the synced offset of a later record is therefore damage to synced data; any
 * other damage is the remainder of an incomplete write.
 *
 * <p>Thread safety: immutable.
 *
 * @param type record type
 * @param syncedOffset offset in bytes below which the segment was synced
 * @param index entry index, or last index before a segment or a reset
 * @param term entry term, hard-state term, or term at {@code index}
 * @param detail sequence number of the segment, or number of the entry kind
 * @param content entry payload or vote
 */
record LogRecord(Type type, long syncedOffset, long index, long term, long detail, byte[] content) {

  /** Size of the length and the checksum. */
  static final int HEADER_BYTES = 8;

  private static final int FIXED_BODY_BYTES = 1 + 4 * Long.BYTES;
  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final byte[] EMPTY = {};

  /** Record types; the ordinal is stored. */
  enum Type {
    SEGMENT,
    HARD_STATE,
    ENTRY,
    RESET,
    SYNC_MARK
  }

  static LogRecord segment(long sequence, long lastIndex, long lastTerm) {
    return new LogRecord(Type.SEGMENT, 0, lastIndex, lastTerm, sequence, EMPTY);
  }

  static LogRecord hardState(HardState state) {
    byte[] vote = state.votedFor().getBytes(StandardCharsets.UTF_8);
    return new LogRecord(Type.HARD_STATE, 0, 0, state.term(), 0, vote);
  }

  static LogRecord entry(LogEntry entry) {
    return new LogRecord(
        Type.ENTRY,
        0,
        entry.getIndex(),
        entry.getTerm(),
        entry.getKind().getValue(),
        payload(entry));
  }

  /**
   * Returns a copy of an entry's payload. Several threads read an entry at once, while the
   * generated getter replaces its buffer, which others may then see before it is filled.
   */
  static byte[] payload(LogEntry entry) {
    return entry.bufferForPayload().array();
  }

  static LogRecord reset(long lastIndex, long lastTerm) {
    return new LogRecord(Type.RESET, 0, lastIndex, lastTerm, 0, EMPTY);
  }

  static LogRecord syncMark() {
    return new LogRecord(Type.SYNC_MARK, 0, 0, 0, 0, EMPTY);
  }

  /** Returns the record at {@code offset}, or empty when there is no intact record. */
  static Optional<LogRecord> read(ByteBuffer file, int offset) {
    if (file.limit() - offset < HEADER_BYTES + FIXED_BODY_BYTES) {
      return Optional.empty();
    }
    int length = file.getInt(offset);
    if (length < FIXED_BODY_BYTES
        || length > MAX_BODY_BYTES
        || length > file.limit() - offset - HEADER_BYTES) {
      return Optional.empty();
    }
    int typeNumber = file.get(offset + HEADER_BYTES);
    if (typeNumber < 0 || typeNumber >= Type.values().length) {
      return Optional.empty();
    }
    ByteBuffer body = file.slice(offset + HEADER_BYTES, length);
    if (checksum(length, body) != file.getInt(offset + Integer.BYTES)) {
      return Optional.empty();
    }
    body.get();
    long syncedOffset = body.getLong();
    long index = body.getLong();
    long term = body.getLong();
    long detail = body.getLong();
    byte[] content = new byte[body.remaining()];
    body.get(content);
    return Optional.of(
        new LogRecord(Type.values()[typeNumber], syncedOffset, index, term, detail, content));
  }

  /** Returns the size in the file, in bytes. */
  int size() {
    return HEADER_BYTES + FIXED_BODY_BYTES + content.length;
  }

  /** Appends the record to {@code out} as part of a batch that begins at {@code batchOffset}. */
  void write(ByteArrayOutputStream out, long batchOffset) {
    ByteBuffer body = ByteBuffer.allocate(FIXED_BODY_BYTES + content.length);
    body.put((byte) type.ordinal());
    body.putLong(batchOffset).putLong(index).putLong(term).putLong(detail);
    body.put(content).flip();
    try (DataOutputStream data = new DataOutputStream(out)) {
      data.writeInt(body.limit());
      data.writeInt(checksum(body.limit(), body));
      data.write(body.array());
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
  }

  /** Returns the entry of an {@link Type#ENTRY} record. */
  LogEntry toEntry() {
    return new LogEntry(index, term, EntryKind.findByValue((int) detail), ByteBuffer.wrap(content));
  }

  /** Returns the state of a {@link Type#HARD_STATE} record. */
  HardState toHardState() {
    return new HardState(term, new String(content, StandardCharsets.UTF_8));
  }

  private static int checksum(int length, ByteBuffer body) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, length));
    crc.update(body.duplicate());
    return (int) crc.getValue();
  }
}
