package org.comfreygap.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.thrift.TBase;
import org.comfreygap.consensus.ReplicatedLog.Role;
import org.comfreygap.protocol.generated.AppendReply;
import org.comfreygap.protocol.generated.AppendRequest;
import org.comfreygap.protocol.generated.EntryKind;
import org.comfreygap.protocol.generated.LogEntry;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.SnapshotChunk;
import org.comfreygap.protocol.generated.SnapshotReply;
import org.comfreygap.protocol.generated.TimeoutNow;
import org.comfreygap.protocol.generated.VoteReply;
import org.comfreygap.protocol.generated.VoteRequest;
import org.junit.jupiter.api.Test;

/** Tests single decisions of {@link RaftCore}, without threads and with time as an argument. */
class RaftCoreTest {

  private static final long MILLI = 1_000_000;
  private static final long ELECTION_MAX = RaftTiming.STANDARD.electionMax().toNanos();
  private static final long ELECTION_MIN = RaftTiming.STANDARD.electionMin().toNanos();
  private static final long LEASE = RaftTiming.STANDARD.lease().toNanos();
  private static final List<ReplicaMember> THREE = List.of(voter("a"), voter("b"), voter("c"));

  private final RecordingOutput output = new RecordingOutput();
  private long now = 1_000 * MILLI;

