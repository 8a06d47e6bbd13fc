package org.comfreygap.consensus;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.comfreygap.protocol.generated.AppendRequest;
import org.comfreygap.protocol.generated.LogEntry;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.SnapshotChunk;
import org.comfreygap.protocol.generated.SnapshotReply;
import org.comfreygap.protocol.generated.TimeoutNow;
import org.comfreygap.protocol.generated.VoteRequest;
import org.comfreygap.runtime.ClockReading;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.SuspensionDetector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A replica of the log: connects {@link RaftCore} to disk, network and threads.
 *
 * <pre>{@code
 * try (RaftLog log = RaftLog.open(options)) {
 *   byte[] result = log.propose(command).get().result();
 * }
 * }</pre>
 *
 * <p>Invariant: the core thread never waits for another worker thread, so the workers cannot
 * deadlock. Futures complete on threads of the replica; their dependent stages must not block.
 * Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
public final class RaftLog implements ReplicatedLog {

  private static final Logger LOG = LoggerFactory.getLogger(RaftLog.class);

  private static final int CORE_RING_SIZE = 4_096;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(15);
  // More queued batches would not be written sooner; later requests join the next batch.
  private static final long MAX_PENDING_DISK_BATCHES = 2;
  private static final int MAX_COMMAND_BYTES = 4 * 1024 * 1024;
  private static final long MAX_UNAPPLIED_ENTRIES = 10_000;
  private static final int MAX_APPLY_ENTRIES = 1_024;
  private static final int MAX_APPLY_BYTES = 4 * 1024 * 1024;
  private static final Duration TRANSFER_TIMEOUT = Duration.ofMillis(1_500);

  private final RaftOptions options;
  private final EventLog events;
  private final Disk disk;
  private final Transport transport;
  private final SnapshotStore snapshots;
  private final RaftCore core;
  private final MembershipChanges changes;
  private final RingWorker<PeerChannels.CoreTask> ring;
  private final StorageWorker storage;
  private final ApplyWorker apply;
  private final Map<String, PeerChannels> channels = new HashMap<>();
  private final Set<CompletableFuture<?>> pendingFutures = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean closed = new AtomicBoolean();

  // After a suspension an earlier lease is invalid: a new leader may have been elected meanwhile.
  private final SuspensionDetector suspension = new SuspensionDetector();

  private volatile View view;
  private Optional<SnapshotMeta> installing = Optional.empty();
  private long applySubmittedIndex;
  private long submittedSequence;
  private long persistedSequence;
  private long diskBusySince;

  private RaftLog(RaftOptions options, Disk disk) throws IOException {
    this.options = options;
    this.events = options.events();
    this.disk = disk;
    this.transport = options.transport();
    this.snapshots = new SnapshotStore(disk);
    SnapshotMeta snapshot = snapshots.open();
    LogStore.OpenedStore opened = openStore();
    LogStore.Contents contents = opened.contents();
    if (contents.baseIndex() > snapshot.index()) {
      throw new LogCorruptException(
          "the log begins after entry "
              + contents.baseIndex()
              + " but the snapshot ends at entry "
              + snapshot.index()
              + ", expected no gap; replace this replica under a new id");
    }
    CoreLog log =
        new CoreLog(snapshot, contents.baseIndex(), contents.baseTerm(), contents.entries());
    if (log.entriesDiscarded()) {
      // Written with the next batch; until then the snapshot tells again that entries are obsolete.
      opened.store().reset(snapshot.index(), snapshot.term());
    }
    snapshots.load(options.stateMachine()::readSnapshot);
    this.applySubmittedIndex = snapshot.index();
    boolean established = contents.lastIndex() > 0 || snapshot.index() > 0;
    this.core =
        new RaftCore(
            options.replicaId(),
            options.timing(),
            options.initialMembers(),
            log,
            contents.hardState(),
            established,
            new OutputDispatcher(),
            new Random(options.seed()),
            now());
    this.changes = new MembershipChanges(core, options.replicaId());
    this.view = View.of(core, now());
    String name = "raft-" + options.replicaId();
    Consumer<Exception> failure = this::fail;
    this.ring =
        new RingWorker<>(name, CORE_RING_SIZE, TICK_INTERVAL, new CoreTaskHandler(), failure);
    this.storage =
        new StorageWorker(
            name + "-disk", opened.store(), snapshots, events, this::onPersisted, failure);
    this.apply =
        new ApplyWorker(
            name + "-apply", options, snapshots, snapshot, this::onSnapshotTaken, failure);
  }

