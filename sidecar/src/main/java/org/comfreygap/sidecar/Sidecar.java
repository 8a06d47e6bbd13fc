package org.comfreygap.sidecar;

import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.core.setup.Environment;
import java.nio.file.Path;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.MembershipAgent;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.ProcessSettings;
import org.comfreygap.runtime.RepeatingTask;
import org.comfreygap.runtime.RuntimeEvent;
import org.comfreygap.runtime.ServiceShell;
import org.comfreygap.runtime.Timeline;
import org.comfreygap.settings.SettingsView;

/**
 * A running sidecar.
 *
 * <pre>{@code
 * try (Sidecar sidecar = Sidecar.start(Path.of("sidecar.yaml"))) { ... }
 * }</pre>
 *
 * <p>Invariant: {@link #close} first notifies control that the sidecar is leaving, then refuses new
 * work, and returns only when every attempt has ended or the stop limit has elapsed. Thread safety:
 * {@link #close} may be called from any thread.
 *
 * @since 0.1
 */
public final class Sidecar implements AutoCloseable {

  /** Maximum time a planned stop waits for attempts to end. */
  static final Duration STOP_LIMIT = Duration.ofMinutes(10);

  private static final Duration TICK_PERIOD = Duration.ofMillis(50);
  private static final Duration STOP_POLL_PERIOD = Duration.ofMillis(20);
  private static final int REQUEST_THREADS = 16;

  private final Closer closer = new Closer();
  private final EventLog events;
  private final SidecarSettings settings;
  private final EndpointCore core;
  private final EndpointLease lease;
  private final AttemptController attempts;
  private final AttemptStreams streams;
  private final MembershipAgent agent;

  private Sidecar(SidecarSettings settings, PeerSecurity security) throws Exception {
    this.settings = settings;
    this.events =
        closer.register(
            new EventLog(
                settings.processId(),
                new HybridClock(System::currentTimeMillis),
                new Timeline(Timeline.DEFAULT_CAPACITY)));
    ControlClient control =
        closer.register(
            new ControlClient(
                settings.control().stream().map(Addresses::parse).toList(), security));
    HttpEngineClient engine = closer.register(new HttpEngineClient(settings.endpointUrl()));
    ProcessIdentity identity = identity(settings);
    AtomicReference<MembershipAgent> agentSlot = new AtomicReference<>();
    ServiceShell.Builder shell = ServiceShell.builder("comfreygap-sidecar");
    Injector injector =
        Guice.createInjector(
            new SidecarModule(
                new SidecarModule.Dependencies(
                    settings,
                    identity,
                    security.sharedKey(),
                    control,
                    new AgentView(agentSlot),
                    engine,
                    events,
                    shell.metrics())));
    this.core = injector.getInstance(EndpointCore.class);
    this.lease = injector.getInstance(EndpointLease.class);
    this.attempts = injector.getInstance(AttemptController.class);
    this.streams = injector.getInstance(AttemptStreams.class);
    // The agent uses the collaborators created above, so it starts after them and before the
    // listener.
    this.agent = closer.register(MembershipAgent.start(identity, control, events, core::report));
    agentSlot.set(agent);
    agent.onSettings(view -> applySettings(view, engine));
    startDuties(injector);
    closer.register(
        shell
            .http(settings.attemptAddress())
            .admin(settings.adminAddress())
            .events(events)
            .threads(REQUEST_THREADS)
            .ready(this::ready)
            .resources(environment -> register(environment, injector))
            .start());
    events.record(RuntimeEvent.PROCESS_STARTED, Field.of("endpoint", settings.endpoint()));
  }

  /**
   * Starts a sidecar with the settings in {@code file}.
   *
   * @throws Exception when the settings are invalid or an address cannot be bound
   */
  public static Sidecar start(Path file) throws Exception {
    ProcessSettings process = ProcessSettings.load(file, SidecarSettings.SCHEMA);
    return start(SidecarSettings.from(process), PeerSecurity.from(process));
  }

  /**
   * Starts a sidecar.
   *
   * @throws Exception when an address cannot be bound
   */
  static Sidecar start(SidecarSettings settings, PeerSecurity security) throws Exception {
    return new Sidecar(settings, security);
  }

  @Override
  public void close() {
    events.record(RuntimeEvent.PROCESS_STOPPING);
    agent.leave();
    attempts.stopAccepting();
    awaitIdle();
    events.record(RuntimeEvent.PROCESS_STOPPED);
    closer.close();
  }

  /** Returns true when the sidecar accepts attempts. */
  boolean ready() {
    return agent.admits() && lease.valid(System.nanoTime()) && core.reachable();
  }

  /** Returns the number of queued attempts. */
  int queued() {
    return core.computeLocked(now -> core.queue.size());
  }

  /** Stops immediately without waiting for attempts, as in a crash. */
  void kill() {
    // Otherwise the HTTP server would wait for open streams.
    streams.closeAll();
    closer.close();
  }

  private void awaitIdle() {
    long limit = System.nanoTime() + STOP_LIMIT.toNanos();
    try {
      while (!(attempts.idle() && streams.open() == 0) && System.nanoTime() - limit < 0) {
        Thread.sleep(STOP_POLL_PERIOD.toMillis());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void applySettings(SettingsView view, HttpEngineClient engine) {
    view.endpoint(settings.endpoint())
        .ifPresent(
            endpoint -> {
              engine.kind(endpoint.kind());
              core.configure(endpoint);
            });
    // Refuses queued attempts that the change forbids before the revision counts as applied.
    attempts.tick();
  }

  private void startDuties(Injector injector) {
    duty("endpoint-lease", injector.getInstance(LeaseKeeper.class)::step);
    duty("endpoint-state", injector.getInstance(EndpointMonitor.class)::step);
    duty("adapter-loader", injector.getInstance(AdapterLoader.class)::step);
    ControlReports reports = closer.register(injector.getInstance(ControlReports.class).start());
    duty("permit-releases", reports::step);
    closer.register(RepeatingTask.every("attempt-timer", TICK_PERIOD, attempts::tick));
    closer.register(
        RepeatingTask.every("attempt-beats", AttemptStreams.CHECK_PERIOD, streams::beat));
  }

  private void duty(String name, RepeatingTask.Step step) {
    closer.register(RepeatingTask.continuous(name, step));
  }

  private static void register(Environment environment, Injector injector) {
    var servlet =
        environment.servlets().addServlet("attempts", injector.getInstance(AttemptServlet.class));
    servlet.setAsyncSupported(true);
    servlet.addMapping(AttemptServlet.PATH);
    environment.jersey().register(injector.getInstance(CancelResource.class));
  }

  private static ProcessIdentity identity(SidecarSettings settings) {
    return new ProcessIdentity(
            settings.processId(),
            ProcessKind.SIDECAR,
            UUID.randomUUID().toString(),
            settings.zone(),
            Addresses.text(settings.attemptAddress()),
            Addresses.text(settings.adminAddress()))
        .setEndpoint(settings.endpoint());
  }

  /** Delegates to the membership agent, which starts after the components that use this view. */
  private record AgentView(AtomicReference<MembershipAgent> agent) implements ControlView {

    @Override
    public SettingsView settings() {
      MembershipAgent known = agent.get();
      return known == null ? SettingsView.empty() : known.settings();
    }

    @Override
    public boolean settingsLeaseValid() {
      MembershipAgent known = agent.get();
      return known != null && known.admits();
    }

    @Override
    public boolean quarantined(String fingerprint, long nowNanos) {
      MembershipAgent known = agent.get();
      return known != null && known.quarantined(fingerprint, nowNanos);
    }
  }
}