  @Test
  void preVoteDoesNotRaiseTheTerm() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3));
    passElectionTimeout(core);
    assertThat(core.term()).isEqualTo(3);
    assertThat(output.of(VoteRequest.class)).hasSize(2).allMatch(VoteRequest::isPreVote);
  }

  @Test
  void voterWithRecentLeaderContactRefusesVotesAndKeepsItsTerm() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3));
    now += 2 * ELECTION_MAX;
    core.onAppend(now, heartbeat(3, "b"), reply -> {});
    now += ELECTION_MIN - 1;
    assertThat(vote(core, new VoteRequest(4, "c", 9, 3, true, false)).isGranted()).isFalse();
    assertThat(vote(core, new VoteRequest(4, "c", 9, 3, false, false)).isGranted()).isFalse();
    assertThat(core.term()).isEqualTo(3);
    now += 1;
    assertThat(vote(core, new VoteRequest(4, "c", 9, 3, false, false)).isGranted()).isTrue();
  }

  @Test
  void restartedVoterWaitsOutALeaseItMayHaveAcknowledged() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3));
    now += LEASE;
    assertThat(vote(core, new VoteRequest(4, "c", 9, 3, false, false)).isGranted()).isFalse();
  }

  /** Compares every small combination with a direct transcription of the Raft paper's vote rule. */
  @Test
  void votesFollowTheRuleInEverySmallCase() {
    for (int code = 0; code < 3 * 3 * 3 * 3 * 3 * 2; code++) {
      long ownTerm = 2 + code % 3;
      String votedFor = List.of("", "b", "c").get(code / 3 % 3);
      long term = 2 + code / 9 % 3;
      long lastIndex = 1 + code / 27 % 3;
      long lastTerm = 1 + code / 81 % 3;
      boolean transfer = code / 243 == 1;
      RaftCore core = core(THREE, new HardState(ownTerm, votedFor), entry(1, 1), entry(2, 2));
      now += transfer ? 0 : ELECTION_MIN;
      boolean canVote = term > ownTerm || votedFor.isEmpty() || votedFor.equals("b");
      boolean upToDate = lastTerm > 2 || lastTerm == 2 && lastIndex >= 2;
      boolean expected = term >= ownTerm && canVote && upToDate;
      VoteRequest request = new VoteRequest(term, "b", lastIndex, lastTerm, false, transfer);
      assertThat(vote(core, request).isGranted()).as(request.toString()).isEqualTo(expected);
      assertThat(core.term()).isEqualTo(Math.max(ownTerm, term));
    }
  }

  @Test
  void voteIsSyncedBeforeItIsSent() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3));
    now += ELECTION_MIN;
    AtomicReference<VoteReply> reply = new AtomicReference<>();
    core.onVoteRequest(now, new VoteRequest(4, "c", 9, 3, false, false), reply::set);
    PersistRequest persist = core.takePersistRequest().orElseThrow();
    core.releaseMessages();
    assertThat(reply.get()).isNull();
    assertThat(persist.hardState()).contains(new HardState(4, "c"));
    core.onPersisted(now, persist.sequence());
    core.releaseMessages();
    assertThat(reply.get().isGranted()).isTrue();
  }

  @Test
  void entriesAreSyncedBeforeTheyAreAcknowledged() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3));
    List<AppendReply> replies = new ArrayList<>();
    core.onAppend(now, append(3, "b", 1, 3, 0, entry(2, 3)), replies::add);
    PersistRequest persist = core.takePersistRequest().orElseThrow();
    core.releaseMessages();
    assertThat(replies).isEmpty();
    // The same entries again before the sync: they are in memory but not yet durable.
    core.onAppend(now, append(3, "b", 1, 3, 0, entry(2, 3)), replies::add);
    core.onAppend(now, append(3, "b", 2, 3, 0), replies::add);
    core.releaseMessages();
    assertThat(replies).singleElement().matches(reply -> reply.getMatchIndex() == 1);
    core.onPersisted(now, persist.sequence());
    core.releaseMessages();
    assertThat(replies).hasSize(3).allMatch(AppendReply::isSuccess);
  }

  @Test
  void staleSyncDoesNotAcknowledgeReplacedEntries() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3));
    core.onAppend(now, append(3, "b", 1, 3, 0, entry(2, 3), entry(3, 3)), reply -> {});
    PersistRequest first = core.takePersistRequest().orElseThrow();
    core.onAppend(now, append(4, "c", 1, 3, 0, entry(2, 4)), reply -> {});
    PersistRequest second = core.takePersistRequest().orElseThrow();
    core.onPersisted(now, first.sequence());
    assertThat(core.durableIndex()).isEqualTo(1);
    core.onPersisted(now, second.sequence());
    assertThat(core.durableIndex()).isEqualTo(2);
  }

  @Test
  void repeatedOldAppendDoesNotCutNewerEntries() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3));
    AppendRequest old = append(3, "b", 1, 3, 0, entry(2, 3));
    core.onAppend(now, append(3, "b", 1, 3, 0, entry(2, 3), entry(3, 3)), reply -> {});
    core.onAppend(now, old, reply -> {});
    assertThat(core.log().lastIndex()).isEqualTo(3);
  }

  @Test
  void entriesOfEarlierTermsCommitOnlyWithAnEntryOfTheCurrentTerm() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 1), entry(2, 2));
    electLeader(core);
    AppendRequest request = append(core.term(), "a", 1, 1, 0, entry(2, 2));
    core.onAppendReply(now, "b", request, new AppendReply(core.term(), true, 2, now, "b"));
    assertThat(core.commitIndex()).isZero();
    core.onAppendReply(now, "b", request, new AppendReply(core.term(), true, 3, now, "b"));
    assertThat(core.commitIndex()).isEqualTo(3);
  }

  @Test
  void leaderWithoutQuorumContactStepsDown() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3));
    electLeader(core);
    now += ELECTION_MAX;
    core.tick(now);
    assertThat(core.role()).isEqualTo(Role.LEADER);
    now += 1;
    core.tick(now);
    assertThat(core.role()).isEqualTo(Role.FOLLOWER);
  }

  @Test
  void leaseCountsFromTheSendTimeOfTheRound() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3));
    electLeader(core);
    long roundSent = now;
    now += 100 * MILLI;
    AppendReply reply = new AppendReply(core.term(), true, 0, roundSent, "b");
    core.onAppendReply(now, "b", append(core.term(), "a", 0, 0, 0), reply);
    assertThat(core.leaseEnd(now)).hasValue(roundSent + LEASE);
  }

  @Test
  void leadershipTransferWaitsForTheEndOfTheLease() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3));
    electLeader(core);
    long match = core.log().lastIndex();
    AppendReply reply = new AppendReply(core.term(), true, match, now, "b");
    core.onAppendReply(now, "b", append(core.term(), "a", 0, 0, 0), reply);
    assertThat(core.transferLeadership(now)).isTrue();
    assertThat(core.leaseEnd(now)).isEmpty();
    now += LEASE - 1;
    core.tick(now);
    core.releaseMessages();
    assertThat(output.of(TimeoutNow.class)).isEmpty();
    now += 1;
    core.tick(now);
    core.releaseMessages();
    assertThat(output.of(TimeoutNow.class)).hasSize(1);
    assertThat(core.leaseEnd(now)).isEmpty();
  }

  @Test
  void learnerNeitherCountsForCommitsNorCampaigns() {
    List<ReplicaMember> members =
        List.of(voter("a"), voter("b"), voter("c"), learner("d"), learner("e"));
    RaftCore core = core(members, new HardState(3, ""), entry(1, 3));
    electLeader(core);
    long last = core.log().lastIndex();
    for (String id : List.of("d", "e")) {
      AppendReply reply = new AppendReply(core.term(), true, last, now, id);
      core.onAppendReply(now, id, append(core.term(), "a", 0, 0, 0), reply);
    }
    assertThat(core.commitIndex()).isZero();
    assertThat(core.leaseEnd(now).getAsLong() - now).isNegative();
    RaftCore asLearner = core(List.of(learner("a"), voter("b")), new HardState(3, ""), entry(1, 3));
    output.messages.clear();
    passElectionTimeout(asLearner);
    assertThat(output.messages).isEmpty();
    assertThat(asLearner.role()).isEqualTo(Role.LEARNER);
  }

  @Test
  void replicaWithAnEmptyFolderNeverVotesOrCampaigns() {
    RaftCore core = open(THREE.subList(1, 3), HardState.NONE, false, List.of());
    now += 10 * ELECTION_MAX;
    assertThat(vote(core, new VoteRequest(4, "c", 9, 3, false, true)).isGranted()).isFalse();
    assertThat(vote(core, new VoteRequest(4, "c", 9, 3, true, false)).isGranted()).isFalse();
    passElectionTimeout(core);
    assertThat(core.takePersistRequest()).isEmpty();
    assertThat(output.messages).isEmpty();
  }

  @Test
  void leaderDoesNotReplicateToAVoterThatLostItsDisk() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3), entry(2, 3));
    electLeader(core);
    AppendRequest request = append(core.term(), "a", 2, 3, 0, entry(3, core.term()));
    core.onAppendReply(now, "b", request, new AppendReply(core.term(), false, 0, now, "b"));
    output.messages.clear();
    core.propose(now, new byte[1]);
    core.replicate(now);
    core.releaseMessages();
    assertThat(output.events).contains(ConsensusEvent.REPLICA_WITHOUT_DISK);
    assertThat(output.to("b")).isEmpty();
    // It cannot help to commit, so its replies must not count for the quorum check either.
    now += ELECTION_MAX + 1;
    AppendReply alive = new AppendReply(core.term(), true, 0, now, "b");
    core.onAppendReply(now, "b", heartbeat(core.term(), "a"), alive);
    core.tick(now);
    assertThat(core.role()).isEqualTo(Role.FOLLOWER);
  }

  /** Guards against an instance that got the address of a lost voter and is counted as it. */
  @Test
  void replyOfAnotherReplicaAtTheAddressOfAVoterCountsForNothing() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3), entry(2, 3));
    electLeader(core);
    long last = core.log().lastIndex();
    AppendRequest entries = append(core.term(), "a", 2, 3, 0, entry(last, core.term()));
    core.onAppendReply(now, "b", entries, new AppendReply(core.term(), true, last, now, "x"));
    AppendRequest heartbeat = heartbeat(core.term(), "a");
    core.onAppendReply(now, "b", heartbeat, new AppendReply(core.term(), true, 0, now, "x"));
    assertThat(core.commitIndex()).isZero();
    assertThat(core.leaseEnd(now).getAsLong() - now).isNegative();
    now += ELECTION_MAX + 1;
    core.tick(now);
    assertThat(core.role()).isEqualTo(Role.FOLLOWER);
  }

  @Test
  void voterThatLostItsDiskRefusesSnapshots() {
    RaftCore core = open(THREE, HardState.NONE, false, List.of());
    SnapshotChunk chunk = new SnapshotChunk(3, "b", 9, 3, null, 0, null, true, now);
    chunk.setMembership(Memberships.encode(THREE)).setBytes(new byte[1]);
    core.onSnapshotChunk(now, chunk, reply -> assertThat(reply.isAccepted()).isFalse());
    assertThat(output.events).contains(ConsensusEvent.REPLICA_WITHOUT_DISK);
    chunk.setMembership(Memberships.encode(List.of(learner("a"), voter("b"))));
    core.onSnapshotChunk(now, chunk, reply -> {});
    assertThat(output.chunks).hasSize(1);
  }

  @Test
  void leaderProbesWithAnEntryBeforeItSendsASnapshot() {
    RaftCore core = core(THREE, new HardState(3, ""), entry(1, 3), entry(2, 3), entry(3, 3));
    electLeader(core);
    long last = core.log().lastIndex();
    AppendRequest first = append(core.term(), "a", 2, 3, 0, entry(3, 3));
    core.onSendFailed(now, "b", first);
    core.onSnapshotTaken(new SnapshotMeta(last, core.term(), THREE), 1);
    output.messages.clear();
    now += ELECTION_MIN;
    core.replicate(now);
    core.releaseMessages();
    assertThat(output.to("b")).hasOnlyElementsOfType(AppendRequest.class).hasSize(1);
    AppendRequest probe = (AppendRequest) output.to("b").get(0);
    core.onAppendReply(now, "b", probe, new AppendReply(core.term(), false, 1, now, "b"));
    output.messages.clear();
    core.replicate(now);
    core.releaseMessages();
    assertThat(output.to("b")).hasOnlyElementsOfType(SnapshotChunk.class).hasSize(1);
  }

  @Test
  void creatorThatLostItsDiskDoesNotCreateASecondLog() {
    RaftCore core = open(THREE, HardState.NONE, false, List.of());
    core.tick(now);
    core.releaseMessages();
    VoteRequest probe = output.of(VoteRequest.class).get(0);
    core.onVoteReply(now, probe, new VoteReply(0, true, "b"));
    assertThat(core.established()).isFalse();
    core.onVoteReply(now, probe, new VoteReply(7, false, "c"));
    passElectionTimeout(core);
    core.onVoteReply(now, probe, new VoteReply(0, true, "b"));
    core.onVoteReply(now, probe, new VoteReply(0, true, "c"));
    assertThat(core.established()).isFalse();
    assertThat(output.events).contains(ConsensusEvent.BOOTSTRAP_REFUSED);
  }

  private RaftCore core(List<ReplicaMember> members, HardState state, LogEntry... entries) {
    return open(members, state, true, List.of(entries));
  }

  private RaftCore open(
      List<ReplicaMember> members, HardState state, boolean established, List<LogEntry> entries) {
    List<ReplicaMember> inLog = established ? members : List.of();
    CoreLog log = new CoreLog(new SnapshotMeta(0, 0, inLog), 0, 0, entries);
    return new RaftCore(
        "a", RaftTiming.STANDARD, members, log, state, established, output, new Random(1), now);
  }

  private VoteReply vote(RaftCore core, VoteRequest request) {
    AtomicReference<VoteReply> reply = new AtomicReference<>();
    core.onVoteRequest(now, request, reply::set);
    persist(core);
    return reply.get();
  }

  private void passElectionTimeout(RaftCore core) {
    now += ELECTION_MAX;
    core.tick(now);
    core.releaseMessages();
  }

  /** Makes the core win an election with the vote of replica c. */
  private void electLeader(RaftCore core) {
    passElectionTimeout(core);
    for (int round = 0; round < 2; round++) {
      long term = core.term() + (round == 0 ? 1 : 0);
      VoteRequest request = new VoteRequest(term, "a", 0, 0, round == 0, false);
      core.onVoteReply(now, request, new VoteReply(term, true, "c"));
    }
    persist(core);
    assertThat(core.role()).isEqualTo(Role.LEADER);
  }

  private void persist(RaftCore core) {
    core.takePersistRequest().ifPresent(persist -> core.onPersisted(now, persist.sequence()));
    core.releaseMessages();
  }

  private AppendRequest heartbeat(long term, String leader) {
    return append(term, leader, 0, 0, 0);
  }

  private AppendRequest append(
      long term, String leader, long previous, long previousTerm, long commit, LogEntry... all) {
    return new AppendRequest(term, leader, previous, previousTerm, List.of(all), commit, now);
  }

  private static LogEntry entry(long index, long term) {
    return new LogEntry(index, term, EntryKind.COMMAND, ByteBuffer.wrap(new byte[] {1}));
  }

  private static ReplicaMember voter(String id) {
    return new ReplicaMember(id, "127.0.0.1:1", true);
  }

  private static ReplicaMember learner(String id) {
    return new ReplicaMember(id, "127.0.0.1:1", false);
  }

  private static final class RecordingOutput implements CoreOutput {

    private final List<TBase<?, ?>> messages = new ArrayList<>();
    private final List<String> receivers = new ArrayList<>();
    private final List<ConsensusEvent> events = new ArrayList<>();
    private final List<SnapshotChunk> chunks = new ArrayList<>();

    <T> List<T> of(Class<T> type) {
      return messages.stream().filter(type::isInstance).map(type::cast).toList();
    }

    List<TBase<?, ?>> to(String id) {
      List<TBase<?, ?>> found = new ArrayList<>();
      for (int i = 0; i < messages.size(); i++) {
        if (receivers.get(receivers.size() - messages.size() + i).equals(id)) {
          found.add(messages.get(i));
        }
      }
      return found;
    }

    @Override
    public void sendVoteRequest(ReplicaMember to, VoteRequest request) {
      add(to, request);
    }

    @Override
    public void sendAppend(ReplicaMember to, AppendRequest request) {
      add(to, request);
    }

    @Override
    public void sendSnapshot(ReplicaMember to, SnapshotMeta meta, long term, long round) {
      add(to, new SnapshotChunk());
    }

    @Override
    public void sendTimeoutNow(ReplicaMember to, TimeoutNow request) {
      add(to, request);
    }

    @Override
    public void storeChunk(SnapshotChunk chunk, Consumer<SnapshotReply> replyTo) {
      chunks.add(chunk);
    }

    @Override
    public void installSnapshot(SnapshotMeta meta) {}

    @Override
    public void recordEvent(ConsensusEvent event, String detail) {
      events.add(event);
    }

    private void add(ReplicaMember to, TBase<?, ?> message) {
      receivers.add(to.getReplicaId());
      messages.add(message);
    }
  }
}
