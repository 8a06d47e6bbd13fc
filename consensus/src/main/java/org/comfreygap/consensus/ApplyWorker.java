package org.comfreygap.consensus;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.comfreygap.consensus.ReplicatedLog.AppliedCommand;
import org.comfreygap.protocol.generated.EntryKind;
import org.comfreygap.protocol.generated.LogEntry;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Applies committed entries to the state machine, completes their proposals and writes snapshots.
 *
 * <p>Invariants: only this worker's thread calls the state machine; a snapshot that failed is
 * written again even if no further entry is applied, since a full log accepts none. Thread safety:
 * any thread may submit.
 */
final class ApplyWorker implements AutoCloseable {

  private static final int RING_SIZE = 64;
  private static final long SNAPSHOT_INTERVAL_BYTES = 8 * 1024 * 1024;
  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(250);
  private static final Duration SNAPSHOT_RETRY_DELAY = Duration.ofSeconds(1);

  private final RaftOptions options;
  private final SnapshotStore snapshots;
  private final EventLog events;
  private final Consumer<SnapshotMeta> onSnapshotTaken;
  private final Map<Long, Proposal> proposals = new ConcurrentHashMap<>();
  private final RingWorker<Work> ring;
  private final RingWorker<Work> snapshotRing;
  private final AtomicBoolean snapshotInProgress = new AtomicBoolean();
  private List<ReplicaMember> members;
  private long nextSnapshotIndex;
  private long bytesSinceSnapshot;
  private long appliedTerm;
  private volatile OptionalLong snapshotRetryNanos = OptionalLong.empty();
  private volatile long appliedIndex;

  ApplyWorker(
      String name,
      RaftOptions options,
      SnapshotStore snapshots,
      SnapshotMeta loaded,
      Consumer<SnapshotMeta> snapshotTaken,
      Consumer<Exception> failureHandler) {
    this.options = options;
    this.snapshots = snapshots;
    this.events = options.events();
    this.onSnapshotTaken = snapshotTaken;
    this.members = loaded.members();
    this.appliedIndex = loaded.index();
    this.appliedTerm = loaded.term();
    this.nextSnapshotIndex = appliedIndex + options.snapshotEntries();
    this.ring =
        new RingWorker<>(name, RING_SIZE, IDLE_TIMEOUT, new ApplyHandler(), failureHandler).start();
    this.snapshotRing =
        new RingWorker<Work>(
                name + "-snapshot",
                2,
                IDLE_TIMEOUT,
                (work, endOfBatch) -> work.run(),
                failureHandler)
            .start();
  }

  /** A proposed command with the future of its caller. Thread safety: immutable. */
  record Proposal(long term, CompletableFuture<AppliedCommand> future) {}

  /** A task of the apply thread or the snapshot thread. */
  @FunctionalInterface
  private interface Work {

    void run() throws IOException;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  /** Registers a proposal before its entry can be committed. */
  void registerProposal(long index, Proposal proposal) {
    proposals.put(index, proposal);
  }

  /** Submits committed entries; false when the queue is full. */
  boolean submit(List<LogEntry> committed) {
    return ring.tryPublish(() -> apply(committed));
  }

  /** Submits the newest snapshot for installation; false when the queue is full. */
  boolean install(SnapshotMeta meta) {
    return ring.tryPublish(() -> installSnapshot(meta));
  }

  /**
   * Fails the proposals after {@code commitIndex}, whose outcome is unknown at this replica.
   *
   * @param leadingTerm term that this replica leads, whose proposals stay pending, or 0
   */
  void failLostProposals(long commitIndex, long leadingTerm) {
    for (Map.Entry<Long, Proposal> entry : proposals.entrySet()) {
      Proposal proposal = entry.getValue();
      boolean lost = entry.getKey() > commitIndex && proposal.term() != leadingTerm;
      if (lost && proposals.remove(entry.getKey(), proposal)) {
        fail(proposal);
      }
    }
  }

  @Override
  public void close() {
    ring.close();
    snapshotRing.close();
    failLostProposals(0, 0);
  }

