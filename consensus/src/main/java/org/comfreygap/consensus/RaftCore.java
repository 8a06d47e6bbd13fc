package org.comfreygap.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.comfreygap.consensus.ReplicatedLog.Role;
import org.comfreygap.protocol.generated.AppendReply;
import org.comfreygap.protocol.generated.AppendRequest;
import org.comfreygap.protocol.generated.EntryKind;
import org.comfreygap.protocol.generated.LogEntry;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.SnapshotChunk;
import org.comfreygap.protocol.generated.SnapshotReply;
import org.comfreygap.protocol.generated.TimeoutNow;
import org.comfreygap.protocol.generated.VoteReply;
import org.comfreygap.protocol.generated.VoteRequest;

/**
 * The Raft protocol logic of one replica, without I/O, clock or threads; time is passed in.
 *
 * <p>Invariants: at most one vote in each term; no message is sent before the state it depends on
 * is durable; a committed entry is never replaced. A replica with an empty data folder is not
 * established: it accepts entries from a leader but never votes or campaigns, since it may have
 * lost a vote or an acknowledgement with its disk. Thread safety: not thread-safe.
 */
final class RaftCore {

  private static final long MAX_UNCOMMITTED_ENTRIES = 10_000;
  // Reached only when snapshots fail or lag; commands are rejected before memory is exhausted.
  private static final long MAX_LOG_BYTES = 64 * 1024 * 1024;

  private final String self;
  private final RaftTiming timing;
  private final Bootstrap bootstrap;
  private final CoreLog log;
  private final CoreOutput output;
  private final RandomGenerator random;
  private final DurabilityTracker durability;
  private final Set<String> votes = new HashSet<>();

  private Role role = Role.FOLLOWER;
  private long term;
  private String votedFor;
  private String leaderId = "";
  private boolean established;
  private boolean preVoting;
  private boolean transferElection;
  private long commitIndex;
  private long lastContact;
  private long electionDeadline;
  private Leadership leadership;

  /**
   * Creates the core of a starting replica.
   *
   * @param established false when the data folder was empty
   */
  RaftCore(
      String self,
      RaftTiming timing,
      List<ReplicaMember> initialMembers,
      CoreLog log,
      HardState hardState,
      boolean established,
      CoreOutput output,
      RandomGenerator random,
      long now) {
    this.self = self;
    this.timing = timing;
    this.bootstrap = new Bootstrap(self, initialMembers);
    this.log = log;
    this.established = established;
    this.output = output;
    this.random = random;
    this.term = Math.max(hardState.term(), log.lastTerm());
    this.votedFor = term == hardState.term() ? hardState.votedFor() : "";
    this.commitIndex = log.snapshot().index();
    this.durability = new DurabilityTracker(log.lastIndex());
    // A restarted voter may have acknowledged a lease before; it grants no vote until that expires.
    this.lastContact = now;
    resetElectionDeadline(now);
    if (!established || (isVoter() && Memberships.quorum(log.members()) == 1)) {
      electionDeadline = now;
    }
  }

  Role role() {
    return role != Role.LEADER && !isVoter() ? Role.LEARNER : role;
  }

  long term() {
    return term;
  }

  long commitIndex() {
    return commitIndex;
  }

  CoreLog log() {
    return log;
  }

  boolean established() {
    return established;
  }

  Optional<ReplicaMember> leader() {
    return Memberships.find(log.members(), leaderId);
  }

  /** Returns the end of the leader lease; empty when this replica holds none. */
  OptionalLong leaseEnd(long now) {
    return role == Role.LEADER ? leadership.leaseEnd(now) : OptionalLong.empty();
  }

  /** Returns the index that must be applied before the lease is valid for reads. */
  long termStartIndex() {
    return role == Role.LEADER ? leadership.termStartIndex() : Long.MAX_VALUE;
  }

  /** Handles expired timers. */
  void tick(long now) {
    if (role == Role.LEADER) {
      leadership.tick(now);
    } else if (now - electionDeadline >= 0) {
      onElectionTimeout(now);
    }
  }

