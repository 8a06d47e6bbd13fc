package org.comfreygap.consensus;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.comfreygap.protocol.generated.SnapshotChunk;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Writes and syncs the persist requests of the core; all queued requests share one sync.
 *
 * <p>Invariant: completion is reported only after a sync, and never after a sync has failed. A
 * write that the disk rejects, for example because it is full, is retried until it succeeds;
 * nothing is acknowledged meanwhile. Segments that are no longer needed are deleted also while a
 * write is retried, since they may take the room that it needs. Thread safety: any thread may
 * submit; one thread writes.
 */
final class StorageWorker implements AutoCloseable {

  /** Callback after a snapshot chunk was stored or rejected. */
  @FunctionalInterface
  interface ChunkCallback {

    void accept(long nextOffset, Optional<SnapshotMeta> complete);
  }

  private static final int RING_SIZE = 256;
  // A leader sends one chunk at a time; more are repeats that nobody waits for any longer.
  private static final int MAX_WAITING_CHUNKS = 4;
  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(250);
  private static final long RETRY_DELAY_MILLIS = 50;

  private final LogStore store;
  private final SnapshotStore snapshots;
  private final EventLog events;
  private final LongConsumer onPersisted;
  private final RingWorker<Work> ring;
  private final AtomicInteger waitingChunks = new AtomicInteger();
  private final AtomicLong compactionIndex = new AtomicLong();
  private volatile boolean closed;
  private boolean compactionFailed;
  private long unsyncedSequence;

  StorageWorker(
      String name,
      LogStore store,
      SnapshotStore snapshots,
      EventLog events,
      LongConsumer persisted,
      Consumer<Exception> failureHandler) {
    this.store = store;
    this.snapshots = snapshots;
    this.events = events;
    this.onPersisted = persisted;
    this.ring =
        new RingWorker<>(name, RING_SIZE, IDLE_TIMEOUT, new WorkHandler(), failureHandler).start();
  }

  /** A task of the storage thread. */
  @FunctionalInterface
  private interface Work {

    void run() throws IOException;
  }

  /** Adds a request to the batch; false when the queue is full. */
  boolean submit(PersistRequest persist) {
    return ring.tryPublish(() -> add(persist));
  }

  /** Stores a snapshot chunk; it is dropped while too many wait, and the leader repeats it. */
  void submit(SnapshotChunk chunk, ChunkCallback callback) {
    Work work =
        () -> {
          waitingChunks.decrementAndGet();
          storeChunk(chunk, callback);
        };
    if (waitingChunks.incrementAndGet() > MAX_WAITING_CHUNKS || !ring.tryPublish(work)) {
      waitingChunks.decrementAndGet();
    }
  }

  /** Deletes segments that contain only entries before {@code index}; retried until it succeeds. */
  void compact(long index) {
    compactionIndex.accumulateAndGet(index, Math::max);
    // Wakes an idle thread; a busy one compacts after its batch.
    ring.tryPublish(() -> {});
  }

  /** Stops the thread and closes the log; writes a sync mark unless requests are unsynced. */
  @Override
  public void close() {
    stop();
    try {
      if (unsyncedSequence == 0) {
        store.close();
      } else {
        store.abandon();
      }
    } catch (IOException e) {
      events.record(ConsensusEvent.WRITE_REFUSED, Field.of("error", e.getMessage()));
    }
  }

  /** Stops the thread and closes the file without writing. */
  void abandon() {
    stop();
    try {
      store.abandon();
    } catch (IOException e) {
      events.record(ConsensusEvent.WRITE_REFUSED, Field.of("error", e.getMessage()));
    }
  }

  private void stop() {
    closed = true;
    ring.close();
  }

  private void add(PersistRequest persist) {
    persist.reset().ifPresent(meta -> store.reset(meta.index(), meta.term()));
    persist.hardState().ifPresent(store::add);
    persist.entries().forEach(store::add);
    unsyncedSequence = persist.sequence();
  }

  private void flush() throws IOException {
    if (unsyncedSequence == 0 || !writeUntilAccepted()) {
      return;
    }
    store.sync();
    long sequence = unsyncedSequence;
    unsyncedSequence = 0;
    onPersisted.accept(sequence);
  }

  private boolean writeUntilAccepted() throws IOException {
    boolean refused = false;
    while (!closed) {
      try {
        store.write();
        if (refused) {
          events.record(ConsensusEvent.WRITE_ACCEPTED);
        }
        return true;
      } catch (SyncFailedException e) {
        throw e;
      } catch (IOException e) {
        if (!refused) {
          events.record(ConsensusEvent.WRITE_REFUSED, Field.of("error", e.getMessage()));
        }
        refused = true;
        compactLog();
        pause();
      }
    }
    return false;
  }

  private void compactLog() throws IOException {
    long index = compactionIndex.getAndSet(0);
    if (index == 0) {
      return;
    }
    try {
      store.compact(index);
      compactionFailed = false;
    } catch (SyncFailedException e) {
      throw e;
    } catch (IOException e) {
      compactionIndex.accumulateAndGet(index, Math::max);
      if (!compactionFailed) {
        events.record(ConsensusEvent.COMPACTION_FAILED, Field.of("error", e.getMessage()));
      }
      compactionFailed = true;
    }
  }

  private void storeChunk(SnapshotChunk chunk, ChunkCallback callback) throws IOException {
    long next = 0;
    Optional<SnapshotMeta> complete = Optional.empty();
    try {
      byte[] bytes = chunk.bufferForBytes().array();
      next = snapshots.receive(chunk.getLastIndex(), chunk.getOffset(), bytes);
      if (chunk.isLast() && next == chunk.getOffset() + bytes.length) {
        complete = Optional.of(snapshots.finishReceiving());
      }
    } catch (SyncFailedException e) {
      throw e;
    } catch (IOException e) {
      events.record(ConsensusEvent.WRITE_REFUSED, Field.of("error", e.getMessage()));
      next = 0;
    }
    callback.accept(next, complete);
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private final class WorkHandler implements RingWorker.Handler<Work> {

    @Override
    public void handle(Work work, boolean endOfBatch) throws Exception {
      work.run();
      if (endOfBatch) {
        flush();
        compactLog();
      }
    }

    @Override
    public void onIdle() throws Exception {
      compactLog();
    }
  }
}
