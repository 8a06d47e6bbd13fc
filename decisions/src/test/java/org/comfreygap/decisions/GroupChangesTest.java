package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.comfreygap.decisions.GroupChanges.Change;
import org.comfreygap.decisions.GroupChanges.Reason;
import org.comfreygap.decisions.GroupChanges.Replica;
import org.junit.jupiter.api.Test;

/** Guards against a group that shrinks too far, keeps lost replicas or takes one for another. */
class GroupChangesTest {

  private static final long MILLI = 1_000_000;
  private static final long SILENCE = GroupChanges.SILENCE.toNanos();

  private final GroupChanges changes = new GroupChanges("a", 1);
  private long now = 1_000 * MILLI;

  @Test
  void lostVoterIsRemovedOnceItsSuccessorVotes() {
    List<Replica> three = List.of(voter("a"), voter("b"), voter("c"));
    changes.begin(1, three, now);
    now += SILENCE + 1;
    changes.acknowledged("b", now);
    assertThat(next(three)).isEmpty();
    changes.heartbeat(learner("d"), false, now);
    assertThat(next(three)).contains(new Change(Reason.NEW, "d"));
    // While it learns, it does not make up for the lost voter.
    List<Replica> learning = List.of(voter("a"), voter("b"), voter("c"), learner("d"));
    assertThat(next(learning)).isEmpty();
    List<Replica> four = List.of(voter("a"), voter("b"), voter("c"), voter("d"));
    assertThat(next(four)).contains(new Change(Reason.SILENT, "c"));
  }

  @Test
  void leavingVoterIsRemovedAtOnceWhenThereIsASuccessor() {
    List<Replica> three = List.of(voter("a"), voter("b"), voter("c"));
    changes.begin(1, three, now);
    changes.heartbeat(voter("c"), true, now);
    assertThat(next(three)).isEmpty();
    List<Replica> four = List.of(voter("a"), voter("b"), voter("c"), voter("d"));
    assertThat(next(four)).contains(new Change(Reason.LEAVING, "c"));
    // The leader hands over instead.
    changes.heartbeat(voter("c"), false, now);
    changes.heartbeat(voter("a"), true, now);
    assertThat(next(four)).isEmpty();
  }

  /** Guards against the removal of a live voter whose heartbeats do not arrive. */
  @Test
  void theVoterThatIsSilentLongestIsRemovedAndNoneThatAcknowledges() {
    List<Replica> four = List.of(voter("a"), voter("b"), voter("c"), voter("d"));
    changes.begin(1, four, now);
    now += MILLI;
    changes.acknowledged("b", now);
    now += SILENCE + 1;
    changes.acknowledged("d", now);
    assertThat(next(four)).contains(new Change(Reason.SILENT, "c"));
    changes.acknowledged("c", now);
    assertThat(next(four)).contains(new Change(Reason.SILENT, "b"));
    changes.acknowledged("b", now);
    assertThat(next(four)).isEmpty();
  }

  @Test
  void learnerThatIsLostIsRemovedAndBlocksNoOther() {
    List<Replica> members = List.of(voter("a"), voter("b"), voter("c"), learner("d"));
    changes.begin(1, members, now);
    changes.heartbeat(learner("e"), false, now);
    assertThat(next(members, "d")).contains(new Change(Reason.NEW, "e"));
    assertThat(next(members, "d", "e")).isEmpty();
    now += SILENCE + 1;
    changes.acknowledged("b", now);
    changes.acknowledged("c", now);
    assertThat(next(members, "d", "e")).contains(new Change(Reason.SILENT, "d"));
  }

  @Test
  void addressIsTakenOverOnlyFromASilentMember() {
    List<Replica> three = List.of(voter("a"), voter("b"), voter("c"));
    Replica fresh = new Replica("c2", voter("c").address(), false);
    changes.begin(1, three, now);
    now += GroupChanges.ADDRESS_SILENCE.toNanos();
    changes.heartbeat(fresh, false, now);
    // For example a heartbeat of an earlier process that arrives late.
    assertThat(next(three)).isEmpty();
    now += MILLI;
    changes.heartbeat(fresh, false, now);
    assertThat(next(three)).contains(new Change(Reason.ADDRESS_TAKEN, "c"));
    List<Replica> two = List.of(voter("a"), voter("b"));
    assertThat(next(two)).contains(new Change(Reason.NEW, "c2"));
  }

  /**
   * Plays seeded days of losses and replacements: a group of up to five of which at most two are
   * lost at a time ends complete and without the lost ones, never has less than a quorum of live
   * voters, and remembers only the present replicas.
   */
  @Test
  void seededReplacementsEndWithAWholeGroup() {
    for (long seed = 1; seed <= 200; seed++) {
      Play play = new Play(seed);
      for (int step = 0; step < 600; step++) {
        if (step < 500 && step % 60 == 0) {
          play.loseSome();
        }
        play.step();
        assertThat(play.liveVoters())
            .as("seed %s step %s", seed, step)
            .isGreaterThan(play.members.stream().filter(Replica::voter).count() / 2);
        assertThat(play.group.remembered()).isLessThan(16);
      }
      assertThat(play.members).as("seed " + seed).hasSize(5).allMatch(Replica::voter);
      assertThat(play.liveVoters()).as("seed " + seed).isEqualTo(5);
    }
  }

  private Optional<Change> next(List<Replica> members, String... beingAdded) {
    return changes.next(members, Set.of(beingAdded), now);
  }

  private static Replica voter(String id) {
    return new Replica(id, id + ":1", true);
  }

  private static Replica learner(String id) {
    return new Replica(id, id + ":1", false);
  }

  /** A group of five, of which at most two are lost at a time; steps of 200 ms. */
  private static final class Play {

    private final Random random;
    private final GroupChanges group = new GroupChanges("r0", 2);
    private final List<Replica> members = new ArrayList<>();
    private final List<Replica> waiting = new ArrayList<>();
    private final Set<String> live = new HashSet<>();
    private long now;
    private int created;

    Play(long seed) {
      random = new Random(seed);
      for (; created < 5; created++) {
        members.add(voter("r" + created));
        live.add("r" + created);
      }
      group.begin(1, members, now);
    }

    void loseSome() {
      for (int count = 1 + random.nextInt(2); count > 0; count--) {
        List<Replica> mortal =
            members.stream().filter(m -> isLiveVoter(m) && !m.id().equals("r0")).toList();
        Replica gone = mortal.get(random.nextInt(mortal.size()));
        String id = "r" + created++;
        live.remove(gone.id());
        live.add(id);
        String address = random.nextBoolean() ? voter(id).address() : gone.address();
        waiting.add(new Replica(id, address, false));
      }
    }

    void step() {
      now += 200 * MILLI;
      waiting.forEach(replica -> group.heartbeat(replica, false, now));
      live.forEach(id -> group.acknowledged(id, now));
      members.replaceAll(
          m ->
              live.contains(m.id()) && random.nextInt(4) == 0
                  ? new Replica(m.id(), m.address(), true)
                  : m);
      group.next(members, Set.of(), now).ifPresent(this::apply);
    }

    long liveVoters() {
      return members.stream().filter(this::isLiveVoter).count();
    }

    private boolean isLiveVoter(Replica member) {
      return member.voter() && live.contains(member.id());
    }

    private void apply(Change change) {
      String id = change.replicaId();
      if (change.reason().adds()) {
        members.add(waiting.stream().filter(r -> r.id().equals(id)).findFirst().orElseThrow());
        waiting.removeIf(replica -> replica.id().equals(id));
      } else {
        members.removeIf(member -> member.id().equals(id));
      }
    }
  }
}
