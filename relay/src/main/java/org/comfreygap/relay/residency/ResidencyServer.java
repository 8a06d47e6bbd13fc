package org.comfreygap.relay.residency;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.relay.HttpPeerClient;
import org.comfreygap.relay.PeerMessages;
import org.comfreygap.relay.PlainHttpServer;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.MembershipAgent;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.RuntimeEvent;
import org.comfreygap.runtime.SettingsFileWatcher;
import org.comfreygap.runtime.Timeline;
import org.comfreygap.settings.SettingsView;

/**
 * A sidecar that is the only process to send commands to the engine beside it, and reports the
 * engine's state to gateways. Requests do not pass through it.
 *
 * <pre>{@code
 * AutoCloseable sidecar = ResidencyServer.start(settingsFile, dialect);
 * }</pre>
 *
 * <p>Thread safety: {@link #close} may be called from any thread.
 *
 * @since 0.2
 */
public final class ResidencyServer implements AutoCloseable {

  private static final Duration HEARTBEAT = Duration.ofMillis(1_000);
  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration WATCH_WAIT = Duration.ofMillis(1_000);
  private static final Duration WATCH_SLACK = Duration.ofMillis(400);
  private static final Duration LEASE = Duration.ofMillis(5_000);

  private final ResidencySettings settings;
  private final EventLog events;
  private final Closer closer = new Closer();
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private volatile SettingsView view = SettingsView.empty();

  private ResidencyServer(ResidencySettings settings, EventLog events) {
    this.settings = settings;
    this.events = events;
  }

  /**
   * Starts a sidecar from its settings file.
   *
   * @throws Exception when the settings are invalid or an address cannot be used
   */
  public static AutoCloseable start(Path settingsFile, EngineDialect dialect) throws Exception {
    ResidencySettings settings = ResidencySettings.load(settingsFile);
    EventLog events =
        new EventLog(
            settings.processId(),
            new HybridClock(System::currentTimeMillis),
            new Timeline(Timeline.DEFAULT_CAPACITY));
    ResidencyServer server = new ResidencyServer(settings, events);
    server.closer.register(events);
    try {
      server.open(settingsFile, dialect);
    } catch (Exception e) {
      server.closer.close();
      throw e;
    }
    events.record(
        RuntimeEvent.PROCESS_STARTED,
        Field.of("engine", settings.engineAddress()),
        Field.of("pool", settings.pool()));
    return server;
  }

  @Override
  public void close() {
    events.record(RuntimeEvent.PROCESS_STOPPING);
    events.record(RuntimeEvent.PROCESS_STOPPED);
    closer.close();
  }

  private void open(Path settingsFile, EngineDialect dialect) throws Exception {
    PeerSecurity security = PeerSecurity.from(settings.file());
    closer.register(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
    EngineLimit limit = new EngineLimit(dialect, events);
    HttpPeerClient reportClient = engineClient(EngineReportPoller.TIMEOUT);
    limit.observe(reportClient);
    HttpPeerClient healthClient = engineClient(ColdStatePoller.TIMEOUT);
    limit.observe(healthClient);
    ReadingPermits reading = new ReadingPermits(dialect, settings.assumedPacePercent());
    reading.observe(reportClient);
    reading.observe(healthClient);
    reading.ask(
        engineClient(ReadingPermits.ASK_TIMEOUT),
        () ->
            limit.isLimited()
                ? Optional.empty()
                : view.pool(settings.pool()).map(pool -> pool.healthPath()));
    ResidencyController controller =
        new ResidencyController(
            loop,
            dialect,
            engineClient(ResidencyController.COMMAND_TIMEOUT),
            settings.processId(),
            () -> view.pool(settings.pool()),
            limit,
            reading,
            events);
    EngineReportPoller watch =
        new EngineReportPoller(
            loop,
            dialect,
            reportClient,
            events,
            controller::busy,
            () -> view.pool(settings.pool()).map(pool -> pool.healthPath()),
            controller::reportReceived,
            controller::engineUnreachable);
    ColdStatePoller coldWatch =
        new ColdStatePoller(
            loop,
            events,
            dialect,
            healthClient,
            () -> view.pool(settings.pool()).map(pool -> pool.healthPath()),
            controller::startedRecently,
            limit::isLimited,
            controller::updateColdState);
    listen(security, controller);
    PlainHttpServer.start(group, settings.adminAddress(), path -> page(path, controller));
    ControlClient control = closer.register(new ControlClient(settings.control(), security));
    closer.register(
        SettingsFileWatcher.start(
            settingsFile, events, file -> control.seeds(ResidencySettings.load(file).control())));
    join(control, controller);
    loop.execute(watch::start);
    closer.register(watch::close);
    loop.execute(coldWatch::start);
    closer.register(coldWatch::close);
  }

  private HttpPeerClient engineClient(Duration timeout) {
    return new HttpPeerClient(
        loop, settings.engineAddress(), timeout, HttpPeerClient.ENDPOINT_RESPONSE_BYTES);
  }

  private PlainHttpServer.Page page(String path, ResidencyController controller) {
    if (path.startsWith("/timeline")) {
      return PlainHttpServer.timeline(events.timeline(), path);
    }
    return path.startsWith("/metrics")
        ? PlainHttpServer.Page.text(200, controller.metrics())
        : PlainHttpServer.Page.notFound();
  }

  private void listen(PeerSecurity security, ResidencyController controller) {
    Channel acceptor =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new PeerMessages(PeerMessages.Side.SERVER, security.sharedKey(), controller))
            .bind(settings.linkAddress())
            .syncUninterruptibly()
            .channel();
    closer.register(acceptor::close);
  }

  private void join(ControlClient control, ResidencyController controller) {
    ProcessIdentity identity =
        new ProcessIdentity(
            settings.processId(),
            ProcessKind.SIDECAR,
            UUID.randomUUID().toString(),
            settings.zone(),
            Addresses.text(settings.linkAddress()),
            Addresses.text(settings.adminAddress()));
    MembershipAgent agent =
        closer.register(
            MembershipAgent.start(
                identity,
                control,
                events,
                Optional::empty,
                new MembershipAgent.Timing(
                    HEARTBEAT,
                    HEARTBEAT_TIMEOUT,
                    ATTEMPT_TIMEOUT,
                    WATCH_WAIT,
                    WATCH_SLACK,
                    LEASE)));
    agent.onSettings(
        newest -> {
          view = newest;
          loop.execute(() -> controller.settingsChanged(newest));
        });
  }
}