  /**
   * Opens a replica, which participates in the cluster until it is closed.
   *
   * @throws LogCorruptException when synced data is damaged; the message says how to recover
   * @throws IOException when the folder or the address cannot be used
   */
  public static RaftLog open(RaftOptions options) throws IOException {
    Disk disk = options.disk();
    try {
      RaftLog log = new RaftLog(options, disk);
      log.ring.start();
      log.serve();
      log.events.record(
          ConsensusEvent.REPLICA_OPENED,
          Field.of("replica", options.replicaId()),
          Field.of("lastIndex", log.core.log().lastIndex()));
      return log;
    } catch (IOException e) {
      disk.close();
      throw e;
    }
  }

  @Override
  public CompletableFuture<AppliedCommand> propose(byte[] command) {
    if (command.length > MAX_COMMAND_BYTES) {
      return CompletableFuture.failedFuture(
          new IllegalArgumentException(
              "command has " + command.length + " bytes, expected at most " + MAX_COMMAND_BYTES));
    }
    return submitRequest((raft, now, future) -> onPropose(raft, now, command, future));
  }

  @Override
  public Optional<LeaderLease> lease(long nowNanos) {
    View current = view;
    boolean valid =
        !ring.stopped()
            && current.leaseEnd.isPresent()
            && nowNanos - current.leaseEnd.getAsLong() < 0
            && suspension.isTrusted(
                current.leaseEnd.getAsLong() - options.timing().lease().toNanos(), clockReading())
            && apply.appliedIndex() >= current.termStartIndex;
    return valid
        ? Optional.of(new LeaderLease(current.term, current.leaseEnd.getAsLong()))
        : Optional.empty();
  }

  @Override
  public Role role() {
    return view.role;
  }

  @Override
  public long term() {
    return view.term;
  }

  @Override
  public long appliedIndex() {
    return apply.appliedIndex();
  }

  @Override
  public Optional<ReplicaMember> leader() {
    return view.leader;
  }

  @Override
  public List<ReplicaMember> members() {
    return view.members;
  }

  @Override
  public CompletableFuture<Map<String, Long>> contacts() {
    return submitRequest((raft, now, future) -> future.complete(raft.contacts()));
  }

  @Override
  public CompletableFuture<Void> addMember(ReplicaMember member) {
    return submitRequest((raft, now, future) -> changes.add(member, future));
  }

  @Override
  public CompletableFuture<Void> removeMember(String replicaId) {
    return submitRequest((raft, now, future) -> changes.remove(replicaId, future));
  }

  @Override
  public CompletableFuture<Void> transferLeadership() {
    long timeout = TRANSFER_TIMEOUT.toNanos();
    return submitRequest((raft, now, future) -> changes.transfer(now, now + timeout, future));
  }

  /** Stops; a leader first attempts a leadership transfer for at most 1.5 s. */
  @Override
  public void close() {
    if (closed.get()) {
      return;
    }
    if (view.role == Role.LEADER
        && view.members.stream().filter(ReplicaMember::isVoter).count() > 1) {
      transferBeforeClose();
    }
    stop(true);
  }

  /** Stops immediately, like a crash: no leadership transfer and no sync mark in the log. */
  void kill() {
    stop(false);
  }

  private void serve() throws IOException {
    try {
      transport.serve(new ReplicationServiceHandler(this::submit));
    } catch (IOException e) {
      kill();
      throw e;
    }
  }

