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
 * removed once they have been silent for {@link #SILENCE}, while there are more than bear the loss
 * of as many as the settings name: with fewer, the loss of that many disks would leave no quorum.
 *
 * <p>Invariant: one change at a time. Thread safety: all methods are synchronized.
 */
@Singleton
final class ReplicaAdmission {

  /** Far above a restart with a slow disk. */
  static final Duration SILENCE = Duration.ofSeconds(6);

  private final ReplicatedLog log;
  private final EventLog events;
  private final boolean active;
  private final int leastMembers;
  private final Map<String, Long> heardNanos = new HashMap<>();
  private final Map<String, ReplicaMember> asking = new HashMap<>();
  private CompletableFuture<Void> change = CompletableFuture.completedFuture(null);
  private long term;

  @Inject
  ReplicaAdmission(ReplicatedLog log, EventLog events, ControlSettings settings) {
    this.active = settings.joinsByItself();
    this.leastMembers = 2 * settings.toleratedLosses() + 1;
    this.log = log;
    this.events = events;
  }

  /** Takes note of a heartbeat of a control instance. */
  synchronized void heard(ProcessIdentity identity, long nowNanos) {
    if (!identity.isSetReplicaId() || !identity.isSetReplicationAddress()) {
      return;
    }
    heardNanos.put(identity.getReplicaId(), nowNanos);
    ReplicaMember member =
        new ReplicaMember(identity.getReplicaId(), identity.getReplicationAddress(), false);
    member.setAdminAddress(identity.getAdminAddress());
    if (find(log.members(), identity.getReplicaId()).isEmpty()) {
      asking.put(identity.getReplicaId(), member);
    } else {
      asking.remove(identity.getReplicaId());
    }
  }

  /** Begins the next change; called a few times a second at the leader. */
  synchronized void advance(LeaderTerm leader, long nowNanos) {
    if (leader.term() != term) {
      term = leader.term();
      log.members().forEach(member -> heardNanos.put(member.getReplicaId(), nowNanos));
    }
    // Where operators add and remove members, nobody else does.
    if (!active || !change.isDone()) {
      return;
    }
    List<ReplicaMember> members = log.members();
    asking.keySet().removeIf(id -> silent(id, nowNanos) || find(members, id).isPresent());
    for (ReplicaMember candidate : asking.values()) {
      Optional<ReplicaMember> before =
          members.stream()
              .filter(member -> member.getAddress().equals(candidate.getAddress()))
              .findFirst();
      if (before.isPresent()) {
        begin("remove", before.get().getReplicaId(), log.removeMember(before.get().getReplicaId()));
      } else {
        begin("add", candidate.getReplicaId(), log.addMember(candidate));
      }
      return;
    }
    if (members.size() > leastMembers) {
      members.stream()
          .map(ReplicaMember::getReplicaId)
          .filter(id -> silent(id, nowNanos))
          .findFirst()
          .ifPresent(id -> begin("remove", id, log.removeMember(id)));
    }
  }

  private boolean silent(String replicaId, long nowNanos) {
    Long heard = heardNanos.get(replicaId);
    return heard == null || nowNanos - heard > SILENCE.toNanos();
  }

  private void begin(String kind, String replicaId, CompletableFuture<Void> future) {
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

  private static Optional<ReplicaMember> find(List<ReplicaMember> members, String id) {
    return members.stream().filter(member -> member.getReplicaId().equals(id)).findFirst();
  }
}
