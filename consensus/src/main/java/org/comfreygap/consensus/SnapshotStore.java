package org.comfreygap.consensus;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import java.util.zip.CheckedInputStream;
import java.util.zip.CheckedOutputStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Snapshot files: {@code magic, index, term, membership, state, CRC-32C}.
 *
 * <p>Invariant: a file under its final name is complete and synced; the newest is kept until a
 * newer one is durable. Thread safety: {@link #write} and {@link #receive} are each used by one
 * thread; the other methods may be called from any thread.
 */
final class SnapshotStore {

  /** Writes the state of the state machine. */
  @FunctionalInterface
  interface StateWriter {

    void write(OutputStream out) throws IOException;
  }

  /** Reads the state of the state machine. */
  @FunctionalInterface
  interface StateReader {

    void read(InputStream in) throws IOException;
  }

  private static final Logger LOG = LoggerFactory.getLogger(SnapshotStore.class);

  private static final String PREFIX = "snapshot-";
  private static final String TEMPORARY_SUFFIX = ".tmp";
  private static final String WRITTEN = "own" + TEMPORARY_SUFFIX;
  private static final String RECEIVED = "received" + TEMPORARY_SUFFIX;
  private static final int MAGIC = 0x43465331;
  private static final int CHECKSUM_BYTES = 4;
  private static final int BUFFER_BYTES = 64 * 1024;

  private final Disk disk;
  private long receivingIndex = -1;
  private Disk.DiskFile receiving;

  SnapshotStore(Disk disk) {
    this.disk = disk;
  }

  /** Deletes incomplete files and returns the metadata of the newest snapshot. */
  SnapshotMeta open() throws IOException {
    for (String name : disk.list()) {
      if (name.endsWith(TEMPORARY_SUFFIX)) {
        disk.delete(name);
      }
    }
    Optional<String> newest = newest();
    return newest.isEmpty() ? SnapshotMeta.NONE : read(newest.get(), in -> {});
  }

  /** Reads the state of the newest snapshot and returns its metadata. */
  SnapshotMeta load(StateReader reader) throws IOException {
    synchronized (disk) {
      Optional<String> newest = newest();
      return newest.isEmpty() ? SnapshotMeta.NONE : read(newest.get(), reader);
    }
  }

  /** Opens the newest snapshot if it covers {@code index}; stays readable after replacement. */
  Optional<InputStream> openNewest(long index) throws IOException {
    synchronized (disk) {
      Optional<String> newest = newest();
      if (newest.isEmpty() || !newest.get().equals(name(index))) {
        return Optional.empty();
      }
      return Optional.of(disk.read(newest.get()));
    }
  }

  /** Writes a snapshot, one at a time; {@link #finish} makes it durable. */
  Disk.DiskFile write(SnapshotMeta meta, StateWriter body) throws IOException {
    disk.delete(WRITTEN);
    Disk.DiskFile file = disk.write(WRITTEN);
    try {
      writeTo(file, meta, body);
      return file;
    } catch (IOException e) {
      discard(file, WRITTEN, e);
      throw e;
    }
  }

  /** Syncs, closes and publishes a snapshot from {@link #write} and deletes older ones. */
  void finish(Disk.DiskFile file, SnapshotMeta meta) throws IOException {
    try (file) {
      file.sync();
    }
    publish(WRITTEN, meta.index());
  }

  /**
   * Stores a snapshot chunk from the leader.
   *
   * @return the next expected offset; 0 when no transfer of this snapshot is in progress
   */
  synchronized long receive(long index, long offset, byte[] bytes) throws IOException {
    if (offset == 0) {
      closeReceiving();
      disk.delete(RECEIVED);
      receiving = disk.write(RECEIVED);
      receivingIndex = index;
    }
    if (receivingIndex != index || receiving == null) {
      return 0;
    }
    long size = receiving.size();
    if (offset == size) {
      try {
        receiving.write(size, ByteBuffer.wrap(bytes));
      } catch (IOException e) {
        discard(receiving, RECEIVED, e);
        receiving = null;
        receivingIndex = -1;
        throw e;
      }
    }
    return receiving.size();
  }

  /** Verifies, syncs and publishes the received snapshot. */
  synchronized SnapshotMeta finishReceiving() throws IOException {
    receiving.sync();
    closeReceiving();
    SnapshotMeta meta = read(RECEIVED, in -> {});
    publish(RECEIVED, meta.index());
    return meta;
  }

  private static void writeTo(Disk.DiskFile file, SnapshotMeta meta, StateWriter body)
      throws IOException {
    CheckedOutputStream checked =
        new CheckedOutputStream(
            new BufferedOutputStream(new FileOutput(file), BUFFER_BYTES), new CRC32C());
    DataOutputStream out = new DataOutputStream(checked);
    byte[] membership = Memberships.encode(meta.members());
    out.writeInt(MAGIC);
    out.writeLong(meta.index());
    out.writeLong(meta.term());
    out.writeInt(membership.length);
    out.write(membership);
    BlockOutput blocks = new BlockOutput(out);
    body.write(blocks);
    blocks.finish();
    out.writeInt((int) checked.getChecksum().getValue());
    out.flush();
  }

  private void closeReceiving() throws IOException {
    if (receiving != null) {
      receiving.close();
      receiving = null;
      receivingIndex = -1;
    }
  }

  /** Deletes an incomplete file, which would keep its room until the next snapshot. */
  private void discard(Disk.DiskFile file, String name, IOException cause) {
    try (file) {
      disk.delete(name);
    } catch (IOException e) {
      cause.addSuppressed(e);
    }
  }

  private void publish(String temporary, long index) throws IOException {
    synchronized (disk) {
      disk.rename(temporary, name(index));
      disk.syncFolder();
      deleteOlder();
    }
  }

  /** Deletes all but the newest snapshot; one that cannot be deleted is left to the next call. */
  private void deleteOlder() throws IOException {
    List<String> names = names();
    for (String older : names.subList(0, names.size() - 1)) {
      try {
        disk.delete(older);
      } catch (IOException e) {
        LOG.warn("{} cannot be deleted; it is deleted with the next snapshot", older, e);
      }
    }
  }

  private Optional<String> newest() throws IOException {
    List<String> names = names();
    return names.isEmpty() ? Optional.empty() : Optional.of(names.get(names.size() - 1));
  }

  private List<String> names() throws IOException {
    return disk.list().stream()
        .filter(name -> name.startsWith(PREFIX) && !name.endsWith(TEMPORARY_SUFFIX))
        .toList();
  }

  private SnapshotMeta read(String name, StateReader reader) throws IOException {
    try (InputStream file = disk.read(name)) {
      CheckedInputStream checked =
          new CheckedInputStream(new BufferedInputStream(file, BUFFER_BYTES), new CRC32C());
      DataInputStream in = new DataInputStream(checked);
      if (in.readInt() != MAGIC) {
        throw corrupt(name);
      }
      long index = in.readLong();
      long term = in.readLong();
      int length = in.readInt();
      if (length < 0 || length > BUFFER_BYTES) {
        throw corrupt(name);
      }
      byte[] membership = in.readNBytes(length);
      BlockInput body = new BlockInput(in);
      reader.read(body);
      body.skipRest();
      int expected = (int) checked.getChecksum().getValue();
      if (in.readInt() != expected) {
        throw corrupt(name);
      }
      return new SnapshotMeta(index, term, Memberships.decode(membership));
    } catch (EOFException e) {
      throw corrupt(name);
    }
  }

  private static String name(long index) {
    return PREFIX + "%016d".formatted(index);
  }

  private static LogCorruptException corrupt(String name) {
    return new LogCorruptException(
        "snapshot " + name + " is damaged; replace this replica under a new id");
  }

  /** Writes to a {@link Disk.DiskFile} sequentially. */
  private static final class FileOutput extends OutputStream {

    private final Disk.DiskFile file;
    private long position;

    FileOutput(Disk.DiskFile file) {
      this.file = file;
    }

    @Override
    public void write(int value) throws IOException {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      file.write(position, ByteBuffer.wrap(bytes, offset, length));
      position += length;
    }
  }

  /** Writes the state, whose length is unknown in advance, as length-prefixed blocks. */
  private static final class BlockOutput extends OutputStream {

    private final DataOutputStream out;
    private final byte[] block = new byte[BUFFER_BYTES];
    private int used;

    BlockOutput(DataOutputStream out) {
      this.out = out;
    }

    @Override
    public void write(int value) throws IOException {
      if (used == block.length) {
        writeBlock();
      }
      block[used++] = (byte) value;
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      int written = 0;
      while (written < length) {
        if (used == block.length) {
          writeBlock();
        }
        int part = Math.min(length - written, block.length - used);
        System.arraycopy(bytes, offset + written, block, used, part);
        used += part;
        written += part;
      }
    }

    /** Writes the last block and a zero length that marks the end. */
    void finish() throws IOException {
      writeBlock();
      out.writeInt(0);
    }

    private void writeBlock() throws IOException {
      if (used > 0) {
        out.writeInt(used);
        out.write(block, 0, used);
        used = 0;
      }
    }
  }

  /** Reads the state from length-prefixed blocks. */
  private static final class BlockInput extends InputStream {

    private final DataInputStream in;
    private int remaining;
    private boolean ended;

    BlockInput(DataInputStream in) {
      this.in = in;
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      if (length == 0) {
        return 0;
      }
      if (remaining == 0 && !ended) {
        remaining = in.readInt();
        ended = remaining == 0;
      }
      if (ended) {
        return -1;
      }
      int count = in.read(bytes, offset, Math.min(length, remaining));
      if (count < 0) {
        throw new EOFException();
      }
      remaining -= count;
      return count;
    }

    void skipRest() throws IOException {
      byte[] rest = new byte[BUFFER_BYTES];
      int count = read(rest, 0, rest.length);
      while (count >= 0) {
        count = read(rest, 0, rest.length);
      }
    }
  }
}
