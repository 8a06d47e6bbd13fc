package org.comfreygap.sidecar;

import java.util.Optional;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.RefusalReason;
import org.comfreygap.protocol.generated.Route;
import org.comfreygap.settings.Documents.Adapter;
import org.comfreygap.settings.Documents.Endpoint;
import org.comfreygap.settings.Documents.EndpointKind;
import org.comfreygap.settings.Documents.EndpointState;
import org.comfreygap.settings.SettingsView;

/**
 * The conditions under which an attempt may run, checked on arrival and again at dispatch: endpoint
 * lease, settings lease, zone, leaving state, key, customer, quarantine and deadline.
 *
 * <p>Thread safety: immutable; its collaborators are thread-safe.
 */
final class DispatchChecks {

  private final String endpoint;
  private final ControlView control;
  private final EndpointLease lease;

  DispatchChecks(String endpoint, ControlView control, EndpointLease lease) {
    this.endpoint = endpoint;
    this.control = control;
    this.lease = lease;
  }

  /** Returns the reason to refuse {@code attempt} now, or empty when it may run. */
  Optional<RefusalReason> refusal(Attempt attempt, long nowNanos) {
    AttemptRequest request = attempt.request;
    if (!request.getEndpoint().equals(endpoint)) {
      return Optional.of(RefusalReason.WRONG_ENDPOINT);
    }
    if (attempt.deadlineExpired(nowNanos)) {
      return Optional.of(RefusalReason.DEADLINE);
    }
    if (!lease.valid(nowNanos)) {
      return Optional.of(RefusalReason.NO_LEASE);
    }
    if (!control.settingsLeaseValid()) {
      return Optional.of(RefusalReason.STALE_SETTINGS);
    }
    if (control.quarantined(request.getFingerprint(), nowNanos)) {
      return Optional.of(RefusalReason.QUARANTINED);
    }
    return settingsRefusal(request, control.settings());
  }

  private Optional<RefusalReason> settingsRefusal(AttemptRequest request, SettingsView settings) {
    Optional<Endpoint> own = settings.endpoint(endpoint);
    if (own.isEmpty()) {
      return Optional.of(RefusalReason.STALE_SETTINGS);
    }
    boolean service = own.get().kind() == EndpointKind.SERVICE;
    if (service != (request.getRoute() == Route.SERVICE)) {
      return Optional.of(RefusalReason.WRONG_ENDPOINT);
    }
    if (!settings.zoneIn(own.get().zone())) {
      return Optional.of(RefusalReason.ZONE_OUT);
    }
    if (own.get().state() == EndpointState.LEAVING) {
      return Optional.of(RefusalReason.LEAVING);
    }
    if (keyPermitted(request, settings) && adapterPermitted(request, settings)) {
      return Optional.empty();
    }
    // The gateway may know a key or an adapter that has not reached this process yet.
    return Optional.of(
        request.getSettingsRevision() > settings.revision()
            ? RefusalReason.STALE_SETTINGS
            : RefusalReason.KEY_WITHDRAWN);
  }

  private static boolean keyPermitted(AttemptRequest request, SettingsView settings) {
    boolean withoutKey = !request.isSetKeyId() || request.getKeyId().isEmpty();
    if (withoutKey) {
      // Only an open service route accepts requests without a key.
      return request.getRoute() == Route.SERVICE && request.getCustomer().isEmpty();
    }
    return settings.isKeyActive(request.getCustomer(), request.getKeyId());
  }

  private static boolean adapterPermitted(AttemptRequest request, SettingsView settings) {
    if (request.getRoute() == Route.SERVICE) {
      return true;
    }
    Optional<Adapter> adapter = settings.adapter(request.getAdapter());
    return adapter.isPresent() && adapter.get().permits(request.getCustomer());
  }
}
