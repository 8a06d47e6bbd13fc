package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.comfreygap.consensus.ReplicatedLog;
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
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Handles heartbeats and keeps the membership view at the leader.
 *
 * <p>Invariant: replies carry only changes of state, and only to processes that act on them;
 * endpoint reports are not forwarded. Thread safety: any thread may call; the view is guarded by
 * its own monitor.
 */
@Singleton
final class MembershipController {

  private static final Duration IN_FORCE_POLL = Duration.ofMillis(10);

  private final Leadership leadership;
  private final ControlState state;
  private final ControlSettings settings;
  private final ReplicatedLog log;
  private final EventLog events;
  private final ReplicaAdmission admission;
  private final DutySources duties;
  private volatile List<String> controlAddresses;
  private long recordedVersion;

  @Inject
  MembershipController(
      Leadership leadership,
      ControlState state,
      ControlSettings settings,
      ReplicatedLog log,
      EventLog events,
      ReplicaAdmission admission,
      DutySources duties) {
    this.admission = admission;
    this.duties = duties;
    this.leadership = leadership;
    this.state = state;
    this.settings = settings;
    this.log = log;
    this.events = events;
    this.controlAddresses = settings.controlAddresses();
  }

  HeartbeatReply heartbeat(HeartbeatRequest request) throws NotLeader, InvalidCall {
    ProcessIdentity identity = request.getIdentity();
    RequestValidation.requireName("processId", identity.getProcessId());
    RequestValidation.requireName("startId", identity.getStartId());
    LeaderTerm term = leadership.require();
    long now = System.nanoTime();
    if (identity.getKind() == ProcessKind.CONTROL) {
      admission.recordHeartbeat(identity, request.isLeaving(), now);
    }
    MembershipView.Delta<ProcessIdentity> delta;
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
        throw new InvalidCall(
            "given new process "
                + identity.getProcessId()
                + ", expected a known process because the limit of processes is reached");
      }
      delta = term.members().since(request.getMembershipVersion(), now);
    }
    duties.heartbeat(term, request, now);
    if (request.isSetReport()) {
      recordLoading(term, request.getReport(), now);
    }
    List<Member> members = new ArrayList<>(delta.changed().size());
    for (MembershipView.Status<ProcessIdentity> status : delta.changed()) {
      if (actsOn(identity.getKind(), status.identity().description().getKind())) {
        members.add(toMember(status));
      }
    }
    HeartbeatReply reply =
        new HeartbeatReply(
            state.revision(),
            term.term(),
            delta.version(),
            members,
            delta.full(),
            controlAddresses);
    duties.fleetMillis(term, System.nanoTime()).ifPresent(reply::setFleetMillis);
    return reply;
  }

  /** Records the revision that a process has in force, as reported by its watch. */
  void recordRevisionInForce(String processId, long revision) {
    leadership
        .current()
        .ifPresent(
            term -> {
              synchronized (term.members()) {
                term.members().revisionInForce(processId, revision);
              }
            });
  }

  /**
   * Advances admission and membership to the present time and records state changes; called a few
   * times a second by one thread.
   */
  void maintain(LeaderTerm term) {
    admission.startNextChange(term, System.nanoTime());
    MembershipView.Delta<ProcessIdentity> delta;
    synchronized (term.members()) {
      long now = System.nanoTime();
      term.members().advance(now);
      delta = term.members().since(recordedVersion, now);
    }
    recordedVersion = delta.version();
    for (MembershipView.Status<ProcessIdentity> status : delta.changed()) {
      events.record(
          ControlEvent.PROCESS_STATE_CHANGED,
          Field.of("process", status.identity().processId()),
          Field.of("zone", status.identity().description().getZone()),
          Field.of("state", status.state()));
    }
    controlAddresses = List.copyOf(addresses(processes(term)));
  }

  void applyPlatformList(LeaderTerm term, Map<String, Boolean> leavingByAddress) {
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
   * @return the ids of the processes that still lag at the timeout; empty when none does
   */
  List<String> awaitInForce(LeaderTerm term, long revision, Duration timeout)
      throws LeadershipLost, InterruptedException {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (true) {
      if (!leadership.holdsLease(term)) {
        throw new LeadershipLost(
            "the change is committed, but the leadership was lost before it was in force",
            false,
            null);
      }
      long now = System.nanoTime();
      List<String> laggards = laggards(term, revision);
      boolean settled;
      synchronized (term.members()) {
        settled = term.members().settled(now);
      }
      if ((settled && laggards.isEmpty()) || deadline - now <= 0) {
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

  /**
   * Returns the RPC addresses of the members and of instances that send heartbeats. Those of the
   * settings file belong to the first start: they are named only while members are unknown, which
   * have neither led nor sent a heartbeat to this leader.
   */
  private Set<String> addresses(Collection<MembershipView.Status<ProcessIdentity>> processes) {
    Set<String> members = new HashSet<>();
    log.members().forEach(member -> members.add(member.getReplicaId()));
    Set<String> addresses = new LinkedHashSet<>();
    for (ControlState.ReplicaAddresses replica : state.replicas()) {
      if (members.contains(replica.replicaId())) {
        addresses.add(replica.rpcAddress());
      }
    }
    for (MembershipView.Status<ProcessIdentity> status : processes) {
      ProcessIdentity identity = status.identity().description();
      boolean removed =
          identity.isSetReplicaId()
              && !members.contains(identity.getReplicaId())
              && status.state() != MembershipView.State.LIVE;
      // An instance that only forwards calls has no RPC address.
      if (identity.getKind() == ProcessKind.CONTROL
          && !identity.getAddress().isEmpty()
          && !removed
          && status.state() != MembershipView.State.GONE) {
        addresses.add(identity.getAddress());
      }
    }
    if (addresses.size() < members.size()) {
      addresses.addAll(settings.controlAddresses());
    }
    return addresses;
  }

  private static void recordLoading(LeaderTerm term, EndpointReport report, long now) {
    List<String> loading = report.isSetLoading() ? report.getLoading() : List.of();
    synchronized (term.permits()) {
      term.permits().observed(report.getEndpoint(), loading, now);
    }
  }

  /**
   * Returns true when a process of kind {@code receiver} acts on the state of one of kind {@code
   * other}. Only gateways do, on sidecars and on the number of gateways; sending the full view to
   * sidecars as well would cost each of them 170 KB at a leader change.
   */
  private static boolean actsOn(ProcessKind receiver, ProcessKind other) {
    return receiver == ProcessKind.GATEWAY && other != ProcessKind.CONTROL;
  }

  private static Member toMember(MembershipView.Status<ProcessIdentity> status) {
    return new Member(
        status.identity().description(),
        MemberState.valueOf(status.state().name()),
        status.revisionInForce());
  }
}