  private void apply(List<LogEntry> committed) throws IOException {
    for (LogEntry entry : committed) {
      if (entry.getIndex() <= appliedIndex) {
        continue;
      }
      byte[] result = null;
      if (entry.getKind() == EntryKind.COMMAND) {
        result = options.stateMachine().apply(entry.getIndex(), LogRecord.payload(entry));
      } else if (entry.getKind() == EntryKind.MEMBERSHIP) {
        members = Memberships.decode(LogRecord.payload(entry));
      }
      bytesSinceSnapshot += entry.bufferForPayload().remaining();
      appliedTerm = entry.getTerm();
      appliedIndex = entry.getIndex();
      completeProposal(entry, result);
    }
    takeSnapshotIfDue(now());
  }

  private void completeProposal(LogEntry entry, byte[] result) {
    Proposal proposal = proposals.remove(entry.getIndex());
    if (proposal == null) {
      return;
    }
    if (proposal.term() == entry.getTerm()) {
      proposal.future().complete(new AppliedCommand(entry.getIndex(), result));
    } else {
      fail(proposal);
    }
  }

  private void takeSnapshotIfDue(long now) throws IOException {
    OptionalLong retry = snapshotRetryNanos;
    boolean due =
        appliedIndex >= nextSnapshotIndex
            || bytesSinceSnapshot >= SNAPSHOT_INTERVAL_BYTES
            || (retry.isPresent() && now - retry.getAsLong() >= 0);
    if (due && snapshotInProgress.compareAndSet(false, true)) {
      snapshotRetryNanos = OptionalLong.empty();
      bytesSinceSnapshot = 0;
      nextSnapshotIndex = appliedIndex + options.snapshotEntries();
      takeSnapshot(new SnapshotMeta(appliedIndex, appliedTerm, members));
    }
  }

  /** Writes the state on this thread; another thread syncs it, so that applying continues. */
  private void takeSnapshot(SnapshotMeta meta) throws IOException {
    try {
      Disk.DiskFile file = snapshots.write(meta, options.stateMachine()::writeSnapshot);
      if (!snapshotRing.tryPublish(() -> finishSnapshot(file, meta))) {
        file.close();
        throw new IOException("the snapshot queue is full");
      }
    } catch (IOException e) {
      snapshotFailed(e);
    }
  }

  private void finishSnapshot(Disk.DiskFile file, SnapshotMeta meta) throws IOException {
    try {
      snapshots.finish(file, meta);
      events.record(ConsensusEvent.SNAPSHOT_WRITTEN, Field.of("index", meta.index()));
      onSnapshotTaken.accept(meta);
      snapshotInProgress.set(false);
    } catch (IOException e) {
      snapshotFailed(e);
    }
  }

  private void snapshotFailed(IOException failure) throws IOException {
    if (failure instanceof SyncFailedException) {
      throw failure;
    }
    events.record(ConsensusEvent.SNAPSHOT_FAILED, Field.of("error", failure.getMessage()));
    snapshotRetryNanos = OptionalLong.of(now() + SNAPSHOT_RETRY_DELAY.toNanos());
    snapshotInProgress.set(false);
  }

  private void installSnapshot(SnapshotMeta meta) throws IOException {
    if (meta.index() <= appliedIndex) {
      return;
    }
    // A snapshot newer than meta may have been received since meta was submitted.
    SnapshotMeta loaded = snapshots.load(options.stateMachine()::readSnapshot);
    members = loaded.members();
    appliedTerm = loaded.term();
    appliedIndex = loaded.index();
    nextSnapshotIndex = appliedIndex + options.snapshotEntries();
    snapshotRetryNanos = OptionalLong.empty();
    events.record(ConsensusEvent.SNAPSHOT_INSTALLED, Field.of("index", appliedIndex));
    failLostProposals(0, 0);
  }

  private long now() {
    return options.nanoClock().getAsLong();
  }

  private static void fail(Proposal proposal) {
    proposal
        .future()
        .completeExceptionally(
            new OutcomeUnknownException(
                "leadership of term "
                    + proposal.term()
                    + " ended before the outcome of the command was known"));
  }

  private final class ApplyHandler implements RingWorker.Handler<Work> {

    @Override
    public void handle(Work work, boolean endOfBatch) throws Exception {
      work.run();
    }

    @Override
    public void onIdle() throws Exception {
      takeSnapshotIfDue(now());
    }
  }
}
