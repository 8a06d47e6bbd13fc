package org.comfreygap.consensus;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The folder in which a replica stores its files; tests inject disk faults here.
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

  /** Deletes a file if it exists. */
  void delete(String name) throws IOException;

  /**
   * Makes file creations, renames and deletions durable.
   *
   * @throws SyncFailedException when the sync fails, so that they may not be durable
   */
  void syncFolder() throws IOException;

  @Override
  void close() throws IOException;

  /** A file open for writing. Thread safety: one thread at a time. */
  interface DiskFile extends AutoCloseable {

    /** Returns the size in bytes. */
    long size() throws IOException;

    /** Writes all remaining bytes at {@code position}; a failure may leave a partial write. */
    void write(long position, ByteBuffer bytes) throws IOException;

    /** Truncates the file to {@code size} bytes. */
    void truncate(long size) throws IOException;

    /**
     * Makes all bytes durable.
     *
     * @throws SyncFailedException when the sync fails, so that they may not be durable
     */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
