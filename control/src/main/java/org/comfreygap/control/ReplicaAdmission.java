package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.decisions.GroupChanges;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Carries out the decisions of {@link GroupChanges} at the leader: adds control instances to the
 * replicated log when they send heartbeats, and removes the members that they replace.
 *
 * <p>A member counts as heard of when its heartbeat arrives or when it acknowledges a message of
 * the log. A replica that lost its disk returns at its old address under a new id; the member with
 * the old id can never vote again.
 *
 * <p>Invariant: at most one removal is in progress, and one addition for each replica. Thread
 * safety: any thread may call; the decision is guarded by the monitor.
 */
@Singleton
final class ReplicaAdmission {

  private final ReplicatedLog log;
  private final EventLog events;
  private final boolean active;
  private final GroupChanges group;
  private final Map<String, Candidate> candidates = new HashMap<>();
  private final Map<String, CompletableFuture<Void>> additions = new HashMap<>();
  private CompletableFuture<Void> removal = CompletableFuture.completedFuture(null);
  private CompletableFuture<Map<String, Long>> contacts =
      CompletableFuture.completedFuture(Map.of());
  private final AtomicLong caughtUp = new AtomicLong();
  private final AtomicLong removed = new AtomicLong();
  private volatile long lastCatchUpMillis;

  @Inject
  ReplicaAdmission(ReplicatedLog log, EventLog events, ControlSettings settings) {
    this.active = settings.joinsAutomatically();
    this.group = new GroupChanges(settings.replicaId(), settings.toleratedLosses());
    this.log = log;
    this.events = events;
  }

  /** Records a heartbeat of a control instance. */
  synchronized void recordHeartbeat(ProcessIdentity identity, boolean leaving, long nowNanos) {
    if (!identity.isSetReplicaId() || !identity.isSetReplicationAddress()) {
      return;
    }
    String id = identity.getReplicaId();
    ReplicaMember member = new ReplicaMember(id, identity.getReplicationAddress(), false);
    member.setAdminAddress(identity.getAdminAddress());
    group.heartbeat(replica(member), leaving, nowNanos);
    Candidate first = candidates.get(id);
    candidates.put(id, new Candidate(member, first == null ? nowNanos : first.sinceNanos));
  }

  /**
   * Starts the next membership change, if one is due; called a few times a second at the leader.
   */
  synchronized void startNextChange(LeaderTerm leader, long nowNanos) {
    List<ReplicaMember> members = log.members();
    List<GroupChanges.Replica> replicas = members.stream().map(ReplicaAdmission::replica).toList();
    group.begin(leader.term(), replicas, nowNanos);
    if (contacts.isDone()) {
      if (!contacts.isCompletedExceptionally()) {
        contacts.join().forEach(group::acknowledged);
      }
      contacts = log.contacts();
    }
    // With a configured replica id, only operators change the membership.
    if (!active || !removal.isDone()) {
      return;
    }
    additions.values().removeIf(CompletableFuture::isDone);
    Optional<GroupChanges.Change> next =
        group.next(replicas, new HashSet<>(additions.keySet()), nowNanos);
    next.ifPresent(change -> start(change, nowNanos));
    candidates.keySet().removeIf(id -> !group.isCandidate(id));
  }

  /** Returns how many replicas became voters since this process started. */
  long caughtUp() {
    return caughtUp.get();
  }

  /** Returns how many members were removed since this process started. */
  long removed() {
    return removed.get();
  }

  /** Returns the time from the start of the newest addition until the replica voted. */
  long lastCatchUpMillis() {
    return lastCatchUpMillis;
  }

  private void start(GroupChanges.Change change, long nowNanos) {
    String id = change.replicaId();
    if (change.reason().adds()) {
      Candidate candidate = candidates.get(id);
      events.record(
          ControlEvent.REPLICA_ADMITTED,
          Field.of("replica", id),
          Field.of("address", candidate.member.getAddress()),
          Field.of("waitedMillis", millis(nowNanos - candidate.sinceNanos)));
      CompletableFuture<Void> future = log.addMember(candidate.member);
      additions.put(id, future);
      future.whenComplete((done, failure) -> onAdded(id, nowNanos, failure));
    } else {
      long silentMillis = millis(group.silence(id, nowNanos));
      removal = log.removeMember(id);
      removal.whenComplete((done, failure) -> onRemoved(change, silentMillis, nowNanos, failure));
    }
  }

  /** Runs on the thread of the log, which must not wait for the monitor. */
  private void onAdded(String id, long startNanos, Throwable failure) {
    long took = millis(System.nanoTime() - startNanos);
    if (failure == null) {
      caughtUp.incrementAndGet();
      lastCatchUpMillis = took;
      events.record(
          ControlEvent.REPLICA_CAUGHT_UP,
          Field.of("replica", id),
          Field.of("tookMillis", took),
          Field.of("voters", log.members().stream().filter(ReplicaMember::isVoter).count()));
    } else {
      recordFailure(GroupChanges.Reason.NEW, id, took, failure);
    }
  }

  /** Runs on the thread of the log, which must not wait for the monitor. */
  private void onRemoved(
      GroupChanges.Change change, long silentMillis, long startNanos, Throwable failure) {
    long took = millis(System.nanoTime() - startNanos);
    if (failure == null) {
      removed.incrementAndGet();
      events.record(
          ControlEvent.REPLICA_REMOVED,
          Field.of("replica", change.replicaId()),
          Field.of("reason", change.reason()),
          Field.of("silentMillis", silentMillis),
          Field.of("tookMillis", took));
    } else {
      recordFailure(change.reason(), change.replicaId(), took, failure);
    }
  }

  private void recordFailure(
      GroupChanges.Reason reason, String id, long tookMillis, Throwable failure) {
    events.record(
        ControlEvent.REPLICA_CHANGE_FAILED,
        Field.of("replica", id),
        Field.of("reason", reason),
        Field.of("tookMillis", tookMillis),
        Field.of("cause", failure));
  }

  private static GroupChanges.Replica replica(ReplicaMember member) {
    return new GroupChanges.Replica(member.getReplicaId(), member.getAddress(), member.isVoter());
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  private record Candidate(ReplicaMember member, long sinceNanos) {}
}
