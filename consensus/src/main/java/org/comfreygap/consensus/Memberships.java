package org.comfreygap.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.ReplicaMembership;

/**
 * Encoding, lookup and modification of member lists.
 *
 * <p>Thread safety: stateless.
 */
final class Memberships {

  private Memberships() {}

  static byte[] encode(List<ReplicaMember> members) {
    try {
      return new TSerializer(new TCompactProtocol.Factory())
          .serialize(new ReplicaMembership(members));
    } catch (TException e) {
      throw new IllegalStateException("cannot encode a membership", e);
    }
  }

  static List<ReplicaMember> decode(byte[] bytes) {
    try {
      ReplicaMembership membership = new ReplicaMembership();
      new TDeserializer(new TCompactProtocol.Factory()).deserialize(membership, bytes);
      return List.copyOf(membership.getMembers());
    } catch (TException e) {
      throw new IllegalStateException("cannot decode a membership entry", e);
    }
  }

  static Optional<ReplicaMember> find(List<ReplicaMember> members, String id) {
    return members.stream().filter(member -> member.getReplicaId().equals(id)).findFirst();
  }

  static boolean isVoter(List<ReplicaMember> members, String id) {
    return find(members, id).map(ReplicaMember::isVoter).orElse(false);
  }

  /** Returns the number of voters that forms a majority. */
  static int quorum(List<ReplicaMember> members) {
    return (int) members.stream().filter(ReplicaMember::isVoter).count() / 2 + 1;
  }

  /** Returns the members with {@code member} added or replaced. */
  static List<ReplicaMember> with(List<ReplicaMember> members, ReplicaMember member) {
    List<ReplicaMember> result = new ArrayList<>(without(members, member.getReplicaId()));
    result.add(member);
    return List.copyOf(result);
  }

  static List<ReplicaMember> without(List<ReplicaMember> members, String id) {
    return members.stream().filter(member -> !member.getReplicaId().equals(id)).toList();
  }

  static ReplicaMember withVoting(ReplicaMember member, boolean voter) {
    return new ReplicaMember(member).setVoter(voter);
  }
}
