package org.comfreygap.consensus;

import java.util.ArrayList;
import java.util.Collections;
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
 * What a replica knows while it leads: the progress of the others, the lease, the hand-over.
 *
 * <p>Each round carries its send time, and followers echo it. The lease and check-quorum count from
 * the send time of the newest round that a quorum of voters answered. Thread safety: not
 * thread-safe.
 */
final class Leadership {

  private static final int MAX_BATCH_ENTRIES = 1_024;
  private static final int MAX_BATCH_BYTES = 1024 * 1024;
  private static final long RETRY_PAUSE_NANOS = 20_000_000;

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

  /** Follows a new membership. */
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

  /** Sends heartbeats, steps down without a quorum, ends a hand-over that takes too long. */
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
      peer.retryAt = now + RETRY_PAUSE_NANOS;
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
      peer.retryAt = now + RETRY_PAUSE_NANOS;
    }
  }

  /** Returns the newest index that a quorum of voters holds durably. */
  long committedByQuorum() {
    List<Long> held = new ArrayList<>();
    for (ReplicaMember member : log.members()) {
      if (member.isVoter()) {
        Progress peer = peers.get(member.getReplicaId());
        held.add(peer == null ? core.durableIndex() : peer.matchIndex);
      }
    }
    return quorumValue(held);
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
    // A voter that campaigns after a hand-over ignores the lease, so the lease granted so far has
    // to
    // end first, and none is granted until the hand-over is given up without having been sent.
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
      // answers counted for commits; feeding it now would let it vote without those entries.
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
      // The peer may have restarted without its disk: what it answers to an entry shows that.
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

  /** Returns the send time of the newest round that a quorum of voters answered. */
  private long quorumAckTime(long now) {
    List<Long> answered = new ArrayList<>();
    for (ReplicaMember member : log.members()) {
      if (member.isVoter()) {
        Progress peer = peers.get(member.getReplicaId());
        answered.add(peer == null ? now : peer.lastAckedRound);
      }
    }
    return quorumValue(answered);
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
      // No answer yet: outside the lease and outside check-quorum.
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
