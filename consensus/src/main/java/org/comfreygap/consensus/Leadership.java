package org.comfreygap.consensus;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.comfreygap.protocol.generated.AppendReply;
import org.comfreygap.protocol.generated.AppendRequest;
import org.comfreygap.protocol.generated.LogEntry;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.TimeoutNow;

/**
 * State of the leader: progress of the peers, lease and leadership transfer.
 *
 * <p>Each request carries its send time as the round, which followers echo. The lease and the
 * quorum check count from the newest round that a quorum of voters acknowledged. Thread safety: not
 * thread-safe.
 */
final class Leadership {

  private static final int MAX_BATCH_ENTRIES = 1_024;
  private static final int MAX_BATCH_BYTES = 1024 * 1024;
  private static final long RETRY_DELAY_NANOS = 20_000_000;

  private final RaftCore core;
  private final CoreLog log;
  private final long leaderSince;
  private final long termStartIndex;
  private final Map<String, Progress> peers = new LinkedHashMap<>();
  private long nextHeartbeat;
  private Transfer transfer;

  Leadership(RaftCore core, long now, long termStartIndex) {
    this.core = core;
    this.log = core.log();
    this.leaderSince = now;
    this.termStartIndex = termStartIndex;
    this.nextHeartbeat = now;
    onMembersChanged(now);
  }

  long termStartIndex() {
    return termStartIndex;
  }

  boolean isTransferring() {
    return transfer != null;
  }

  /** Adds and removes peers according to the current membership. */
  void onMembersChanged(long now) {
    List<ReplicaMember> members = log.members();
    peers.keySet().removeIf(id -> Memberships.find(members, id).isEmpty());
    for (ReplicaMember member : members) {
      String id = member.getReplicaId();
      if (!id.equals(core.self())) {
        Progress progress = peers.computeIfAbsent(id, key -> new Progress(now));
        progress.member = member;
      }
    }
  }

  /** Sends heartbeats, steps down without a quorum and ends a transfer that timed out. */
  void tick(long now) {
    long quorumAge = now - Math.max(quorumAckTime(now), leaderSince);
    if (quorumAge > core.timing().electionMax().toNanos()) {
      core.stepDown(now);
      return;
    }
    if (transfer != null && now - transfer.deadline >= 0) {
      endTransfer(now);
      return;
    }
    continueTransfer(now);
    if (now - nextHeartbeat >= 0) {
      nextHeartbeat = now + core.timing().heartbeat().toNanos();
      peers.values().forEach(peer -> sendHeartbeat(now, peer));
      replicateAll(now);
    }
  }

  void replicateAll(long now) {
    for (Progress peer : peers.values()) {
      replicate(now, peer);
    }
  }

  void onAppendReply(long now, String from, AppendRequest request, AppendReply reply) {
    Progress peer = peers.get(from);
    if (peer == null) {
      return;
    }
    boolean heartbeat = request.getEntriesSize() == 0;
    if (!reply.getFollower().equals(from)) {
      // Another replica has the address of this member: what it stores is not stored by the member.
      onSendFailed(now, from, heartbeat);
      return;
    }
    peer.onCallEnded(heartbeat);
    peer.probed |= !heartbeat;
    if (!peer.lostDisk) {
      peer.lastAckedRound = Math.max(peer.lastAckedRound, reply.getRound());
    }
    if (reply.isSuccess()) {
      peer.matchIndex = Math.max(peer.matchIndex, reply.getMatchIndex());
      onProgress(now, peer);
    } else if (!heartbeat) {
      onMismatch(peer, reply.getMatchIndex());
    }
  }

  void onSendFailed(long now, String to, boolean heartbeat) {
    Progress peer = peers.get(to);
    if (peer != null) {
      peer.onCallEnded(heartbeat);
      peer.probed &= heartbeat;
      peer.retryAt = now + RETRY_DELAY_NANOS;
    }
  }

  void onSnapshotSent(long now, String to, boolean accepted, long index) {
    Progress peer = peers.get(to);
    if (peer == null) {
      return;
    }
    peer.onCallEnded(false);
    if (accepted) {
      peer.matchIndex = Math.max(peer.matchIndex, index);
      onProgress(now, peer);
    } else {
      peer.probed = false;
      peer.retryAt = now + RETRY_DELAY_NANOS;
    }
  }

  /** Returns the newest index that is durable at a quorum of voters. */
  long committedByQuorum() {
    List<Long> durable = new ArrayList<>();
    for (ReplicaMember member : log.members()) {
      if (member.isVoter()) {
        Progress peer = peers.get(member.getReplicaId());
        durable.add(peer == null ? core.durableIndex() : peer.matchIndex);
      }
    }
    return quorumValue(durable);
  }

  /** Returns when the newest acknowledged message was sent to each peer, in nanoseconds. */
  Map<String, Long> contacts() {
    Map<String, Long> contacts = new HashMap<>();
    peers.forEach((id, peer) -> contacts.put(id, peer.lastAckedRound));
    return contacts;
  }

  OptionalLong leaseEnd(long now) {
    return transfer != null
        ? OptionalLong.empty()
        : OptionalLong.of(quorumAckTime(now) + core.timing().lease().toNanos());
  }