  /** Appends a command; empty when this replica is not the leader or is overloaded. */
  OptionalLong propose(long now, byte[] command) {
    if (role != Role.LEADER
        || leadership.isTransferring()
        || log.bytes() >= MAX_LOG_BYTES
        || log.lastIndex() - commitIndex >= MAX_UNCOMMITTED_ENTRIES) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(appendAsLeader(EntryKind.COMMAND, command));
  }

  /** Returns true when a membership change may be appended. */
  boolean isMembershipChangeAllowed() {
    return role == Role.LEADER
        && !leadership.isTransferring()
        && commitIndex >= leadership.termStartIndex()
        && log.membershipIndex() <= commitIndex;
  }

  /** Appends a membership that differs from the current one in one member. */
  void changeMembers(long now, List<ReplicaMember> members) {
    if (!isMembershipChangeAllowed()) {
      throw new IllegalStateException("a membership change is not allowed in this state");
    }
    appendAsLeader(EntryKind.MEMBERSHIP, Memberships.encode(members));
    leadership.onMembersChanged(now);
    advanceCommit(now);
  }

  /** Returns when the newest acknowledged message was sent to each peer; empty at no leader. */
  Map<String, Long> contacts() {
    return role == Role.LEADER ? leadership.contacts() : Map.of();
  }

  /** Begins a leadership transfer; false when there is no other voter. */
  boolean transferLeadership(long now) {
    return role == Role.LEADER && leadership.beginTransfer(now);
  }

  /** Sends new entries to the followers. */
  void replicate(long now) {
    if (role == Role.LEADER) {
      leadership.replicateAll(now);
    }
  }

  /** Handles a vote request from a peer. */
  void onVoteRequest(long now, VoteRequest request, Consumer<VoteReply> replyTo) {
    boolean granted = established ? decideVote(now, request) : Bootstrap.isProbe(request);
    long replyTerm = established ? term : 0;
    if (granted && request.isPreVote()) {
      replyTerm = request.getTerm();
    }
    VoteReply reply = new VoteReply(replyTerm, granted, self);
    durability.runWhenStateDurable(() -> replyTo.accept(reply));
  }

  /** Handles a peer's reply to a vote request. */
  void onVoteReply(long now, VoteRequest request, VoteReply reply) {
    if (!established) {
      onBootstrapReply(now, reply);
      return;
    }
    if (!reply.isGranted() && reply.getTerm() > term) {
      becomeFollower(now, reply.getTerm(), "");
      return;
    }
    long expected = preVoting ? term + 1 : term;
    if (role != Role.CANDIDATE
        || !reply.isGranted()
        || request.isPreVote() != preVoting
        || request.getTerm() != expected) {
      return;
    }
    votes.add(reply.getVoter());
    countVotes(now);
  }

  /** Handles entries or a heartbeat from the leader. */
  void onAppend(long now, AppendRequest request, Consumer<AppendReply> replyTo) {
    if (request.getTerm() < term) {
      replyToAppend(request, false, 0, false, replyTo);
      return;
    }
    followLeader(now, request.getTerm(), request.getLeader());
    if (request.getEntriesSize() > 0 && durability.isOverloaded(log.lastIndex())) {
      return;
    }
    long previous = request.getPreviousIndex();
    long last = previous + request.getEntriesSize();
    if (previous > log.baseIndex() && !log.contains(previous, request.getPreviousTerm())) {
      replyToAppend(request, false, log.conflictHint(previous, commitIndex), false, replyTo);
      return;
    }
    for (LogEntry entry : request.getEntries()) {
      acceptEntry(entry);
    }
    commitIndex = Math.max(commitIndex, Math.min(request.getCommitIndex(), last));
    if (request.getEntriesSize() == 0) {
      replyToAppend(request, true, Math.min(last, durability.durableIndex()), false, replyTo);
    } else {
      replyToAppend(request, true, last, true, replyTo);
    }
  }

