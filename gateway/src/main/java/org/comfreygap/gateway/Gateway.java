package org.comfreygap.gateway;

import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.Stage;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.UUID;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailableException;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.MembershipAgent;
import org.comfreygap.runtime.RuntimeEvent;
import org.comfreygap.runtime.ServiceShell;
import org.comfreygap.runtime.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running gateway.
 *
 * <pre>{@code
 * try (Gateway gateway = Gateway.start(settings)) { ... }
 * }</pre>
 *
 * <p>Invariant: {@link #close} interrupts no request; it waits for requests in progress up to the
 * request timeout. Thread safety: {@link #close} may be called from any thread.
 *
 * @since 0.1
 */
public final class Gateway implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

  // Threads in addition to the workers, so that requests beyond the worker limit are refused
  // immediately.
  private static final int REJECTION_THREADS = 32;

  private final GatewaySettings settings;
  private final Closer closer = new Closer();
  private final InFlightRequests inFlight;
  private final MembershipAgent agent;
  private final EventLog events;
  private final ControlClient control;
  private final ProcessStart start;
  private ServiceShell shell;

  private Gateway(GatewaySettings settings) {
    this.settings = settings;
    this.inFlight = new InFlightRequests(settings.workers());
    HybridClock clock = new HybridClock(System::currentTimeMillis);
    this.events =
        closer.register(
            new EventLog(settings.processId(), clock, new Timeline(Timeline.DEFAULT_CAPACITY)));
    this.control = closer.register(new ControlClient(settings.control(), settings.security()));
    ProcessStart start = new ProcessStart(UUID.randomUUID().toString());
    this.agent =
        closer.register(
            MembershipAgent.start(identity(settings, start), control, events, Optional::empty));
    this.start = start;
  }

  /**
   * Starts a gateway.
   *
   * @throws Exception when an address cannot be bound
   */
  public static Gateway start(GatewaySettings settings) throws Exception {
    Gateway gateway = new Gateway(settings);
    try {
      gateway.serve();
      return gateway;
    } catch (Exception e) {
      gateway.closer.close();
      throw e;
    }
  }

  /** Returns true while the load balancer should route requests to this gateway. */
  public boolean ready() {
    return agent.admits() && !inFlight.draining();
  }

  /** Returns the event log. */
  public EventLog events() {
    return events;
  }

  /** Returns the metrics in the text exposition format. */
  public String metrics() {
    return shell.metrics().scrape();
  }

  /**
   * Shuts down: leaves the membership, waits for the load balancer to notice, finishes requests in
   * progress and returns credit.
   */
  @Override
  public void close() {
    events.record(RuntimeEvent.PROCESS_STOPPING);
    inFlight.startDraining();
    events.record(GatewayEvent.DRAIN_STARTED, Field.of("active", inFlight.active()));
    agent.leave();
    try {
      agent.sendHeartbeat();
    } catch (ControlUnavailableException e) {
      LOG.debug("failed to notify control of the shutdown; the periodic heartbeat will retry", e);
    }
    try {
      Thread.sleep(settings.stopLag().toMillis());
      boolean finished = inFlight.awaitIdle(settings.requestTimeout());
      events.record(GatewayEvent.DRAIN_ENDED, Field.of("complete", finished));
      events.record(RuntimeEvent.PROCESS_STOPPED);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closer.close();
    }
  }

  private void serve() throws Exception {
    ServiceShell.Builder builder = ServiceShell.builder("comfreygap-gateway");
    GatewayMetrics metrics = new GatewayMetrics(builder.metrics());
    metrics.registerActiveRequests(inFlight::active);
    Injector injector =
        Guice.createInjector(
            Stage.PRODUCTION,
            new GatewayModule(settings, start, control, agent, events, metrics, inFlight));
    closer.register(injector.getInstance(SidecarClient.class));
    EndpointDirectory endpoints = closer.register(injector.getInstance(EndpointDirectory.class));
    CrashController crashes = closer.register(injector.getInstance(CrashController.class));
    closer.register(injector.getInstance(AttemptRunner.class));
    CreditController credit = closer.register(injector.getInstance(CreditController.class));
    LedgerController ledger = closer.register(injector.getInstance(LedgerController.class));
    ledger.start();
    endpoints.start();
    crashes.start();
    credit.start();
    shell =
        builder
            .http(settings.httpAddress())
            .admin(settings.adminAddress())
            .events(events)
            .threads(settings.workers() + REJECTION_THREADS)
            .idleTimeout(settings.idleTimeout())
            .ready(this::ready)
            .resources(
                environment -> {
                  environment.jersey().register(injector.getInstance(CompletionsResource.class));
                  environment.jersey().register(injector.getInstance(ServicesResource.class));
                  environment.jersey().register(injector.getInstance(RoutingErrorMapper.class));
                  RequestPipeline pipeline = injector.getInstance(RequestPipeline.class);
                  environment
                      .lifecycle()
                      .addServerLifecycleListener(
                          server -> server.setErrorHandler(new ProtocolErrorHandler(pipeline)));
                })
            .start();
    closer.register(shell);
    InetSocketAddress address = settings.httpAddress();
    events.record(RuntimeEvent.PROCESS_STARTED, Field.of("address", Addresses.text(address)));
  }

  private static ProcessIdentity identity(GatewaySettings settings, ProcessStart start) {
    return new ProcessIdentity(
        settings.processId(),
        ProcessKind.GATEWAY,
        start.startId(),
        settings.zone(),
        Addresses.text(settings.httpAddress()),
        Addresses.text(settings.adminAddress()));
  }
}