  private void transferBeforeClose() {
    try {
      transferLeadership().get(TRANSFER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.debug("leadership transfer failed; the other replicas will elect a leader", e);
    }
  }

  private void stop(boolean clean) {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    try {
      transport.close();
    } catch (IOException e) {
      events.record(ConsensusEvent.REPLICA_CLOSED, Field.of("error", e.getMessage()));
    }
    ring.close();
    channels.values().forEach(PeerChannels::close);
    if (clean) {
      storage.close();
    } else {
      storage.abandon();
    }
    apply.close();
    failPendingFutures();
    try {
      disk.close();
    } catch (IOException e) {
      events.record(ConsensusEvent.REPLICA_CLOSED, Field.of("error", e.getMessage()));
    }
    events.record(ConsensusEvent.REPLICA_CLOSED, Field.of("replica", options.replicaId()));
  }

  /** Stops the replica after a failure; called on the worker thread that failed. */
  private void fail(Exception failure) {
    ConsensusEvent event =
        failure instanceof SyncFailedException
            ? ConsensusEvent.SYNC_FAILED
            : ConsensusEvent.REPLICA_FAILED;
    events.record(event, Field.of("error", failure));
    ring.stop();
    failPendingFutures();
    options.failureHandler().accept(failure);
  }

  private LogStore.OpenedStore openStore() throws IOException {
    try {
      LogStore.OpenedStore opened = LogStore.open(disk, options.segmentBytes());
      if (!opened.contents().tornSegment().isEmpty()) {
        events.record(
            ConsensusEvent.TORN_TAIL_CUT,
            Field.of("segment", opened.contents().tornSegment()),
            Field.of("bytes", opened.contents().tornBytes()));
      }
      return opened;
    } catch (LogCorruptException e) {
      events.record(ConsensusEvent.LOG_CORRUPT, Field.of("error", e.getMessage()));
      throw e;
    }
  }

  private boolean submit(PeerChannels.CoreTask task) {
    return ring.publish(task);
  }

  private ClockReading clockReading() {
    return ClockReading.of(options.nanoClock(), options.wallClock());
  }

  private long now() {
    return options.nanoClock().getAsLong();
  }

  private void onPropose(
      RaftCore raft, long now, byte[] command, CompletableFuture<AppliedCommand> future) {
    boolean applyIsBehind = raft.commitIndex() - applySubmittedIndex > MAX_UNAPPLIED_ENTRIES;
    OptionalLong index = applyIsBehind ? OptionalLong.empty() : raft.propose(now, command);
    if (index.isPresent()) {
      apply.registerProposal(index.getAsLong(), new ApplyWorker.Proposal(raft.term(), future));
    } else {
      String text = "command rejected: this " + raft.role() + " does not accept commands now";
      future.completeExceptionally(new NotLeaderException(text));
    }
  }

  private <T> CompletableFuture<T> submitRequest(CoreRequest<T> request) {
    CompletableFuture<T> future = new CompletableFuture<>();
    pendingFutures.add(future);
    future.whenComplete((value, failure) -> pendingFutures.remove(future));
    if (!submit((raft, now) -> request.run(raft, now, future))) {
      future.completeExceptionally(new NotLeaderException("the replica is closed"));
    } else if (ring.stopped()) {
      failPendingFutures();
    }
    return future;
  }

  private void failPendingFutures() {
    OutcomeUnknownException failure = new OutcomeUnknownException("the replica has stopped");
    pendingFutures.forEach(future -> future.completeExceptionally(failure));
  }

  private void onPersisted(long sequence) {
    submit(
        (raft, now) -> {
          persistedSequence = sequence;
          diskBusySince = now;
          raft.onPersisted(now, sequence);
        });
  }

  private void onSnapshotTaken(SnapshotMeta meta) {
    submit(
        (raft, now) -> {
          raft.onSnapshotTaken(meta, options.trailingEntries());
          storage.compact(raft.log().baseIndex());
        });
  }

  private void afterBatch(long now) {
    suspension.observe(clockReading());
    checkDiskStall(now);
    core.tick(now);
    changes.advance(now);
    core.replicate(now);
    if (submittedSequence - persistedSequence < MAX_PENDING_DISK_BATCHES) {
      core.takePersistRequest().ifPresent(persist -> write(now, persist));
    }
    submitCommitted();
    publishView(now);
    core.releaseMessages();
    closeUnusedChannels();
  }

  private void write(long now, PersistRequest persist) {
    if (submittedSequence == persistedSequence) {
      diskBusySince = now;
    }
    submittedSequence = persist.sequence();
    if (!storage.submit(persist)) {
      throw new IllegalStateException(
          "the storage queue is full, expected at most "
              + MAX_PENDING_DISK_BATCHES
              + " pending batches");
    }
  }

  private void checkDiskStall(long now) {
    boolean busy = submittedSequence != persistedSequence;
    if (busy && now - diskBusySince > options.timing().diskStall().toNanos()) {
      core.onDiskStalled(now);
    }
  }

  private void submitCommitted() {
    if (installing.isPresent() && apply.install(installing.get())) {
      applySubmittedIndex = installing.get().index();
      installing = Optional.empty();
    }
    while (installing.isEmpty() && applySubmittedIndex < core.commitIndex()) {
      List<LogEntry> committed =
          core.log()
              .slice(
                  applySubmittedIndex + 1, core.commitIndex(), MAX_APPLY_ENTRIES, MAX_APPLY_BYTES);
      if (!apply.submit(committed)) {
        return;
      }
      applySubmittedIndex += committed.size();
    }
  }

  private void publishView(long now) {
    View before = view;
    View after = View.of(core, now);
    view = after;
    if (after.role != Role.LEADER || after.term != before.term) {
      apply.failLostProposals(core.commitIndex(), after.role == Role.LEADER ? after.term : 0);
    }
    if (before.role != after.role
        || before.term != after.term
        || !before.leader.equals(after.leader)) {
      events.record(
          ConsensusEvent.ROLE_CHANGED,
          Field.of("replica", options.replicaId()),
          Field.of("role", after.role),
          Field.of("term", after.term),
          Field.of("leader", after.leader.map(ReplicaMember::getReplicaId).orElse("")));
    }
  }

  private PeerChannels channelsTo(ReplicaMember member) {
    PeerChannels existing = channels.get(member.getReplicaId());
    if (existing != null && existing.peer().getAddress().equals(member.getAddress())) {
      return existing;
    }
    if (existing != null) {
      existing.close();
    }
    PeerChannels opened =
        new PeerChannels(
            options.replicaId(), member, transport, snapshots, this::submit, this::fail);
    channels.put(member.getReplicaId(), opened);
    return opened;
  }

  private void closeUnusedChannels() {
    List<ReplicaMember> members = core.log().members();
    if (!core.established() || channels.size() < members.size()) {
      return;
    }
    channels
        .values()
        .removeIf(
            channel -> {
              boolean unused = Memberships.find(members, channel.peer().getReplicaId()).isEmpty();
              if (unused) {
                channel.close();
              }
              return unused;
            });
  }

  @FunctionalInterface
  private interface CoreRequest<T> {

    void run(RaftCore raft, long now, CompletableFuture<T> future);
  }

  /** Immutable copy of the core state for other threads. */
  private record View(
      Role role,
      long term,
      Optional<ReplicaMember> leader,
      List<ReplicaMember> members,
      OptionalLong leaseEnd,
      long termStartIndex) {

    static View of(RaftCore core, long now) {
      return new View(
          core.role(),
          core.term(),
          core.leader(),
          core.log().members(),
          core.leaseEnd(now),
          core.termStartIndex());
    }
  }

  private final class CoreTaskHandler implements RingWorker.Handler<PeerChannels.CoreTask> {

    @Override
    public void handle(PeerChannels.CoreTask task, boolean endOfBatch) {
      task.run(core, now());
      if (endOfBatch) {
        afterBatch(now());
      }
    }

    @Override
    public void onIdle() {
      afterBatch(now());
    }
  }

  private final class OutputDispatcher implements CoreOutput {

    @Override
    public void sendVoteRequest(ReplicaMember to, VoteRequest request) {
      channelsTo(to).sendVoteRequest(request);
    }

    @Override
    public void sendAppend(ReplicaMember to, AppendRequest request) {
      if (!channelsTo(to).sendAppend(request)) {
        core.onSendFailed(now(), to.getReplicaId(), request);
      }
    }

    @Override
    public void sendSnapshot(ReplicaMember to, SnapshotMeta meta, long term, long round) {
      if (!channelsTo(to).sendSnapshot(meta, options.replicaId(), term, round)) {
        core.onSnapshotSent(now(), to.getReplicaId(), term, 0, false, meta.index());
      }
    }

    @Override
    public void sendTimeoutNow(ReplicaMember to, TimeoutNow request) {
      channelsTo(to).sendTimeoutNow(request);
    }

    @Override
    public void storeChunk(SnapshotChunk chunk, Consumer<SnapshotReply> replyTo) {
      storage.submit(
          chunk,
          (next, complete) ->
              submit((raft, now) -> raft.onChunkStored(chunk, next, complete, replyTo)));
    }

    @Override
    public void installSnapshot(SnapshotMeta meta) {
      installing = Optional.of(meta);
      applySubmittedIndex = meta.index();
    }

    @Override
    public void recordEvent(ConsensusEvent event, String detail) {
      events.record(event, Field.of("replica", options.replicaId()), Field.of("detail", detail));
    }
  }
}
