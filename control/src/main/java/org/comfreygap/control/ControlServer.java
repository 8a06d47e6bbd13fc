package org.comfreygap.control;

import com.codahale.metrics.health.HealthCheck;
import com.google.inject.Guice;
import com.google.inject.Injector;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.protocol.generated.ControlService;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.MembershipAgent;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.RepeatingTask;
import org.comfreygap.runtime.RuntimeEvent;
import org.comfreygap.runtime.ServiceShell;
import org.comfreygap.runtime.SettingsFileWatcher;
import org.comfreygap.runtime.ThriftServer;

/**
 * A running control instance around a replicated log.
 *
 * <p>Invariant: a planned stop transfers the leadership before anything is closed. Thread safety:
 * {@link #close} is called once.
 */
final class ControlServer implements AutoCloseable {

  private static final int HTTP_THREADS = 32;

  private final Closer closer = new Closer();
  private final EventLog events;
  private final Leadership leadership;
  private final Injector injector;
  private volatile Runnable heartbeat = () -> {};
  private volatile boolean stopping;

  private ControlServer(Injector injector, EventLog events) {
    this.injector = injector;
    this.events = events;
    this.leadership = injector.getInstance(Leadership.class);
  }

  /** Starts the services over {@code log}, whose state machine is {@code state}. */
  static ControlServer start(
      ControlSettings settings,
      ControlState state,
      ReplicatedLog log,
      PeerSecurity security,
      EventLog events)
      throws Exception {
    return start(settings, state, log, security, events, publisher -> List.of(), DutyDialect.NONE);
  }

  /** Starts the services with further resources that use the publisher, and a platform's duties. */
  static ControlServer start(
      ControlSettings settings,
      ControlState state,
      ReplicatedLog log,
      PeerSecurity security,
      EventLog events,
      Function<Publisher, List<Object>> resources,
      DutyDialect dialect)
      throws Exception {
    Injector injector =
        Guice.createInjector(new ControlModule(settings, state, log, events, dialect));
    ControlServer server = new ControlServer(injector, events);
    try {
      server.open(settings, state, log, security, resources);
    } catch (Exception e) {
      server.closer.close();
      throw e;
    }
    events.record(RuntimeEvent.PROCESS_STARTED);
    return server;
  }

  Injector injector() {
    return injector;
  }

  @Override
  public void close() {
    stopping = true;
    events.record(RuntimeEvent.PROCESS_STOPPING);
    leadership.handOver();
    // Where a successor votes already, the leader removes this replica before it is gone.
    heartbeat.run();
    closer.close();
    events.record(RuntimeEvent.PROCESS_STOPPED);
  }

  private void open(
      ControlSettings settings,
      ControlState state,
      ReplicatedLog log,
      PeerSecurity security,
      Function<Publisher, List<Object>> resources)
      throws Exception {
    closer.register(
        ThriftServer.start(
            "control",
            settings.rpcAddress(),
            security,
            new ControlService.Processor<>(injector.getInstance(ControlHandler.class))));
    LeaderDuties duties = closer.register(injector.getInstance(LeaderDuties.class));
    duties.start();
    DutyCaller calls = closer.register(injector.getInstance(DutyCaller.class));
    calls.start();
    ServiceShell.Builder shell = ServiceShell.builder("comfreygap-control");
    ControlMetrics.bind(shell.metrics(), state, log, injector.getInstance(ReplicaAdmission.class));
    injector.getInstance(DutyMetrics.class).bind(shell.metrics());
    if (injector.getInstance(DutySettings.class).asks(Duty.ENDPOINTS)) {
      injector.getInstance(ScaleController.class).bind(shell.metrics());
    }
    closer.register(
        shell
            .http(settings.httpAddress())
            .admin(settings.adminAddress())
            .events(events)
            .threads(HTTP_THREADS)
            .ready(() -> !stopping && log.leader().isPresent())
            .resources(
                environment -> {
                  environment
                      .healthChecks()
                      .register("leader", new LeaderHealthCheck(() -> log.leader().isPresent()));
                  environment.jersey().register(injector.getInstance(SettingsResource.class));
                  environment.jersey().register(injector.getInstance(OperationsResource.class));
                  environment.jersey().register(injector.getInstance(KeysAndZonesResource.class));
                  environment.jersey().register(injector.getInstance(StatusResource.class));
                  environment.jersey().register(injector.getInstance(QuarantineResource.class));
                  resources
                      .apply(injector.getInstance(Publisher.class))
                      .forEach(environment.jersey()::register);
                })
            .start());
    closer.register(startHeartbeats(settings, state, security));
  }

  private AutoCloseable startHeartbeats(
      ControlSettings settings, ControlState state, PeerSecurity security) {
    ProcessIdentity identity =
        new ProcessIdentity(
            settings.processId(),
            ProcessKind.CONTROL,
            UUID.randomUUID().toString(),
            settings.zone(),
            Addresses.text(settings.rpcAddress()),
            Addresses.text(settings.adminAddress()));
    if (settings.joinsAutomatically()) {
      identity.setReplicaId(settings.replicaId());
      identity.setReplicationAddress(settings.replicationAddress());
    }
    ControlClient client =
        new ControlClient(
            withSelf(settings, settings.controlAddresses().stream().map(Addresses::parse).toList()),
            security);
    settings
        .path()
        .ifPresent(
            file ->
                closer.register(
                    SettingsFileWatcher.start(
                        file,
                        events,
                        changed ->
                            client.seeds(
                                withSelf(
                                    settings, ControlSettings.reloadControlAddresses(changed))))));
    heartbeat = () -> ControlHeartbeat.send(client, identity, state.revision(), stopping);
    RepeatingTask duty =
        RepeatingTask.every("control-heartbeat", MembershipAgent.HEARTBEAT_PERIOD, heartbeat::run);
    return () -> {
      duty.close();
      client.close();
    };
  }

  /**
   * Returns the addresses with that of this instance, which knows the leader from its log even when
   * all instances that its settings name are gone.
   */
  private static List<InetSocketAddress> withSelf(
      ControlSettings settings, List<InetSocketAddress> addresses) {
    Set<InetSocketAddress> all = new LinkedHashSet<>(addresses);
    all.add(settings.rpcAddress());
    return List.copyOf(all);
  }

  private static final class LeaderHealthCheck extends HealthCheck {

    private final BooleanSupplier known;

    LeaderHealthCheck(BooleanSupplier known) {
      this.known = known;
    }

    @Override
    protected Result check() {
      return known.getAsBoolean()
          ? Result.healthy()
          : Result.unhealthy("no leader is known to this instance");
    }
  }
}
