package org.comfreygap.consensus;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * A {@link Disk} backed by a folder of the file system.
 *
 * <p>Invariant: at most one process uses the folder, ensured by a lock file. Thread safety: as
 * {@link Disk}.
 */
final class FileDisk implements Disk {

  private static final String LOCK_FILE = "lock";

  private final Path folder;
  private final FileChannel lockChannel;

  private FileDisk(Path folder, FileChannel lockChannel) {
    this.folder = folder;
    this.lockChannel = lockChannel;
  }

  /**
   * Opens the folder and creates it if it does not exist.
   *
   * @throws IOException when the folder cannot be used or another process uses it
   */
  static FileDisk open(Path folder) throws IOException {
    Files.createDirectories(folder);
    FileChannel channel =
        FileChannel.open(
            folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    if (!locked(channel)) {
      channel.close();
      throw new IOException("another process uses the data folder " + folder);
    }
    Path parent = folder.toAbsolutePath().getParent();
    if (parent != null) {
      sync(parent);
    }
    return new FileDisk(folder, channel);
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.equals(LOCK_FILE))
          .sorted()
          .toList();
    }
  }

  @Override
  public InputStream read(String name) throws IOException {
    return Files.newInputStream(folder.resolve(name));
  }

  @Override
  public DiskFile write(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    return new ChannelFile(name, channel);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(
        folder.resolve(from),
        folder.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public void syncFolder() throws IOException {
    sync(folder);
  }

  @Override
  public void close() throws IOException {
    lockChannel.close();
  }

  private static boolean locked(FileChannel channel) throws IOException {
    try {
      FileLock lock = channel.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) {
      return false;
    }
  }

  private static void sync(Path path) throws IOException {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
      channel.force(true);
    } catch (IOException e) {
      throw new SyncFailedException("sync of folder " + path + " failed", e);
    }
  }

  private static final class ChannelFile implements DiskFile {

    private final String name;
    private final FileChannel channel;

    ChannelFile(String name, FileChannel channel) {
      this.name = name;
      this.channel = channel;
    }

    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public void write(long position, ByteBuffer bytes) throws IOException {
      long next = position;
      while (bytes.hasRemaining()) {
        next += channel.write(bytes, next);
      }
    }

    @Override
    public void truncate(long size) throws IOException {
      channel.truncate(size);
    }

    @Override
    public void sync() throws IOException {
      try {
        channel.force(false);
      } catch (IOException e) {
        throw new SyncFailedException("sync of " + name + " failed", e);
      }
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
