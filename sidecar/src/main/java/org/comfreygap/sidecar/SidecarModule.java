package org.comfreygap.sidecar;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.micrometer.core.instrument.MeterRegistry;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.SharedKey;

/**
 * Guice module that wires the components of a sidecar.
 *
 * <p>Thread safety: immutable.
 */
final class SidecarModule extends AbstractModule {

  private final Dependencies parts;

  SidecarModule(Dependencies parts) {
    this.parts = parts;
  }

  /** Externally created objects that the components depend on. */
  record Dependencies(
      SidecarSettings settings,
      ProcessIdentity identity,
      SharedKey key,
      ControlClient control,
      ControlView view,
      EngineClient engine,
      EventLog events,
      MeterRegistry metrics) {}

  @Override
  protected void configure() {
    bind(SidecarSettings.class).toInstance(parts.settings());
    bind(ProcessIdentity.class).toInstance(parts.identity());
    bind(SharedKey.class).toInstance(parts.key());
    bind(ControlClient.class).toInstance(parts.control());
    bind(ControlView.class).toInstance(parts.view());
    bind(EngineClient.class).toInstance(parts.engine());
    bind(EventLog.class).toInstance(parts.events());
    bind(MeterRegistry.class).toInstance(parts.metrics());
    bind(EndpointLease.class).toInstance(new EndpointLease());
  }

  @Provides
  @Singleton
  DispatchChecks checks(SidecarSettings settings, ControlView view, EndpointLease lease) {
    return new DispatchChecks(settings.endpoint(), view, lease);
  }
}
