package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Takes control instances that ask by their heartbeats into the replicated log, and members that
 * they replace out of it.
 *
 * <p>A replica that lost its disk comes back at its old address under a new id; its old self is
 * removed first, since it can never vote again and would only raise the quorum. Further members are
 * removed once they have been silent for {@link #CONTACT_TIMEOUT}, while there are more than bear
 * the loss of as many as the settings name: with fewer, the loss of that many disks would leave no
 * quorum.
 *
 * <p>Invariant: one change at a time. Thread safety: all methods are synchronized.
 */
@Singleton
final class ReplicaAdmission {

  /** Far above a restart with a slow disk. */
  static final Duration CONTACT_TIMEOUT = Duration.ofSeconds(6);

  private final ReplicatedLog log;
  private final EventLog events;
  private final boolean active;
  private final int minMembers;
  private final Map<String, Long> lastContactNanos = new HashMap<>();
  private final Map<String, ReplicaMember> candidates = new HashMap<>();
  private CompletableFuture<Void> change = CompletableFuture.completedFuture(null);
  private long term;

  @Inject
  ReplicaAdmission(ReplicatedLog log, EventLog events, ControlSettings settings) {
    this.active = settings.joinsAutomatically();
    this.minMembers = 2 * settings.toleratedLosses() + 1;
    this.log = log;
    this.events = events;
  }

  /** Takes note of a heartbeat of a control instance. */
  synchronized void recordHeartbeat(ProcessIdentity identity, long nowNanos) {
    if (!identity.isSetReplicaId() || !identity.isSetReplicationAddress()) {
      return;
    }
    lastContactNanos.put(identity.getReplicaId(), nowNanos);
    ReplicaMember member =
        new ReplicaMember(identity.getReplicaId(), identity.getReplicationAddress(), false);
    member.setAdminAddress(identity.getAdminAddress());
    if (findMember(log.members(), identity.getReplicaId()).isEmpty()) {
      candidates.put(identity.getReplicaId(), member);
    } else {
      candidates.remove(identity.getReplicaId());
    }
  }

  /** Begins the next change; called a few times a second at the leader. */
  synchronized void startNextChange(LeaderTerm leader, long nowNanos) {
    if (leader.term() != term) {
      term = leader.term();
      log.members().forEach(member -> lastContactNanos.put(member.getReplicaId(), nowNanos));
    }
    // Where operators add and remove members, nobody else does.
    if (!active || !change.isDone()) {
      return;
    }
    List<ReplicaMember> members = log.members();
    candidates
        .keySet()
        .removeIf(id -> isSilent(id, nowNanos) || findMember(members, id).isPresent());
    for (ReplicaMember candidate : candidates.values()) {
      Optional<ReplicaMember> before =
          members.stream()
              .filter(member -> member.getAddress().equals(candidate.getAddress()))
              .findFirst();
      if (before.isPresent()) {
        startChange(
            "remove", before.get().getReplicaId(), log.removeMember(before.get().getReplicaId()));
      } else {
        startChange("add", candidate.getReplicaId(), log.addMember(candidate));
      }
      return;
    }
    if (members.size() > minMembers) {
      members.stream()
          .map(ReplicaMember::getReplicaId)
          .filter(id -> isSilent(id, nowNanos))
          .findFirst()
          .ifPresent(id -> startChange("remove", id, log.removeMember(id)));
    }
  }

  private boolean isSilent(String replicaId, long nowNanos) {
    Long heard = lastContactNanos.get(replicaId);
    return heard == null || nowNanos - heard > CONTACT_TIMEOUT.toNanos();
  }

  private void startChange(String kind, String replicaId, CompletableFuture<Void> future) {
    change = future;
    future.whenComplete(
        (done, failure) ->
            events.record(
                ControlEvent.MEMBER_CHANGED,
                Field.of("operator", "replica-admission"),
                Field.of("kind", kind),
                Field.of("replica", replicaId),
                Field.of("outcome", failure == null ? "done" : failure)));
  }

  private static Optional<ReplicaMember> findMember(List<ReplicaMember> members, String id) {
    return members.stream().filter(member -> member.getReplicaId().equals(id)).findFirst();
  }
}
