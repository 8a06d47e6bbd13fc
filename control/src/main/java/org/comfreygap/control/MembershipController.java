package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.MembershipView;
import org.comfreygap.protocol.generated.EndpointReport;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.InvalidCall;
import org.comfreygap.protocol.generated.Member;
import org.comfreygap.protocol.generated.MemberState;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;

/**
 * Heartbeats and the membership view at the leader.
 *
 * <p>Invariant: answers carry changes of state only; endpoint reports are not passed on. Thread
 * safety: any thread may call; the view is guarded by its own monitor.
 */
@Singleton
final class MembershipController {

  private static final Duration IN_FORCE_POLL = Duration.ofMillis(10);

  private final Leadership leadership;
  private final ControlState state;
  private final ControlSettings settings;

  @Inject
  MembershipController(Leadership leadership, ControlState state, ControlSettings settings) {
    this.leadership = leadership;
    this.state = state;
    this.settings = settings;
  }

  HeartbeatReply heartbeat(HeartbeatRequest request) throws NotLeader, InvalidCall {
    ProcessIdentity identity = request.getIdentity();
    Limits.name("processId", identity.getProcessId());
    Limits.name("startId", identity.getStartId());
    LeaderTerm term = leadership.require();
    long now = System.nanoTime();
    MembershipView.Delta<ProcessIdentity> delta;
    Set<String> addresses = new LinkedHashSet<>();
    synchronized (term.members()) {
      boolean known =
          term.members()
              .heartbeat(
                  new MembershipView.Identity<>(
                      identity.getProcessId(),
                      identity.getStartId(),
                      identity.getAddress(),
                      identity),
                  request.getRevisionInForce(),
                  request.isLeaving(),
                  now);
      if (!known) {
        throw new InvalidCall("given another process, expected no more processes");
      }
      delta = term.members().since(request.getMembershipVersion(), now);
      controlAddresses(term.members().all(), addresses);
    }
    if (request.isSetReport()) {
      noteLoading(term, request.getReport(), now);
    }
    List<Member> members = new ArrayList<>(delta.changed().size());
    delta.changed().forEach(status -> members.add(member(status)));
    return new HeartbeatReply(
        state.revision(),
        term.term(),
        delta.version(),
        members,
        delta.full(),
        List.copyOf(addresses));
  }

  /** Takes note that a process has a revision in force, learned from its watch. */
  void revisionInForce(String processId, long revision) {
    leadership
        .current()
        .ifPresent(
            term -> {
              synchronized (term.members()) {
                term.members().revisionInForce(processId, revision);
              }
            });
  }

  /** Applies the passage of time; called a few times a second. */
  void maintain(LeaderTerm term) {
    synchronized (term.members()) {
      term.members().advance(System.nanoTime());
    }
  }

  void platformList(LeaderTerm term, Map<String, Boolean> leavingByAddress) {
    synchronized (term.members()) {
      term.members().platformList(leavingByAddress, System.nanoTime());
    }
  }

  /** Returns all processes with their states. */
  Collection<MembershipView.Status<ProcessIdentity>> processes(LeaderTerm term) {
    synchronized (term.members()) {
      return term.members().all();
    }
  }

  /**
   * Waits until every process that is not gone has {@code revision} in force.
   *
   * @return the ids of the processes that lag when the time is over; empty when none does
   */
  List<String> awaitInForce(LeaderTerm term, long revision, Duration timeout)
      throws LeadershipLost, InterruptedException {
    long end = System.nanoTime() + timeout.toNanos();
    while (true) {
      if (!leadership.holds(term)) {
        throw new LeadershipLost("the change is committed; leadership ended", false, null);
      }
      long now = System.nanoTime();
      List<String> laggards = laggards(term, revision);
      boolean settled;
      synchronized (term.members()) {
        settled = term.members().settled(now);
      }
      if ((settled && laggards.isEmpty()) || end - now <= 0) {
        return laggards;
      }
      TimeUnit.MILLISECONDS.sleep(IN_FORCE_POLL.toMillis());
    }
  }

  private List<String> laggards(LeaderTerm term, long revision) {
    return processes(term).stream()
        .filter(status -> status.state() != MembershipView.State.GONE)
        .filter(status -> status.identity().description().getKind() != ProcessKind.CONTROL)
        .filter(status -> status.revisionInForce() < revision)
        .map(status -> status.identity().processId())
        .sorted()
        .toList();
  }

  private void controlAddresses(
      Collection<MembershipView.Status<ProcessIdentity>> processes, Set<String> addresses) {
    addresses.addAll(settings.controlAddresses());
    state.replicas().forEach(replica -> addresses.add(replica.rpcAddress()));
    for (MembershipView.Status<ProcessIdentity> status : processes) {
      ProcessIdentity identity = status.identity().description();
      if (identity.getKind() == ProcessKind.CONTROL
          && status.state() != MembershipView.State.GONE) {
        addresses.add(identity.getAddress());
      }
    }
  }

  private static void noteLoading(LeaderTerm term, EndpointReport report, long now) {
    List<String> loading = report.isSetLoading() ? report.getLoading() : List.of();
    synchronized (term.permits()) {
      term.permits().observed(report.getEndpoint(), loading, now);
    }
  }

  private static Member member(MembershipView.Status<ProcessIdentity> status) {
    return new Member(
        status.identity().description(),
        MemberState.valueOf(status.state().name()),
        status.revisionInForce());
  }
}
