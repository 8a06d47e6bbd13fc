package org.comfreygap.relay;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether a request is admitted, before any work is done for it.
 *
 * <p>Invariant: a request that is refused here has not run and will not run. Thread safety: used on
 * the event loop only.
 */
final class Admission {

  private final RelayContext relay;
  private final CallerRequest callerRequest;
  private final long nowNanos;

  Admission(RelayContext relay, CallerRequest callerRequest, long nowNanos) {
    this.relay = relay;
    this.callerRequest = callerRequest;
    this.nowNanos = nowNanos;
  }

  /** Returns the refusal of a request, or empty when it is admitted. */
  Optional<Refusal> refusal(RouteTable table, RouteDecision decision, CrashTrackedRequest tracked) {
    boolean confirmed = relay.settingsConfirmed().getAsBoolean();
    if (decision.refusal().isPresent()) {
      // Unconfirmed tables may lack a route or key that was added since.
      boolean uncertain = table.published() && !confirmed;
      Refusal refusal = uncertain ? Refusal.UNCONFIRMED : decision.refusal().get();
      return Optional.of(confirmed && table.published() ? refusal : withControlRetryTime(refusal));
    }
    if (decision.customer().isPresent() && !confirmed) {
      return Optional.of(withControlRetryTime(Refusal.UNCONFIRMED));
    }
    Optional<Refusal> quarantine = tracked.refusal(nowNanos);
    if (quarantine.isPresent()) {
      return quarantine;
    }
    return outlivesStop(decision) ? Optional.of(Refusal.STOPPING) : Optional.empty();
  }

  private Refusal withControlRetryTime(Refusal refusal) {
    return relay.outages().retryAfterControl(refusal, callerRequest.model().isPresent(), nowNanos);
  }

  /** Returns true for a request that may not complete before this gateway's planned stop ends. */
  private boolean outlivesStop(RouteDecision decision) {
    OptionalLong end = relay.stopDeadline().get();
    return end.isPresent()
        && end.getAsLong() - nowNanos
            < relay
                .durations()
                .maxDuration(decision.route(), callerRequest.timeoutMillis(), nowNanos)
                .toNanos();
  }
}
