package org.comfreygap.control;

import com.google.inject.AbstractModule;
import com.google.inject.name.Names;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.decisions.ScalePolicy;
import org.comfreygap.runtime.EventLog;

/**
 * Guice bindings of a control instance.
 *
 * <p>Thread safety: used once.
 */
final class ControlModule extends AbstractModule {

  private final ControlSettings settings;
  private final ControlState state;
  private final ReplicatedLog log;
  private final EventLog events;
  private final DutyDialect dialect;

  ControlModule(ControlSettings settings, ControlState state, ReplicatedLog log, EventLog events) {
    this(settings, state, log, events, DutyDialect.NONE);
  }

  ControlModule(
      ControlSettings settings,
      ControlState state,
      ReplicatedLog log,
      EventLog events,
      DutyDialect dialect) {
    this.dialect = dialect;
    this.settings = settings;
    this.state = state;
    this.log = log;
    this.events = events;
  }

  @Override
  protected void configure() {
    binder().requireExplicitBindings();
    bind(ControlSettings.class).toInstance(settings);
    bind(ControlState.class).toInstance(state);
    bind(ReplicatedLog.class).toInstance(log);
    bind(EventLog.class).toInstance(events);
    bind(ControlState.ReplicaAddresses.class)
        .annotatedWith(Names.named("self"))
        .toInstance(settings.self());
    bind(Leadership.class);
    bind(ReplicaAdmission.class);
    bind(MembershipController.class);
    bind(WatchController.class);
    bind(CreditController.class);
    bind(PermitController.class);
    bind(LeaseController.class);
    bind(LedgerController.class);
    bind(StreamController.class);
    bind(ControlHandler.class);
    bind(Operators.class);
    bind(SettingsController.class);
    bind(ApiSupport.class);
    bind(SettingsResource.class);
    bind(OperationsResource.class);
    bind(KeysAndZonesResource.class);
    bind(StatusResource.class);
    bind(QuarantineResource.class);
    bind(PlatformListPoller.class);
    bind(DutyDialect.class).toInstance(dialect);
    bind(DutySettings.class).toInstance(settings.duties(dialect));
    bind(FleetTimeController.class);
    bind(DutyMetrics.class);
    bind(DutyHolder.class);
    bind(UsageReports.class);
    bind(ScalePolicy.Settings.class).toInstance(ScaleSettings.of(settings.file()));
    bind(ScaleController.class);
    bind(DutySources.class);
    bind(DutyCaller.class);
    bind(LeaderDuties.class);
    bind(PublicationController.class);
    bind(Publisher.class).to(PublicationController.class);
  }
}
