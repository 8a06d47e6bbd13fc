package org.comfreygap.consensus;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * An in-memory disk with injectable faults that loses unsynced writes in a crash.
 *
 * <p>Thread safety: all methods are synchronized.
 */
final class MemoryDisk implements Disk {

  private TreeMap<String, Content> files = new TreeMap<>();
  private TreeMap<String, Content> durableNames = new TreeMap<>();
  private volatile long syncDelayMillis;
  private volatile boolean full;
  private volatile boolean syncFails;
  private volatile boolean deletesFail;
  private volatile long capacity = Long.MAX_VALUE;
  private volatile Predicate<String> refused = name -> false;

  void syncDelayMillis(long value) {
    syncDelayMillis = value;
  }

  void full(boolean value) {
    full = value;
  }

  void syncFails(boolean value) {
    syncFails = value;
  }

  void deletesFail(boolean value) {
    deletesFail = value;
  }

  /** Sets the bytes that all files together may take. */
  void capacity(long bytes) {
    capacity = bytes;
  }

  /** Refuses writes to the files whose names match. */
  void refuseWrites(Predicate<String> names) {
    refused = names;
  }

  /** Loses unsynced writes except for a random, possibly damaged prefix of each of them. */
  synchronized void crash(Random random) {
    files = new TreeMap<>(durableNames);
    for (Content content : files.values()) {
      content.bytes = content.durable;
      for (Unsynced write : content.unsynced) {
        int kept = random.nextInt(write.bytes.length + 1);
        byte[] part = Arrays.copyOf(write.bytes, kept);
        if (kept > 0 && random.nextBoolean()) {
          part[random.nextInt(kept)] ^= 0x55;
        }
        content.put(write.position, part);
      }
      content.sync();
    }
    syncFails = false;
    full = false;
    syncDelayMillis = 0;
  }

  /** Flips some bits of one byte. */
  synchronized void damage(String name, int offset) {
    files.get(name).bytes[offset] ^= 0x55;
  }

  synchronized int size(String name) {
    return files.get(name).bytes.length;
  }

  @Override
  public synchronized List<String> list() {
    return List.copyOf(files.keySet());
  }

  @Override
  public synchronized InputStream read(String name) throws IOException {
    if (!files.containsKey(name)) {
      throw new IOException("no file " + name);
    }
    return new ByteArrayInputStream(files.get(name).bytes);
  }

  @Override
  public synchronized DiskFile write(String name) throws IOException {
    return new MemoryFile(name, files.computeIfAbsent(name, key -> new Content()));
  }

  @Override
  public synchronized void rename(String from, String to) {
    files.put(to, files.remove(from));
  }

  @Override
  public synchronized void delete(String name) throws IOException {
    if (deletesFail && files.containsKey(name)) {
      throw new IOException("injected: cannot delete " + name);
    }
    files.remove(name);
  }

  @Override
  public void syncFolder() throws IOException {
    beforeSync();
    synchronized (this) {
      durableNames = new TreeMap<>(files);
    }
  }

  @Override
  public void close() {}

  private void beforeSync() throws IOException {
    if (syncFails) {
      throw new SyncFailedException("injected", new IOException("injected"));
    }
    if (syncDelayMillis > 0) {
      try {
        Thread.sleep(syncDelayMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static final class Content {

    private final List<Unsynced> unsynced = new ArrayList<>();
    private byte[] bytes = {};
    private byte[] durable = {};

    void put(long position, byte[] part) {
      int end = (int) position + part.length;
      bytes = Arrays.copyOf(bytes, Math.max(bytes.length, end));
      System.arraycopy(part, 0, bytes, (int) position, part.length);
    }

    void sync() {
      durable = bytes.clone();
      unsynced.clear();
    }
  }

  private record Unsynced(long position, byte[] bytes) {}

  private final class MemoryFile implements DiskFile {

    private final String name;
    private final Content content;

    MemoryFile(String name, Content content) {
      this.name = name;
      this.content = content;
    }

    @Override
    public long size() {
      synchronized (MemoryDisk.this) {
        return content.bytes.length;
      }
    }

    @Override
    public void write(long position, ByteBuffer bytes) throws IOException {
      synchronized (MemoryDisk.this) {
        byte[] part = new byte[accepted(position, bytes.remaining())];
        bytes.get(part);
        content.put(position, part);
        content.unsynced.add(new Unsynced(position, part));
        if (bytes.hasRemaining()) {
          throw new IOException("injected: no space left");
        }
      }
    }

    /** Returns how many of {@code length} bytes are written before the disk refuses the rest. */
    private int accepted(long position, int length) {
      if (full || refused.test(name)) {
        return length / 2;
      }
      long used = files.values().stream().mapToLong(file -> file.bytes.length).sum();
      long growth = Math.max(0, position + length - content.bytes.length);
      return (int) Math.max(0, length - Math.max(0, growth - (capacity - used)));
    }

    @Override
    public void truncate(long size) {
      synchronized (MemoryDisk.this) {
        content.bytes = Arrays.copyOf(content.bytes, (int) size);
        content.durable =
            Arrays.copyOf(content.durable, Math.min(content.durable.length, (int) size));
        content.unsynced.clear();
      }
    }

    @Override
    public void sync() throws IOException {
      beforeSync();
      synchronized (MemoryDisk.this) {
        content.sync();
      }
    }

    @Override
    public void close() {}
  }
}
