package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which replica of the control group is added or removed next.
 *
 * <p>A new replica is added as soon as it sends heartbeats; the log lets it vote once it has
 * everything. A voter is removed only while there are more voters than needed to tolerate the
 * configured number of losses: when it says that it is leaving, or after {@link #SILENCE}, the one
 * that is silent longest first. A new replica at the address of a silent member takes its place.
 *
 * <pre>{@code
 * changes.begin(term, members, now);
 * changes.heartbeat(replica, leaving, now);
 * Optional<Change> next = changes.next(members, beingAdded, now);
 * }</pre>
 *
 * <p>Invariants: replicas that do not vote never count towards the size of the group, and no more
 * than {@link #MAX_LEARNERS} learn at a time; what is held is bounded by the members and by the
 * replicas heard of within {@link #SILENCE}. Not thread-safe.
 *
 * @since 0.8
 */
public final class GroupChanges {

  /** Silence after which a replica counts as lost; above the duration of an election. */
  public static final Duration SILENCE = Duration.ofSeconds(3);

  /** Silence after which another replica may take a member's address: two heartbeats. */
  public static final Duration ADDRESS_SILENCE = Duration.ofSeconds(2);

  /** Replicas that may learn at the same time. */
  public static final int MAX_LEARNERS = 3;

  /** Bound on members and replicas that ask to be added, far above the size of a group. */
  static final int MAX_REPLICAS = 64;

  private final String self;
  private final int minVoters;
  private final Map<String, Replica> candidates = new LinkedHashMap<>();
  private final Map<String, Long> contactNanos = new HashMap<>();
  private final Set<String> leaving = new HashSet<>();
  private long term = -1;

  /**
   * Creates the decision.
   *
   * @param self id of the replica that decides while it leads; it never removes itself
   * @param toleratedLosses number of voters whose loss the group shall survive
   */
  public GroupChanges(String self, int toleratedLosses) {
    this.self = self;
    this.minVoters = 2 * toleratedLosses + 1;
  }

  /**
   * A replica of the group, or one that asks to be added.
   *
   * @param address address of replication
   */
  public record Replica(String id, String address, boolean voter) {}

  /** Why the group is changed. */
  public enum Reason {
    /** A replica that is not a member sends heartbeats. */
    NEW,
    /** Another replica is at the member's address: the member has lost its disk or is gone. */
    ADDRESS_TAKEN,
    /** The member says that it is stopping. */
    LEAVING,
    /** The member was not heard of for {@link #SILENCE}. */
    SILENT;

    /** Returns true when the replica is added, false when it is removed. */
    public boolean adds() {
      return this == NEW;
    }
  }

  /** A change of the group. */
  public record Change(Reason reason, String replicaId) {}

  /** Begins a leader's term: every member counts as heard of now. */
  public void begin(long newTerm, List<Replica> members, long nowNanos) {
    if (newTerm != term) {
      term = newTerm;
      leaving.clear();
      members.forEach(member -> contactNanos.put(member.id, nowNanos));
    }
  }

  /** Records a heartbeat of a replica, member or not. */
  public void heartbeat(Replica replica, boolean stopping, long nowNanos) {
    if (!contactNanos.containsKey(replica.id) && contactNanos.size() >= MAX_REPLICAS) {
      return;
    }
    contacted(replica.id, nowNanos);
    if (stopping) {
      leaving.add(replica.id);
      candidates.remove(replica.id);
    } else {
      leaving.remove(replica.id);
      candidates.put(replica.id, replica);
    }
  }

  /** Records that a member acknowledged a message of the log that was sent at {@code nanos}. */
  public void acknowledged(String replicaId, long nanos) {
    if (contactNanos.containsKey(replicaId)) {
      contacted(replicaId, nanos);
    }
  }

  /**
   * Returns the next change, if one is due; the caller starts it and does not ask again before a
   * removal has ended.
   *
   * @param members the present members
   * @param beingAdded ids of replicas whose addition was started and has not ended
   */
  public Optional<Change> next(List<Replica> members, Set<String> beingAdded, long nowNanos) {
    Set<String> memberIds = new HashSet<>();
    for (Replica member : members) {
      memberIds.add(member.id);
      contactNanos.putIfAbsent(member.id, nowNanos);
    }
    contacted(self, nowNanos);
    forget(memberIds, nowNanos);
    return silentLearner(members, nowNanos)
        .or(() -> addition(members, beingAdded, nowNanos))
        .or(() -> surplusVoter(members, nowNanos));
  }

  /** Returns true when the replica asks to be added. */
  public boolean isCandidate(String replicaId) {
    return candidates.containsKey(replicaId);
  }

  /** Returns for how long a member or candidate was not heard of, in nanoseconds. */
  public long silence(String replicaId, long nowNanos) {
    Long contact = contactNanos.get(replicaId);
    return contact == null ? Long.MAX_VALUE : nowNanos - contact;
  }

  /** Returns the number of replicas that are remembered; for tests of the bound. */
  int remembered() {
    return contactNanos.size();
  }

  private Optional<Change> silentLearner(List<Replica> members, long nowNanos) {
    return members.stream()
        .filter(member -> !member.voter && silence(member.id, nowNanos) > SILENCE.toNanos())
        .findFirst()
        .map(member -> new Change(Reason.SILENT, member.id));
  }

  private Optional<Change> addition(List<Replica> members, Set<String> beingAdded, long nowNanos) {
    long learners = members.stream().filter(member -> !member.voter).count();
    for (Replica candidate : candidates.values()) {
      Optional<Replica> atAddress =
          members.stream().filter(member -> member.address.equals(candidate.address)).findFirst();
      if (atAddress.isPresent()) {
        Replica old = atAddress.get();
        boolean lastVoter = old.voter && voters(members) == 1;
        if (!lastVoter && silence(old.id, nowNanos) > ADDRESS_SILENCE.toNanos()) {
          return Optional.of(new Change(Reason.ADDRESS_TAKEN, old.id));
        }
      } else if (learners < MAX_LEARNERS && !beingAdded.contains(candidate.id)) {
        return Optional.of(new Change(Reason.NEW, candidate.id));
      }
    }
    return Optional.empty();
  }

  private Optional<Change> surplusVoter(List<Replica> members, long nowNanos) {
    if (voters(members) <= minVoters) {
      return Optional.empty();
    }
    List<Replica> lost = new ArrayList<>();
    Optional<Change> left = Optional.empty();
    for (Replica member : members) {
      if (member.voter && silence(member.id, nowNanos) > SILENCE.toNanos()) {
        lost.add(member);
      } else if (member.voter && leaving.contains(member.id) && !member.id.equals(self)) {
        left = Optional.of(new Change(Reason.LEAVING, member.id));
      }
    }
    Optional<Change> leavingVoter = left;
    return lost.stream()
        .max(Comparator.comparingLong(member -> silence(member.id, nowNanos)))
        .map(member -> new Change(Reason.SILENT, member.id))
        .or(() -> leavingVoter);
  }

  /** Drops candidates that became members or fell silent, and what is known of others. */
  private void forget(Set<String> members, long nowNanos) {
    candidates
        .keySet()
        .removeIf(id -> members.contains(id) || silence(id, nowNanos) > SILENCE.toNanos());
    contactNanos.keySet().removeIf(id -> !members.contains(id) && !candidates.containsKey(id));
    leaving.retainAll(members);
  }

  private void contacted(String id, long nanos) {
    contactNanos.merge(id, nanos, (old, newer) -> newer - old > 0 ? newer : old);
  }

  private static long voters(List<Replica> members) {
    return members.stream().filter(Replica::voter).count();
  }
}