  /** Handles a follower's reply to {@code request}. */
  void onAppendReply(long now, String from, AppendRequest request, AppendReply reply) {
    if (reply.getTerm() > term) {
      becomeFollower(now, reply.getTerm(), "");
    } else if (role == Role.LEADER && request.getTerm() == term) {
      leadership.onAppendReply(now, from, request, reply);
    }
  }

  /** Handles a call to a peer that failed or timed out. */
  void onSendFailed(long now, String to, AppendRequest request) {
    if (role == Role.LEADER && request.getTerm() == term) {
      leadership.onSendFailed(now, to, request.getEntriesSize() == 0);
    }
  }

  /** Handles the end of a snapshot transfer to a peer. */
  void onSnapshotSent(
      long now, String to, long sentTerm, long peerTerm, boolean accepted, long index) {
    if (peerTerm > term) {
      becomeFollower(now, peerTerm, "");
    } else if (role == Role.LEADER && sentTerm == term) {
      leadership.onSnapshotSent(now, to, accepted, index);
    }
  }

  /** Handles a snapshot chunk from the leader. */
  void onSnapshotChunk(long now, SnapshotChunk chunk, Consumer<SnapshotReply> replyTo) {
    if (chunk.getTerm() < term) {
      replyTo.accept(new SnapshotReply(term, false, 0, chunk.getRound()));
      return;
    }
    followLeader(now, chunk.getTerm(), chunk.getLeader());
    if (!established
        && Memberships.isVoter(Memberships.decode(chunk.bufferForMembership().array()), self)) {
      // This replica is a voter that has lost its disk: see Leadership#onMismatch.
      output.recordEvent(ConsensusEvent.REPLICA_WITHOUT_DISK, self);
      replyTo.accept(new SnapshotReply(term, false, 0, chunk.getRound()));
    } else if (chunk.getLastIndex() <= commitIndex) {
      long next = chunk.getOffset() + chunk.bufferForBytes().remaining();
      SnapshotReply known = new SnapshotReply(term, true, next, chunk.getRound());
      durability.runWhenEntriesDurable(() -> replyTo.accept(known));
    } else {
      output.storeChunk(chunk, replyTo);
    }
  }

  /** Handles a stored chunk; {@code complete} describes the snapshot after the last chunk. */
  void onChunkStored(
      SnapshotChunk chunk,
      long nextOffset,
      Optional<SnapshotMeta> complete,
      Consumer<SnapshotReply> replyTo) {
    if (complete.isPresent() && complete.get().index() > commitIndex) {
      install(complete.get());
    }
    SnapshotReply reply = new SnapshotReply(term, true, nextOffset, chunk.getRound());
    durability.runWhenEntriesDurable(() -> replyTo.accept(reply));
  }

  /** Handles the leader's request to start an election immediately. */
  void onTimeoutNow(long now, TimeoutNow request) {
    if (established
        && request.getTerm() == term
        && request.getLeader().equals(leaderId)
        && role == Role.FOLLOWER
        && isVoter()) {
      transferElection = true;
      campaign(now);
    }
  }

  /** Compacts the log after the state machine has written a snapshot. */
  void onSnapshotTaken(SnapshotMeta meta, int trailingEntries) {
    if (meta.index() > log.snapshot().index()) {
      log.compact(meta, trailingEntries);
    }
  }

  /** Handles a disk write that has not completed for too long; a leader steps down. */
  void onDiskStalled(long now) {
    if (role == Role.LEADER && Memberships.quorum(log.members()) > 1) {
      becomeFollower(now, term, "");
    }
    resetElectionDeadline(now);
  }

  /** Takes the state that has to be persisted; empty when there is none. */
  Optional<PersistRequest> takePersistRequest() {
    return durability.takePersistRequest();
  }

