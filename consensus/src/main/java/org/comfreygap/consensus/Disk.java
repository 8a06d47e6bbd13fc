package org.comfreygap.consensus;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The folder in which a replica keeps its files; the place at which tests inject disk faults.
 *
 * <p>Contract: data survives a power loss only after {@link DiskFile#sync}, and the creation,
 * renaming or deletion of a file only after {@link #syncFolder}. Thread safety: different files may
 * be used by different threads.
 */
interface Disk extends AutoCloseable {

  /** Returns the names of all files, sorted. */
  List<String> list() throws IOException;

  /** Opens a file for reading from its start. */
  InputStream read(String name) throws IOException;

  /** Opens a file for writing; creates it when it is absent. */
  DiskFile write(String name) throws IOException;

  /** Renames a file, replacing the target. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file when it exists. */
  void delete(String name) throws IOException;

  /**
   * Makes creations, renames and deletions durable.
   *
   * @throws SyncFailedException when they may not be durable
   */
  void syncFolder() throws IOException;

  @Override
  void close() throws IOException;

  /** A file open for writing. Thread safety: one thread at a time. */
  interface DiskFile extends AutoCloseable {

    /** Returns the size in bytes. */
    long size() throws IOException;

    /** Writes all remaining bytes at {@code position}; after a failure some may be written. */
    void write(long position, ByteBuffer bytes) throws IOException;

    /** Cuts the file to {@code size} bytes. */
    void truncate(long size) throws IOException;

    /**
     * Makes all bytes durable.
     *
     * @throws SyncFailedException when they may not be durable
     */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
