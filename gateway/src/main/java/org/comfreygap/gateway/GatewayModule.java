package org.comfreygap.gateway;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.MembershipAgent;

/**
 * Guice bindings of a gateway.
 *
 * <p>Thread safety: immutable.
 */
final class GatewayModule extends AbstractModule {

  private final GatewaySettings settings;
  private final ProcessStart start;
  private final ControlClient control;
  private final MembershipAgent agent;
  private final EventLog events;
  private final GatewayMetrics metrics;
  private final InFlightRequests inFlight;

  GatewayModule(
      GatewaySettings settings,
      ProcessStart start,
      ControlClient control,
      MembershipAgent agent,
      EventLog events,
      GatewayMetrics metrics,
      InFlightRequests drain) {
    this.settings = settings;
    this.start = start;
    this.control = control;
    this.agent = agent;
    this.events = events;
    this.metrics = metrics;
    this.inFlight = drain;
  }

  @Override
  protected void configure() {
    bind(GatewaySettings.class).toInstance(settings);
    bind(ProcessStart.class).toInstance(start);
    bind(ControlClient.class).toInstance(control);
    bind(MembershipAgent.class).toInstance(agent);
    bind(EventLog.class).toInstance(events);
    bind(GatewayMetrics.class).toInstance(metrics);
    bind(InFlightRequests.class).toInstance(inFlight);
    bind(BodyReader.class)
        .toInstance(new BodyReader(settings.maxBodyBytes(), settings.bodyTimeout()));
  }

  @Provides
  @Singleton
  FilterChain filters(
      AdmissionFilter admission,
      AuthenticationFilter authentication,
      ResolutionFilter resolution,
      QuarantineFilter quarantine,
      CreditFilter credit,
      LedgerFilter ledger,
      DispatchFilter dispatch) {
    return FilterChain.of(
        java.util.List.of(
            admission, authentication, resolution, quarantine, credit, ledger, dispatch));
  }
}