  /** Handles the completion of all persist requests up to {@code sequence}. */
  void onPersisted(long now, long sequence) {
    durability.onPersisted(sequence);
    if (role == Role.LEADER) {
      advanceCommit(now);
    }
  }

  /** Sends the held messages whose state is durable. */
  void releaseMessages() {
    durability.releaseMessages();
  }

  String self() {
    return self;
  }

  RaftTiming timing() {
    return timing;
  }

  long durableIndex() {
    return durability.durableIndex();
  }

  CoreOutput output() {
    return output;
  }

  /** Runs {@code action} once the current term is durable. */
  void sendWhenTermDurable(Runnable action) {
    durability.runWhenStateDurable(action);
  }

  void stepDown(long now) {
    becomeFollower(now, term, "");
  }

  void advanceCommit(long now) {
    long committed = leadership.committedByQuorum();
    if (committed > commitIndex && log.term(committed) == term) {
      commitIndex = committed;
      if (log.membershipIndex() <= commitIndex && Memberships.find(log.members(), self).isEmpty()) {
        stepDown(now);
      }
    }
  }

  private boolean isVoter() {
    return Memberships.isVoter(log.members(), self);
  }

  private void resetElectionDeadline(long now) {
    long min = timing.electionMin().toNanos();
    long max = timing.electionMax().toNanos();
    electionDeadline = now + min + random.nextLong(max - min);
  }

  private void onElectionTimeout(long now) {
    resetElectionDeadline(now);
    if (!established) {
      probeForBootstrap(now);
    } else if (isVoter()) {
      role = Role.CANDIDATE;
      leaderId = "";
      preVoting = true;
      transferElection = false;
      requestVotes(now, term + 1);
    }
  }

  private void campaign(long now) {
    role = Role.CANDIDATE;
    leaderId = "";
    preVoting = false;
    setTerm(term + 1, self);
    resetElectionDeadline(now);
    requestVotes(now, term);
  }

  private void requestVotes(long now, long voteTerm) {
    votes.clear();
    votes.add(self);
    for (ReplicaMember member : log.members()) {
      if (member.isVoter() && !member.getReplicaId().equals(self)) {
        VoteRequest request =
            new VoteRequest(
                voteTerm, self, log.lastIndex(), log.lastTerm(), preVoting, transferElection);
        durability.runWhenStateDurable(() -> output.sendVoteRequest(member, request));
      }
    }
    countVotes(now);
  }

  private void countVotes(long now) {
    long granted =
        log.members().stream()
            .filter(member -> member.isVoter() && votes.contains(member.getReplicaId()))
            .count();
    if (granted < Memberships.quorum(log.members())) {
      return;
    }
    if (preVoting) {
      campaign(now);
    } else {
      becomeLeader(now);
    }
  }

  private void becomeLeader(long now) {
    role = Role.LEADER;
    leaderId = self;
    long termStart = log.lastIndex() + 1;
    leadership = new Leadership(this, now, termStart);
    // Only entries of the current term commit by counting replicas; this one commits earlier ones.
    appendAsLeader(EntryKind.NOOP, new byte[0]);
    leadership.tick(now);
    leadership.replicateAll(now);
  }

  private void becomeFollower(long now, long newTerm, String leader) {
    if (newTerm > term) {
      setTerm(newTerm, "");
    }
    role = Role.FOLLOWER;
    leaderId = leader;
    leadership = null;
    preVoting = false;
    transferElection = false;
    resetElectionDeadline(now);
  }

  private void followLeader(long now, long leaderTerm, String leader) {
    if (role == Role.LEADER && leaderTerm == term) {
      throw new IllegalStateException(
          "message from leader " + leader + " in term " + term + ", which this replica leads");
    }
    if (leaderTerm > term || role != Role.FOLLOWER || !leader.equals(leaderId)) {
      becomeFollower(now, leaderTerm, leader);
    }
    lastContact = now;
    resetElectionDeadline(now);
  }

  private void setTerm(long newTerm, String vote) {
    term = newTerm;
    votedFor = vote;
    if (established) {
      durability.hardStateChanged(new HardState(term, votedFor));
    }
  }

