package org.comfreygap.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.VoteReply;
import org.comfreygap.protocol.generated.VoteRequest;

/**
 * Decides whether a replica with an empty data folder may create the log.
 *
 * <p>Only the first initial member may, and only after every other initial member has replied in
 * the same round that its folder is empty too. Otherwise a first member that lost its disk would
 * create a second log. Thread safety: not thread-safe.
 */
final class Bootstrap {

  private final String self;
  private final List<ReplicaMember> initialMembers;
  private final Set<String> emptyReplicas = new HashSet<>();
  private boolean refused;

  Bootstrap(String self, List<ReplicaMember> initialMembers) {
    this.self = self;
    this.initialMembers = initialMembers;
  }

  /** Returns true when the request is a probe by a replica whose folder is empty. */
  static boolean isProbe(VoteRequest request) {
    return request.isPreVote() && request.getTerm() == 0;
  }

  /** Returns true when this replica may create the log. */
  boolean isCreator() {
    return !refused
        && !initialMembers.isEmpty()
        && initialMembers.get(0).getReplicaId().equals(self);
  }

  /** Begins a round and returns the members to probe. */
  List<ReplicaMember> beginRound() {
    emptyReplicas.clear();
    emptyReplicas.add(self);
    return initialMembers.subList(1, initialMembers.size());
  }

  VoteRequest probe() {
    return new VoteRequest(0, self, 0, 0, true, false);
  }

  /** Records a reply; false when the log already exists. */
  boolean accept(VoteReply reply) {
    if (reply.isGranted()) {
      emptyReplicas.add(reply.getVoter());
    } else {
      refused = true;
    }
    return !refused;
  }

  boolean allEmpty() {
    return isCreator()
        && initialMembers.stream()
            .allMatch(member -> emptyReplicas.contains(member.getReplicaId()));
  }

  /** Returns the members of the new log: the creator is a voter, the others start as learners. */
  List<ReplicaMember> firstMembers() {
    List<ReplicaMember> members = new ArrayList<>();
    for (ReplicaMember member : initialMembers) {
      members.add(Memberships.withVoting(member, member.getReplicaId().equals(self)));
    }
    return members;
  }
}
