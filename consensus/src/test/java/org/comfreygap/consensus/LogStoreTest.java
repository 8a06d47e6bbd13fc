package org.comfreygap.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.comfreygap.protocol.generated.EntryKind;
import org.comfreygap.protocol.generated.LogEntry;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.junit.jupiter.api.Test;

/** Guards against a log or snapshot on disk that differs from the synced data. */
class LogStoreTest {

  private static final int SEGMENT_BYTES = 2_048;
  private static final String SEGMENT = "log-0000000000000001";

  @Test
  void tornTailIsCutAtEveryLength() throws Exception {
    MemoryDisk whole = new MemoryDisk();
    int synced = writeBatches(whole, 2, false);
    int end = (int) open(whole).store().syncedSize();
    for (int length = synced; length < end; length++) {
      MemoryDisk torn = copy(whole);
      try (Disk.DiskFile file = torn.write(SEGMENT)) {
        file.write(length, ByteBuffer.allocate(end - length));
      }
      LogStore.OpenedStore opened = open(torn);
      int entries = opened.contents().entries().size();
      assertThat(entries).isBetween(3, 4);
      opened.store().add(entry(entries + 1, 9, 5));
      opened.store().write();
      opened.store().sync();
      assertThat(open(torn).contents().entries()).hasSize(entries + 1);
    }
  }

