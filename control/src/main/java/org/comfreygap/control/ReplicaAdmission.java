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
 * Adds control instances to the replicated log when they send heartbeats, and removes the members
 * that they replace.
 *
 * <p>A replica that lost its disk returns at its old address under a new id. The member with the
 * old id is removed first, since it can never vote again and would only raise the quorum. Other
 * members are removed after {@link #CONTACT_TIMEOUT} without a heartbeat, while there are more
 * members than needed to tolerate the configured number of losses: with fewer, the loss of that
 * many disks would leave no quorum.
 *
 * <p>Invariant: at most one membership change is in progress. Thread safety: all methods are
 * synchronized.
 */
@Singleton
final class ReplicaAdmission {

  /** Far above the duration of a restart with a slow disk. */
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

  /** Records a heartbeat of a control instance. */
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

  /**
   * Starts the next membership change, if one is due; called a few times a second at the leader.
   */
  synchronized void startNextChange(LeaderTerm leader, long nowNanos) {
    if (leader.term() != term) {
      term = leader.term();
      log.members().forEach(member -> lastContactNanos.put(member.getReplicaId(), nowNanos));
    }
    // With a configured replica id, only operators change the membership.
    if (!active || !change.isDone()) {
      return;
    }
    List<ReplicaMember> members = log.members();
    candidates
        .keySet()
        .removeIf(id -> isSilent(id, nowNanos) || findMember(members, id).isPresent());
    for (ReplicaMember candidate : candidates.values()) {
      Optional<ReplicaMember> replaced =
          members.stream()
              .filter(member -> member.getAddress().equals(candidate.getAddress()))
              .findFirst();
      if (replaced.isPresent()) {
        startChange(
            "remove",
            replaced.get().getReplicaId(),
            log.removeMember(replaced.get().getReplicaId()));
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
    Long lastContact = lastContactNanos.get(replicaId);
    return lastContact == null || nowNanos - lastContact > CONTACT_TIMEOUT.toNanos();
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
