package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.EndpointLeases;
import org.comfreygap.protocol.generated.EndpointLeaseReply;
import org.comfreygap.protocol.generated.EndpointLeaseRequest;
import org.comfreygap.protocol.generated.InvalidCall;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Grants endpoint leases at the leader.
 *
 * <p>Invariant: holder and fencing number are committed before a lease is granted. Thread safety:
 * any thread may call; the leases are guarded by their own monitor.
 */
@Singleton
final class LeaseController {

  private final Leadership leadership;
  private final ControlState state;
  private final EventLog events;

  @Inject
  LeaseController(Leadership leadership, ControlState state, EventLog events) {
    this.leadership = leadership;
    this.state = state;
    this.events = events;
  }

  EndpointLeaseReply acquire(EndpointLeaseRequest request) throws NotLeader, InvalidCall {
    RequestValidation.requireName("endpoint", request.getEndpoint());
    RequestValidation.requireName("processId", request.getProcessId());
    RequestValidation.requireName("startId", request.getStartId());
    LeaderTerm term = leadership.require();
    EndpointLeases.Decision decision = decide(term, request);
    if (decision.kind() == EndpointLeases.Kind.COMMIT_FIRST) {
      commit(term, request, decision.fencing());
      decision = decide(term, request);
    }
    if (!leadership.holdsLease(term)) {
      throw leadership.notLeader();
    }
    boolean granted = decision.kind() == EndpointLeases.Kind.GRANTED;
    return new EndpointLeaseReply(
        granted,
        decision.fencing(),
        granted ? EndpointLeases.HOLDER_LIFETIME.toMillis() : 0,
        TimeUnit.NANOSECONDS.toMillis(decision.waitNanos()));
  }

  private EndpointLeases.Decision decide(LeaderTerm term, EndpointLeaseRequest request) {
    EndpointLeases.Holder holder =
        new EndpointLeases.Holder(request.getProcessId(), request.getStartId());
    synchronized (term.leases()) {
      return term.leases()
          .acquire(
              request.getEndpoint(),
              holder,
              state.endpointGrant(request.getEndpoint()),
              System.nanoTime());
    }
  }

  private void commit(LeaderTerm term, EndpointLeaseRequest request, long fencing)
      throws NotLeader, InvalidCall {
    if (fencing == 1 && state.endpointCount() >= ControlState.MAX_ENDPOINTS) {
      throw new InvalidCall(
          "given new endpoint "
              + request.getEndpoint()
              + ", expected at most "
              + ControlState.MAX_ENDPOINTS
              + " endpoints");
    }
    try {
      leadership.commit(
          term,
          millis ->
              new Command.GrantEndpoint(
                  millis,
                  request.getEndpoint(),
                  request.getProcessId(),
                  request.getStartId(),
                  fencing),
          EndpointLeases.Grant.class);
    } catch (LeadershipLost e) {
      throw leadership.notLeader();
    }
    events.record(
        ControlEvent.ENDPOINT_GRANTED,
        Field.of("endpoint", request.getEndpoint()),
        Field.of("process", request.getProcessId()),
        Field.of("fencing", fencing));
  }
}