  @Test
  void intactRecordsAfterATornOneDoNotReappear() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    int lastBatch = writeBatches(disk, 2, false);
    disk.damage(SEGMENT, lastBatch + LogRecord.HEADER_BYTES);
    LogStore.OpenedStore opened = open(disk);
    assertThat(opened.contents().entries()).hasSize(3);
    // Same size as the torn record, so that the intact record after it would follow immediately.
    opened.store().add(entry(4, 9, 20));
    opened.store().write();
    opened.store().sync();
    assertThat(open(disk).contents().entries()).hasSize(4);
  }

  @Test
  void damageToSyncedDataIsDetectedAtEveryOffset() throws Exception {
    MemoryDisk whole = new MemoryDisk();
    writeBatches(whole, 2, true);
    int marked = (int) open(whole).store().syncedSize() - LogRecord.syncMark().size();
    for (int offset = 0; offset < marked; offset++) {
      MemoryDisk damaged = copy(whole);
      damaged.damage(SEGMENT, offset);
      assertThatThrownBy(() -> open(damaged))
          .as("damage at " + offset)
          .isInstanceOf(LogCorruptException.class);
    }
  }

  @Test
  void missingSegmentStopsTheReplica() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    LogStore store = open(disk).store();
    for (int i = 1; i <= 30; i++) {
      store.add(entry(i, 1, 300));
      store.write();
      store.sync();
    }
    store.close();
    assertThat(disk.list()).hasSizeGreaterThan(2);
    disk.delete(disk.list().get(1));
    assertThatThrownBy(() -> open(disk)).isInstanceOf(LogCorruptException.class);
  }

  @Test
  void refusedWriteCanBeRetried() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    LogStore store = open(disk).store();
    store.add(entry(1, 1, 10));
    store.write();
    store.sync();
    store.add(entry(2, 1, 100));
    disk.full(true);
    assertThatThrownBy(store::write).isInstanceOf(IOException.class);
    assertThatThrownBy(store::write).isInstanceOf(IOException.class);
    disk.full(false);
    store.write();
    store.sync();
    disk.crash(new Random(1));
    assertThat(open(disk).contents().entries()).hasSize(2);
  }

  @Test
  void compactionKeepsLaterEntriesAndTheHardState() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    LogStore store = open(disk).store();
    store.add(new HardState(7, "b"));
    for (int i = 1; i <= 30; i++) {
      store.add(entry(i, 1, 300));
      store.write();
      store.sync();
    }
    int before = disk.list().size();
    store.compact(20);
    store.close();
    disk.crash(new Random(1));
    LogStore.Contents contents = open(disk).contents();
    assertThat(disk.list()).hasSizeLessThan(before);
    assertThat(contents.baseIndex()).isLessThan(20);
    assertThat(contents.entries().get(contents.entries().size() - 1).getIndex()).isEqualTo(30);
    assertThat(contents.hardState()).isEqualTo(new HardState(7, "b"));
  }

  /** Compares random appends, replacements, resets and crashes with a list as the model. */
  @Property(tries = 200, seed = "4711")
  void contentsMatchAListModel(
      @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 99) Integer> steps)
      throws Exception {
    MemoryDisk disk = new MemoryDisk();
    LogStore store = open(disk).store();
    List<Long> terms = new ArrayList<>();
    long base = 0;
    for (int step : steps) {
      if (step < 10) {
        store.abandon();
        disk.crash(new Random(step));
        store = open(disk).store();
      } else if (step < 15) {
        base += terms.size() + step;
        terms.clear();
        store.reset(base, step);
      } else {
        int keep = step < 40 ? terms.size() * (step - 15) / 25 : terms.size();
        terms.subList(keep, terms.size()).clear();
        terms.add((long) step);
        store.add(entry(base + terms.size(), step, step));
      }
      if (step >= 10) {
        store.write();
        store.sync();
      }
    }
    disk.crash(new Random(0));
    LogStore.Contents contents = open(disk).contents();
    assertThat(contents.baseIndex()).isEqualTo(base);
    assertThat(contents.entries()).extracting(LogEntry::getTerm).isEqualTo(terms);
  }

  @Test
  void damagedSnapshotIsNotLoaded() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    SnapshotMeta meta =
        new SnapshotMeta(5, 2, List.of(new ReplicaMember("a", "127.0.0.1:1", true)));
    byte[] state = new byte[200];
    writeSnapshot(disk, meta, state);
    String name = disk.list().get(0);
    assertThat(new SnapshotStore(disk).open()).isEqualTo(meta);
    for (int offset = 0; offset < disk.size(name); offset++) {
      MemoryDisk damaged = copy(disk);
      damaged.damage(name, offset);
      assertThatThrownBy(() -> new SnapshotStore(damaged).open())
          .as("damage at " + offset)
          .isInstanceOf(LogCorruptException.class);
    }
  }

  @Test
  void missingSnapshotStopsTheReplica() throws Exception {
    try (TestCluster cluster = new TestCluster(1, 1)) {
      TestCluster.Replica replica = cluster.awaitLeader();
      for (int i = 0; i < 1_000; i++) {
        replica.log.propose(new byte[100]).get(30, TimeUnit.SECONDS);
      }
      // Snapshot and compaction run asynchronously; until then the log itself is complete.
      cluster.await("the compaction", () -> !replica.disk.list().contains(SEGMENT));
      replica.kill();
      for (String name : replica.disk.list()) {
        if (name.startsWith("snapshot")) {
          replica.disk.delete(name);
        }
      }
      assertThatThrownBy(replica::start).isInstanceOf(LogCorruptException.class);
    }
  }

  @Test
  void repeatedAndReorderedChunksGiveTheSameSnapshot() throws Exception {
    MemoryDisk source = new MemoryDisk();
    SnapshotMeta meta = new SnapshotMeta(5, 2, List.of());
    writeSnapshot(source, meta, new byte[300]);
    byte[] file;
    try (InputStream in = source.read(source.list().get(0))) {
      file = in.readAllBytes();
    }
    byte[] first = Arrays.copyOfRange(file, 0, 100);
    byte[] rest = Arrays.copyOfRange(file, 100, file.length);
    SnapshotStore target = new SnapshotStore(new MemoryDisk());
    assertThat(target.receive(5, 100, rest)).isZero();
    assertThat(target.receive(5, 0, first)).isEqualTo(100);
    assertThat(target.receive(5, 0, first)).isEqualTo(100);
    assertThat(target.receive(5, 100, rest)).isEqualTo(file.length);
    assertThat(target.receive(5, 100, rest)).isEqualTo(file.length);
    assertThat(target.finishReceiving()).isEqualTo(meta);
  }

  /** Writes and syncs three entries in the first batch and two in each further batch. */
  private static int writeBatches(MemoryDisk disk, int batches, boolean mark) throws IOException {
    LogStore store = open(disk).store();
    int index = 0;
    int beforeLast = 0;
    for (int batch = 0; batch < batches; batch++) {
      beforeLast = (int) store.syncedSize();
      for (int i = 0; i < (batch == 0 ? 3 : 2); i++) {
        index++;
        store.add(entry(index, 1, 20));
      }
      store.write();
      store.sync();
    }
    if (mark) {
      store.close();
    }
    return beforeLast;
  }

  private static void writeSnapshot(MemoryDisk disk, SnapshotMeta meta, byte[] state)
      throws IOException {
    SnapshotStore store = new SnapshotStore(disk);
    store.finish(store.write(meta, out -> out.write(state)), meta);
  }

  private static LogStore.OpenedStore open(MemoryDisk disk) throws IOException {
    return LogStore.open(disk, SEGMENT_BYTES);
  }

  private static MemoryDisk copy(MemoryDisk disk) throws IOException {
    MemoryDisk copy = new MemoryDisk();
    for (String name : disk.list()) {
      try (InputStream in = disk.read(name);
          Disk.DiskFile file = copy.write(name)) {
        file.write(0, ByteBuffer.wrap(in.readAllBytes()));
      }
    }
    return copy;
  }

  private static LogEntry entry(long index, long term, int size) {
    // Not zero, since overwriting the payload with zeros would otherwise change nothing.
    byte[] payload = new byte[size];
    Arrays.fill(payload, (byte) 7);
    return new LogEntry(index, term, EntryKind.COMMAND, ByteBuffer.wrap(payload));
  }
}
