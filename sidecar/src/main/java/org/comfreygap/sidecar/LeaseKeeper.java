package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.EndpointLeaseReply;
import org.comfreygap.protocol.generated.EndpointLeaseRequest;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailableException;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Acquires and renews the endpoint lease.
 *
 * <p>Thread safety: {@link #step} is run by one duty thread.
 */
@Singleton
final class LeaseKeeper {

  private static final Duration RENEWAL = Duration.ofSeconds(1);
  private static final Duration MAX_WAIT = Duration.ofMillis(500);
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_500);

  private final EndpointLease lease;
  private final ControlClient control;
  private final EndpointCore core;
  private final EventLog events;
  private final EndpointLeaseRequest request;
  private boolean held;
  private boolean heldByOther;

  @Inject
  LeaseKeeper(
      EndpointLease lease,
      ControlClient control,
      EndpointCore core,
      ProcessIdentity identity,
      EventLog events) {
    this.lease = lease;
    this.control = control;
    this.core = core;
    this.events = events;
    this.request =
        new EndpointLeaseRequest(
            identity.getEndpoint(), identity.getProcessId(), identity.getStartId(), 0);
  }

  /** Requests the lease once and waits until the next request is due. */
  void step() throws InterruptedException {
    Duration wait = RENEWAL;
    try {
      long[] sentAt = new long[1];
      EndpointLeaseReply reply =
          control.callLeader(
              CALL_TIMEOUT,
              client -> {
                sentAt[0] = System.nanoTime();
                return client.acquireEndpoint(request);
              });
      wait = apply(reply, sentAt[0]);
    } catch (ControlUnavailableException e) {
      wait = MAX_WAIT;
    }
    recordLossOnExpiry();
    Thread.sleep(wait.toMillis());
  }

  private Duration apply(EndpointLeaseReply reply, long sentAtNanos) {
    if (!reply.isGranted()) {
      if (!heldByOther) {
        heldByOther = true;
        events.record(
            SidecarEvent.ENDPOINT_LEASE_HELD,
            Field.of("retryAfterMillis", reply.getRetryAfterMillis()));
      }
      lease.recordLoss();
      if (held) {
        recordLossOnExpiry();
      }
      long wait = Math.max(1, Math.min(MAX_WAIT.toMillis(), reply.getRetryAfterMillis()));
      return Duration.ofMillis(wait);
    }
    heldByOther = false;
    long lifetime = TimeUnit.MILLISECONDS.toNanos(reply.getLifetimeMillis());
    boolean newLease = lease.recordGrant(reply.getFencing(), sentAtNanos, lifetime);
    request.setFencing(reply.getFencing());
    if (newLease) {
      held = true;
      // Another sidecar may have used the endpoint meanwhile.
      core.runLocked(now -> core.residency.requireStateRead());
      core.wakeMonitor();
      events.record(SidecarEvent.ENDPOINT_LEASE_GAINED, Field.of("fencing", reply.getFencing()));
    }
    return RENEWAL;
  }

  private void recordLossOnExpiry() {
    if (held && !lease.valid(System.nanoTime())) {
      held = false;
      events.record(SidecarEvent.ENDPOINT_LEASE_LOST, Field.of("fencing", lease.fencing()));
    }
  }
}