  boolean beginTransfer(long now) {
    if (transfer != null) {
      return true;
    }
    Progress target = null;
    for (Progress peer : peers.values()) {
      if (peer.member.isVoter() && (target == null || peer.matchIndex > target.matchIndex)) {
        target = peer;
      }
    }
    if (target == null) {
      return false;
    }
    // Voters ignore the lease for a transfer candidate, so the current lease must expire first, and
    // none is granted unless the transfer is cancelled before its request is sent.
    long leaseEnd = quorumAckTime(now) + core.timing().lease().toNanos();
    long lastStart = Math.max(now, leaseEnd) + core.timing().electionMax().toNanos();
    transfer = new Transfer(target, leaseEnd, lastStart);
    return true;
  }

  private void onProgress(long now, Progress peer) {
    peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
    core.advanceCommit(now);
    promoteWhenCaughtUp(now, peer);
    continueTransfer(now);
  }

  private void endTransfer(long now) {
    if (transfer.sent) {
      core.stepDown(now);
    } else {
      transfer = null;
    }
  }

  private void continueTransfer(long now) {
    if (transfer == null
        || transfer.sent
        || now - transfer.leaseEnd < 0
        || transfer.target.matchIndex < log.lastIndex()) {
      return;
    }
    transfer.sent = true;
    transfer.deadline = now + core.timing().electionMax().toNanos();
    ReplicaMember target = transfer.target.member;
    TimeoutNow request = new TimeoutNow(core.term(), core.self());
    core.sendWhenTermDurable(() -> core.output().sendTimeoutNow(target, request));
  }

  private void promoteWhenCaughtUp(long now, Progress peer) {
    if (!peer.member.isVoter()
        && peer.matchIndex >= core.commitIndex()
        && core.isMembershipChangeAllowed()) {
      ReplicaMember voter = Memberships.withVoting(peer.member, true);
      core.changeMembers(now, Memberships.with(log.members(), voter));
    }
  }

  private void onMismatch(Progress peer, long hint) {
    if (hint == 0 && peer.member.isVoter()) {
      // Every voter holds the first entry durably, so this one has lost its disk. Its earlier
      // replies counted for commits; replicating to it now would let it vote without those entries.
      if (!peer.lostDisk) {
        core.output().recordEvent(ConsensusEvent.REPLICA_WITHOUT_DISK, peer.member.getReplicaId());
      }
      peer.lostDisk = true;
    }
    peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(peer.nextIndex - 1, hint + 1));
  }

  private void sendHeartbeat(long now, Progress peer) {
    if (!peer.heartbeatInFlight) {
      peer.heartbeatInFlight = true;
      long previous = peer.matchIndex >= log.baseIndex() ? peer.matchIndex : 0;
      send(now, peer, previous, List.of());
    }
  }

  private void replicate(long now, Progress peer) {
    if (peer.dataInFlight || peer.lostDisk || now - peer.retryAt < 0) {
      return;
    }
    if (peer.nextIndex <= log.baseIndex() && !peer.probed) {
      // The peer may have restarted without its disk; its reply to one entry reveals that.
      peer.dataInFlight = true;
      long last = log.lastIndex();
      send(now, peer, last - 1, log.slice(last, last, 1, 1));
    } else if (peer.nextIndex <= log.baseIndex()) {
      peer.dataInFlight = true;
      ReplicaMember member = peer.member;
      SnapshotMeta meta = log.snapshot();
      long term = core.term();
      core.sendWhenTermDurable(() -> core.output().sendSnapshot(member, meta, term, now));
    } else if (peer.nextIndex <= log.lastIndex()) {
      peer.dataInFlight = true;
      send(
          now,
          peer,
          peer.nextIndex - 1,
          log.slice(peer.nextIndex, log.lastIndex(), MAX_BATCH_ENTRIES, MAX_BATCH_BYTES));
    }
  }

  private void send(long now, Progress peer, long previous, List<LogEntry> entries) {
    ReplicaMember member = peer.member;
    AppendRequest request =
        new AppendRequest(
            core.term(),
            core.self(),
            previous,
            previous == 0 ? 0 : log.term(previous),
            entries,
            core.commitIndex(),
            now);
    core.sendWhenTermDurable(() -> core.output().sendAppend(member, request));
  }

  /** Returns the send time of the newest round that a quorum of voters acknowledged. */
  private long quorumAckTime(long now) {
    List<Long> acknowledged = new ArrayList<>();
    for (ReplicaMember member : log.members()) {
      if (member.isVoter()) {
        Progress peer = peers.get(member.getReplicaId());
        acknowledged.add(peer == null ? now : peer.lastAckedRound);
      }
    }
    return quorumValue(acknowledged);
  }

  private long quorumValue(List<Long> values) {
    values.sort(Collections.reverseOrder());
    return values.get(Memberships.quorum(log.members()) - 1);
  }

  private final class Progress {

    private ReplicaMember member;
    private long matchIndex;
    private long nextIndex = Math.max(log.lastIndex(), log.baseIndex() + 1);
    private long lastAckedRound;
    private long retryAt;
    private boolean dataInFlight;
    private boolean heartbeatInFlight;
    private boolean lostDisk;
    private boolean probed;

    Progress(long now) {
      // No reply yet: must not count for the lease or the quorum check.
      lastAckedRound = now - core.timing().electionMax().toNanos();
      retryAt = now;
    }

    void onCallEnded(boolean heartbeat) {
      if (heartbeat) {
        heartbeatInFlight = false;
      } else {
        dataInFlight = false;
      }
    }
  }

  private static final class Transfer {

    private final Progress target;
    private final long leaseEnd;
    private long deadline;
    private boolean sent;

    Transfer(Progress target, long leaseEnd, long deadline) {
      this.target = target;
      this.leaseEnd = leaseEnd;
      this.deadline = deadline;
    }
  }
}
