package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.LoadPermits;
import org.comfreygap.protocol.generated.InvalidCall;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.protocol.generated.PermitReply;
import org.comfreygap.protocol.generated.PermitRequest;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.settings.Priority;

/**
 * Grants load permits at the leader; a request may wait in a queue.
 *
 * <p>Invariant: a permit is granted only under a valid lease. Thread safety: any thread may call;
 * the permits are guarded by their own monitor, on which queued requests wait.
 */
@Singleton
final class PermitController {

  private static final int MAX_WAIT_MILLIS = 5_000;

  private final Leadership leadership;
  private final EventLog events;

  @Inject
  PermitController(Leadership leadership, EventLog events) {
    this.leadership = leadership;
    this.events = events;
  }

  PermitReply acquire(PermitRequest request) throws NotLeader, InvalidCall {
    RequestValidation.requireName("permitId", request.getPermitId());
    RequestValidation.requireName("adapterVersion", request.getAdapterVersion());
    LeaderTerm term = leadership.require();
    LoadPermits permits = term.permits();
    long now = System.nanoTime();
    int wait = Math.max(0, Math.min(MAX_WAIT_MILLIS, request.getWaitMillis()));
    long deadline = now + TimeUnit.MILLISECONDS.toNanos(wait);
    synchronized (permits) {
      if (!permits.enqueue(request(request), now)) {
        events.record(ControlEvent.PERMIT_QUEUE_FULL, Field.of("endpoint", request.getEndpoint()));
        return new PermitReply(false, 0, LoadPermits.LIFETIME.toMillis());
      }
      grant(term);
      Optional<Long> remaining = permits.remaining(request.getPermitId(), now);
      while (remaining.isEmpty() && deadline - now > 0 && leadership.holdsLease(term)) {
        sleep(permits, deadline - now);
        now = System.nanoTime();
        remaining = permits.remaining(request.getPermitId(), now);
      }
      if (!leadership.holdsLease(term)) {
        permits.withdraw(request.getPermitId(), now);
        throw leadership.notLeader();
      }
      return remaining
          .map(nanos -> new PermitReply(true, TimeUnit.NANOSECONDS.toMillis(nanos), 0))
          .orElseGet(() -> withdrawAndRefuse(permits, request.getPermitId()));
    }
  }

  void release(String permitId) throws NotLeader {
    LeaderTerm term = leadership.require();
    synchronized (term.permits()) {
      if (!term.permits().release(permitId)) {
        term.permits().withdraw(permitId, System.nanoTime());
      }
      grant(term);
    }
  }

  /** Grants the permits that have become available; called many times a second. */
  void maintain(LeaderTerm term) {
    synchronized (term.permits()) {
      grant(term);
    }
  }

  private void grant(LeaderTerm term) {
    LoadPermits permits = term.permits();
    if (permits.queued() > 0
        && leadership.holdsLease(term)
        && !permits.grant(System.nanoTime()).isEmpty()) {
      permits.notifyAll();
    }
  }

  private static PermitReply withdrawAndRefuse(LoadPermits permits, String permitId) {
    LoadPermits.Refusal refusal = permits.withdraw(permitId, System.nanoTime());
    long retryAfter = TimeUnit.NANOSECONDS.toMillis(refusal.retryAfterNanos());
    PermitReply reply = new PermitReply(false, 0, retryAfter);
    refusal.loadingAt().ifPresent(reply::setLoadingAt);
    return reply;
  }

  private static void sleep(LoadPermits permits, long nanos) {
    try {
      permits.wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos)));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static LoadPermits.Request request(PermitRequest request) {
    return new LoadPermits.Request(
        request.getPermitId(),
        request.getEndpoint(),
        request.getAdapterVersion(),
        request.getCustomer(),
        Priority.valueOf(request.getPriority().name()));
  }
}
