package org.comfreygap.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.comfreygap.protocol.generated.EntryKind;
import org.comfreygap.protocol.generated.LogEntry;
import org.comfreygap.protocol.generated.SnapshotChunk;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.Timeline;
import org.junit.jupiter.api.Test;

/** Tests the log and the snapshots of one replica on a disk without room. */
class FullDiskStorageTest {

  private static final int SEGMENT_BYTES = 2_048;
  private static final SnapshotMeta META = new SnapshotMeta(5, 2, List.of());

  /** Guards against a log that waits for room that only its own compaction would free. */
  @Test
  void compactionFreesRoomForAWriteThatTheDiskRefuses() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    LogStore store = filledStore(disk, 30);
    disk.capacity(used(disk));
    try (Worker worker = new Worker(disk, store)) {
      worker.storage.submit(persist(1, 31, 3_000));
      await(() -> worker.recorded(ConsensusEvent.WRITE_REFUSED));
      worker.storage.compact(25);
      await(() -> worker.persisted.get() == 1);
      assertThat(worker.failure.get()).isNull();
    }
  }

  /** Guards against a replica that ends, or never compacts again, after a refused deletion. */
  @Test
  void refusedDeletionIsRetried() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    LogStore store = filledStore(disk, 30);
    int before = disk.list().size();
    try (Worker worker = new Worker(disk, store)) {
      disk.deletesFail(true);
      worker.storage.compact(25);
      worker.storage.submit(persist(1, 31, 10));
      await(() -> worker.persisted.get() == 1);
      disk.deletesFail(false);
      worker.storage.submit(persist(2, 32, 10));
      await(() -> worker.persisted.get() == 2);
      await(() -> disk.list().size() < before);
      assertThat(worker.failure.get()).isNull();
    }
  }

  /** Guards against a replica that ends because snapshot chunks fill the queue to its full disk. */
  @Test
  void snapshotChunksLeaveRoomForTheLog() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    LogStore store = filledStore(disk, 1);
    disk.full(true);
    try (Worker worker = new Worker(disk, store)) {
      worker.storage.submit(persist(1, 2, 10));
      await(() -> worker.recorded(ConsensusEvent.WRITE_REFUSED));
      SnapshotChunk chunk = new SnapshotChunk().setLastIndex(5).setBytes(new byte[100]);
      for (int i = 0; i < 300; i++) {
        worker.storage.submit(chunk, (next, complete) -> {});
      }
      assertThat(worker.storage.submit(persist(2, 3, 10))).isTrue();
      disk.full(false);
      await(() -> worker.persisted.get() == 2);
    }
  }

  /** Guards against a log that accepts nothing on a disk with room for records but no segment. */
  @Test
  void newSegmentNeedsNoMoreRoomThanItsRecords() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    disk.capacity(SEGMENT_BYTES / 2);
    LogStore store = open(disk).store();
    store.add(entry(1, 10));
    store.write();
    store.sync();
    store.add(entry(2, 10));
    store.write();
    store.sync();
    disk.crash(new Random(1));
    assertThat(open(disk).contents().entries()).hasSize(2);
  }

  /** Guards against a replica that ends again and again while its disk is full. */
  @Test
  void replicaOpensOnAFullDiskAfterATornWrite() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    LogStore written = filledStore(disk, 2);
    int end = (int) written.syncedSize();
    disk.damage(disk.list().get(0), end - 1);
    disk.full(true);
    LogStore.OpenedStore opened = open(disk);
    assertThat(opened.contents().entries()).hasSize(1);
    opened.store().add(entry(2, 300));
    assertThatThrownBy(opened.store()::write).isInstanceOf(IOException.class);
    disk.full(false);
    opened.store().write();
    opened.store().sync();
    disk.crash(new Random(1));
    assertThat(open(disk).contents().entries()).hasSize(2);
  }

  /** Guards against records of a torn batch that reappear behind the record that replaces it. */
  @Test
  void tornRecordsDoNotReappearWhenTheyAreClearedLate() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    LogStore written = open(disk).store();
    long begin = 0;
    for (int batch = 0; batch < 2; batch++) {
      written.add(entry(2 * batch + 1, 20));
      written.add(entry(2 * batch + 2, 20));
      written.write();
      begin = written.syncedSize();
      written.sync();
    }
    disk.damage(disk.list().get(0), (int) begin + LogRecord.HEADER_BYTES);
    disk.full(true);
    LogStore store = open(disk).store();
    disk.full(false);
    store.add(entry(3, 20));
    store.write();
    store.sync();
    assertThat(open(disk).contents().entries()).hasSize(3);
  }

  /** Guards against the file of a failed snapshot that keeps the disk full. */
  @Test
  void failedSnapshotLeavesNoFile() {
    MemoryDisk disk = new MemoryDisk();
    SnapshotStore snapshots = new SnapshotStore(disk);
    disk.capacity(500);
    assertThatThrownBy(() -> snapshots.write(META, out -> out.write(new byte[1_000])))
        .isInstanceOf(IOException.class);
    assertThat(disk.list()).isEmpty();
  }

  /** Guards against the file of a failed snapshot transfer that keeps the disk full. */
  @Test
  void failedSnapshotTransferLeavesNoFile() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    SnapshotStore snapshots = new SnapshotStore(disk);
    disk.capacity(500);
    assertThat(snapshots.receive(5, 0, new byte[400])).isEqualTo(400);
    assertThatThrownBy(() -> snapshots.receive(5, 400, new byte[400]))
        .isInstanceOf(IOException.class);
    assertThat(disk.list()).isEmpty();
    disk.capacity(Long.MAX_VALUE);
    assertThat(snapshots.receive(5, 400, new byte[400])).isZero();
  }

  /** Guards against a published snapshot that the replica does not know of. */
  @Test
  void snapshotCountsAlthoughAnOlderOneCannotBeDeleted() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    SnapshotStore snapshots = new SnapshotStore(disk);
    snapshots.finish(snapshots.write(META, out -> out.write(1)), META);
    disk.deletesFail(true);
    SnapshotMeta newer = new SnapshotMeta(9, 2, List.of());
    snapshots.finish(snapshots.write(newer, out -> out.write(2)), newer);
    assertThat(snapshots.openNewest(9)).isPresent();
    disk.deletesFail(false);
    SnapshotMeta newest = new SnapshotMeta(12, 2, List.of());
    snapshots.finish(snapshots.write(newest, out -> out.write(3)), newest);
    assertThat(disk.list()).hasSize(1);
  }

  /**
   * Guards against a replica that loses, with the next power loss, what it read after a kill
   * between a write and its sync, and has acknowledged since.
   */
  @Test
  void recordsReadAtTheStartSurviveAPowerLoss() throws Exception {
    for (int seed = 0; seed < 20; seed++) {
      MemoryDisk disk = new MemoryDisk();
      LogStore killed = filledStore(disk, 1);
      killed.add(entry(2, 300));
      killed.write();
      assertThat(open(disk).contents().entries()).hasSize(2);
      disk.crash(new Random(seed));
      assertThat(open(disk).contents().entries()).as("entries with seed " + seed).hasSize(2);
    }
  }

  /** Guards against a log that cannot be opened after its older segments are compacted. */
  @Test
  void opensAfterEntriesWereReplacedAcrossSegments() throws Exception {
    MemoryDisk disk = new MemoryDisk();
    LogStore store = filledStore(disk, 8);
    for (int i = 5; i <= 30; i++) {
      store.add(entry(i, 300).setTerm(2));
      store.write();
      store.sync();
    }
    store.compact(9);
    LogStore.Contents contents = open(disk).contents();
    assertThat(contents.lastIndex()).isEqualTo(30);
    assertThat(contents.baseIndex()).isLessThan(9);
    assertThat(contents.entries()).allMatch(entry -> entry.getTerm() == 2);
  }

  private static LogStore filledStore(MemoryDisk disk, int entries) throws IOException {
    LogStore store = open(disk).store();
    for (int i = 1; i <= entries; i++) {
      store.add(entry(i, 300));
      store.write();
      store.sync();
    }
    return store;
  }

  private static LogStore.OpenedStore open(MemoryDisk disk) throws IOException {
    return LogStore.open(disk, SEGMENT_BYTES);
  }

  private static PersistRequest persist(long sequence, long index, int size) {
    return new PersistRequest(
        sequence, Optional.empty(), Optional.empty(), List.of(entry(index, size)));
  }

  private static LogEntry entry(long index, int size) {
    byte[] payload = new byte[size];
    Arrays.fill(payload, (byte) 7);
    return new LogEntry(index, 1, EntryKind.COMMAND, ByteBuffer.wrap(payload));
  }

  private static long used(MemoryDisk disk) {
    return disk.list().stream().mapToLong(disk::size).sum();
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime() - end).as("nanoseconds past the deadline").isNegative();
      TestCluster.sleep(5);
    }
  }

  /** A storage worker with what it reports. */
  private static final class Worker implements AutoCloseable {

    private final Timeline timeline = new Timeline(1_000);
    private final EventLog events =
        new EventLog("test", new HybridClock(System::currentTimeMillis), timeline);
    private final AtomicLong persisted = new AtomicLong();
    private final AtomicReference<Exception> failure = new AtomicReference<>();
    private final StorageWorker storage;

    Worker(MemoryDisk disk, LogStore store) {
      storage =
          new StorageWorker(
              "disk", store, new SnapshotStore(disk), events, persisted::set, failure::set);
    }

    boolean recorded(ConsensusEvent event) {
      return timeline.eventsSince(0, Optional.empty(), Optional.empty()).stream()
          .anyMatch(entry -> entry.number() == event.number());
    }

    @Override
    public void close() {
      storage.abandon();
      events.close();
    }
  }
}