  private boolean decideVote(long now, VoteRequest request) {
    boolean leaderAlive = role == Role.LEADER || now - lastContact < timing.electionMin().toNanos();
    if (leaderAlive && !request.isTransfer()) {
      return false;
    }
    if (request.isPreVote()) {
      return request.getTerm() > term
          && log.isCoveredBy(request.getLastIndex(), request.getLastTerm());
    }
    if (request.getTerm() > term) {
      becomeFollower(now, request.getTerm(), "");
    }
    boolean canVote = votedFor.isEmpty() || votedFor.equals(request.getCandidate());
    if (request.getTerm() < term
        || !canVote
        || !log.isCoveredBy(request.getLastIndex(), request.getLastTerm())) {
      return false;
    }
    if (votedFor.isEmpty()) {
      setTerm(term, request.getCandidate());
    }
    resetElectionDeadline(now);
    return true;
  }

  private void probeForBootstrap(long now) {
    if (!bootstrap.isCreator()) {
      return;
    }
    for (ReplicaMember member : bootstrap.beginRound()) {
      durability.runWhenStateDurable(() -> output.sendVoteRequest(member, bootstrap.probe()));
    }
    bootstrapWhenAllEmpty(now);
  }

  private void onBootstrapReply(long now, VoteReply reply) {
    if (bootstrap.isCreator() && !bootstrap.accept(reply)) {
      output.recordEvent(ConsensusEvent.BOOTSTRAP_REFUSED, reply.getVoter());
    }
    bootstrapWhenAllEmpty(now);
  }

  private void bootstrapWhenAllEmpty(long now) {
    if (bootstrap.allEmpty()) {
      established = true;
      setTerm(1, self);
      appendAsLeader(EntryKind.MEMBERSHIP, Memberships.encode(bootstrap.firstMembers()));
      output.recordEvent(ConsensusEvent.CLUSTER_BOOTSTRAPPED, self);
      becomeLeader(now);
    }
  }

  private long appendAsLeader(EntryKind kind, byte[] payload) {
    long index = log.lastIndex() + 1;
    append(new LogEntry(index, term, kind, java.nio.ByteBuffer.wrap(payload)));
    return index;
  }

  private void append(LogEntry entry) {
    log.append(entry);
    durability.entryAppended(entry);
    if (entry.getKind() == EntryKind.MEMBERSHIP) {
      output.recordEvent(ConsensusEvent.MEMBERSHIP_CHANGED, log.members().toString());
    }
  }

  private void acceptEntry(LogEntry entry) {
    long index = entry.getIndex();
    if (index <= log.baseIndex() || log.contains(index, entry.getTerm())) {
      return;
    }
    if (index <= commitIndex) {
      throw new IllegalStateException(
          "entry " + index + " of term " + entry.getTerm() + " would replace a committed entry");
    }
    if (index <= log.lastIndex()) {
      truncateFrom(index);
    }
    establish();
    append(entry);
  }

  private void establish() {
    if (!established) {
      established = true;
      durability.hardStateChanged(new HardState(term, votedFor));
    }
  }

  private void truncateFrom(long index) {
    log.truncateFrom(index);
    durability.logTruncated(index);
  }

  private void replyToAppend(
      AppendRequest request,
      boolean success,
      long matchIndex,
      boolean afterEntries,
      Consumer<AppendReply> replyTo) {
    AppendReply reply = new AppendReply(term, success, matchIndex, request.getRound(), self);
    if (afterEntries) {
      durability.runWhenEntriesDurable(() -> replyTo.accept(reply));
    } else {
      durability.runWhenStateDurable(() -> replyTo.accept(reply));
    }
  }

  private void install(SnapshotMeta meta) {
    log.install(meta);
    commitIndex = meta.index();
    durability.snapshotInstalled(meta);
    establish();
    output.installSnapshot(meta);
  }
}
