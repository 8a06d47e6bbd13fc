package org.comfreygap.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.comfreygap.consensus.ReplicatedLog.Role;
import org.comfreygap.protocol.generated.ReplicaMember;

/**
 * Pending membership changes and leadership transfers, with the futures of their callers.
 *
 * <p>Thread safety: used only by the core thread.
 */
final class MembershipChanges {

  private final RaftCore core;
  private final String self;
  private final List<Change> changes = new ArrayList<>();
  private final List<Transfer> transfers = new ArrayList<>();

  MembershipChanges(RaftCore core, String self) {
    this.core = core;
    this.self = self;
  }

  void add(ReplicaMember member, CompletableFuture<Void> future) {
    changes.add(new Change(member.getReplicaId(), Optional.of(member), future));
  }

  void remove(String id, CompletableFuture<Void> future) {
    changes.add(new Change(id, Optional.empty(), future));
  }

  void transfer(long now, long deadline, CompletableFuture<Void> future) {
    if (core.role() != Role.LEADER) {
      future.completeExceptionally(
          new NotLeaderException("leadership transfer requested, but this is not the leader"));
    } else if (!core.transferLeadership(now)) {
      future.completeExceptionally(
          new IllegalStateException("leadership transfer requested without another voter"));
    } else {
      transfers.add(new Transfer(deadline, future));
    }
  }

  /** Starts pending changes and completes the futures whose outcome is known. */
  void advance(long now) {
    changes.removeIf(change -> advancePending(now, change));
    transfers.removeIf(transfer -> advancePending(now, transfer));
  }

  private boolean advancePending(long now, Change change) {
    List<ReplicaMember> members = core.log().members();
    boolean committed = core.log().membershipIndex() <= core.commitIndex();
    if (committed && change.isDone(members)) {
      change.future.complete(null);
      return true;
    }
    if (committed && change.started && Memberships.find(members, change.id).isEmpty()) {
      // Its learner was lost and removed: waiting for it would never end.
      change.future.completeExceptionally(
          new IllegalStateException("member " + change.id + " removed before it became a voter"));
      return true;
    }
    if (core.role() != Role.LEADER) {
      change.future.completeExceptionally(
          change.started
              ? new OutcomeUnknownException("leadership ended before the change was committed")
              : new NotLeaderException("membership change requested, but this is not the leader"));
      return true;
    }
    if (!change.started && core.isMembershipChangeAllowed()) {
      List<ReplicaMember> changed = change.apply(members);
      if (changed.stream().noneMatch(ReplicaMember::isVoter)) {
        change.future.completeExceptionally(
            new IllegalArgumentException("cannot remove the last voter " + change.id));
        return true;
      }
      change.started = true;
      if (!changed.equals(members)) {
        core.changeMembers(now, changed);
      }
    }
    return false;
  }

  private boolean advancePending(long now, Transfer transfer) {
    Optional<ReplicaMember> leader = core.leader();
    if (leader.isPresent() && !leader.get().getReplicaId().equals(self)) {
      transfer.future.complete(null);
      return true;
    }
    if (now - transfer.deadline >= 0) {
      transfer.future.completeExceptionally(
          new TimeoutException("leadership transfer timed out: no other leader is known"));
      return true;
    }
    return false;
  }

  private static final class Change {

    private final String id;
    private final Optional<ReplicaMember> member;
    private final CompletableFuture<Void> future;
    private boolean started;

    Change(String id, Optional<ReplicaMember> member, CompletableFuture<Void> future) {
      this.id = id;
      this.member = member;
      this.future = future;
    }

    boolean isDone(List<ReplicaMember> members) {
      return member.isPresent()
          ? Memberships.isVoter(members, id)
          : Memberships.find(members, id).isEmpty();
    }

    List<ReplicaMember> apply(List<ReplicaMember> members) {
      if (member.isEmpty()) {
        return Memberships.without(members, id);
      }
      boolean known = Memberships.find(members, id).isPresent();
      return known
          ? members
          : Memberships.with(members, Memberships.withVoting(member.get(), false));
    }
  }

  private record Transfer(long deadline, CompletableFuture<Void> future) {}
}
