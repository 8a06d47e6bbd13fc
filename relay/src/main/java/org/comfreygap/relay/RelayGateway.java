package org.comfreygap.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.comfreygap.decisions.FleetSize;
import org.comfreygap.decisions.HedgePolicy;
import org.comfreygap.decisions.KnownFleet;
import org.comfreygap.decisions.LimiterChoice;
import org.comfreygap.decisions.LoopPauses;
import org.comfreygap.decisions.PauseWatch;
import org.comfreygap.decisions.RetryBudgets;
import org.comfreygap.decisions.ZoneReader;
import org.comfreygap.protocol.generated.Member;
import org.comfreygap.protocol.generated.MemberState;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.ClockReading;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.MembershipAgent;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.Program;
import org.comfreygap.runtime.RuntimeEvent;
import org.comfreygap.runtime.SettingsFileWatcher;
import org.comfreygap.runtime.Timeline;
import org.comfreygap.settings.SettingsView;

/**
 * A gateway that forwards requests by routes, on one event loop.
 *
 * <pre>{@code
 * AutoCloseable gateway = RelayGateway.start(settingsFile, dialect, listing);
 * }</pre>
 *
 * <p>Invariant: it is ready only while it can serve: tables are in force and confirmed, the list of
 * endpoints was read, and no stop has begun. Thread safety: {@link #close} may be called from any
 * thread.
 *
 * @since 0.2
 */
public final class RelayGateway implements Program.Stoppable {

  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1_000);
  // Half of an election; a response takes a few milliseconds.
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(300);
  // A change takes effect soon enough even when the watched replica hangs just before it.
  private static final Duration WATCH_WAIT = Duration.ofMillis(600);
  private static final Duration WATCH_SLACK = Duration.ofMillis(300);
  private static final Duration READINESS_PERIOD = Duration.ofMillis(100);
  private static final Duration LIMITER_PERIOD = Duration.ofMillis(200);
  // A restart has completed by then.
  private static final Duration JVM_METRICS_DELAY = Duration.ofSeconds(5);
  private static final int ACCEPT_BACKLOG = 1_024;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final RelaySettings settings;
  private final EventLog events;
  private final RelayMetrics metrics = new RelayMetrics();
  private final Closer closer = new Closer();
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final Set<CallerConnection> callers = new HashSet<>();
  private final AtomicInteger gateways = new AtomicInteger(1);
  private final FleetSize fleetSize = new FleetSize(FleetSize.HOLD);
  private final KnownFleet retryFleet;
  private final UsageCounter usage;
  private double retryPart;
  private volatile int sharingGateways;
  private volatile double retriesLeft;
  private final Outages outages = new Outages();
  private volatile RouteTable table = RouteTable.empty();
  private volatile boolean ready;
  private volatile boolean stopping;
  private volatile long stopEndNanos;
  private Optional<MembershipAgent> agent = Optional.empty();
  private Optional<Channel> acceptor = Optional.empty();
  private volatile Optional<ListingPoller> listingPoller = Optional.empty();

  private RelayGateway(RelaySettings settings, EventLog events) {
    this.settings = settings;
    this.events = events;
    this.retryFleet = new KnownFleet(settings.retryWindow());
    this.usage = new UsageCounter(settings.usageWindow(), settings.usageLateness());
  }

  /**
   * Starts a gateway from its settings file.
   *
   * @throws Exception when the settings are invalid or an address cannot be used
   */
  public static AutoCloseable start(
      Path settingsFile, RequestDialect dialect, ListingFormat listing) throws Exception {
    RelaySettings settings = RelaySettings.load(settingsFile);
    EventLog events =
        new EventLog(
            settings.processId(),
            new HybridClock(System::currentTimeMillis),
            new Timeline(Timeline.DEFAULT_CAPACITY));
    RelayGateway gateway = new RelayGateway(settings, events);
    try {
      gateway.open(settingsFile, dialect, listing);
    } catch (Exception e) {
      gateway.closer.close();
      events.close();
      throw e;
    }
    events.record(
        RuntimeEvent.PROCESS_STARTED,
        Field.of("callers", settings.callerAddress()),
        Field.of("zone", settings.zone()));
    return gateway;
  }

  @Override
  public void close() {
    stop(System.nanoTime());
  }

  /**
   * Stops in order: reports not ready, accepts requests until the balancer has noticed, and lets
   * the open ones complete. Those that do not complete in time are answered as refused or broken.
   */
  @Override
  public void stop(long beginNanos) {
    stopEndNanos = beginNanos + settings.stop().toNanos();
    stopping = true;
    ready = false;
    PlannedStop stop = new PlannedStop(settings, events, loop, callers, beginNanos);
    try {
      stop.endService(agent, acceptor, this::closeIdleCallers);
    } finally {
      stop.close(closer);
      events.close();
    }
  }

  private void open(Path settingsFile, RequestDialect dialect, ListingFormat listing)
      throws Exception {
    PeerSecurity security = PeerSecurity.from(settings.file());
    closer.register(
        "event loop",
        () -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
    EndpointDirectory directory =
        new EndpointDirectory(loop, dialect, settings.sidecarPort(), security.sharedKey(), events);
    ControlClient control = closer.register(new ControlClient(settings.control(), security));
    closer.register(
        SettingsFileWatcher.start(
            settingsFile, events, file -> control.seeds(RelaySettings.load(file).control())));
    String startId = UUID.randomUUID().toString();
    CreditManager credit =
        closer.register(
            new CreditManager(
                loop,
                control,
                events,
                settings.processId(),
                startId,
                gateways::get,
                settings.file().limitTolerance()));
    EndpointLimits limits = openLimits(directory, security);
    Random random = new Random(startId.hashCode());
    RelayContext relay = createContext(dialect, directory, control, credit, limits, random);
    directory.onChange(relay.waitQueue()::retryPlacement);
    directory.onSurplus(relay::surplusReceived);
    registerGauges(relay);
    serveReadiness();
    acceptor = Optional.of(listen(relay));
    agent = Optional.of(join(control, startId, relay.demands()));
    ListingPoller poller =
        new ListingPoller(
            loop,
            settings.listAddress(),
            listing,
            this::zoneReader,
            settings.listPeriod(),
            random,
            events,
            (entries, asOf) -> directory.updateListing(entries, table.enginePools(), asOf));
    onLoop(
        () -> {
          directory.start();
          poller.start();
          listingPoller = Optional.of(poller);
          return null;
        });
    startTasks(relay, directory, limits);
    // Closed first, so that no other resource waits for a call to control.
    closer.register("calls to control", control::close);
  }

  private void startTasks(RelayContext relay, EndpointDirectory directory, EndpointLimits limits) {
    LoopTasks.repeat(
        loop, events, "limiters", Duration.ZERO, LIMITER_PERIOD, () -> updateLimiters(limits));
    LoopTasks.repeat(
        loop,
        events,
        "loop-pauses",
        Duration.ZERO,
        LoopPauses.TICK,
        () -> recordPause(relay.loopPauses()));
    LoopTasks.repeat(
        loop,
        events,
        "readiness",
        Duration.ZERO,
        READINESS_PERIOD,
        () -> checkReadiness(directory));
    LoopTasks.repeat(
        loop,
        events,
        "pool-demands",
        PoolDemands.PERIOD,
        PoolDemands.PERIOD,
        () -> relay.demands().collect(System.nanoTime()));
    LoopTasks.repeat(
        loop,
        events,
        "retry-part",
        Duration.ZERO,
        READINESS_PERIOD,
        () -> recordRetryPart(relay.retryBudgets()));
  }

  private void recordPause(LoopPauses pauses) {
    Optional<Duration> lateness = pauses.ticked(System.nanoTime());
    if (lateness.isPresent()) {
      metrics.count("loop.pauses", "late-tick");
      events.record(RelayEvent.LOOP_PAUSED, Field.of("millis", lateness.get().toMillis()));
    }
  }

  private EndpointLimits openLimits(EndpointDirectory directory, PeerSecurity security) {
    EndpointLimits limits =
        new EndpointLimits(
            loop,
            security.sharedKey(),
            settings.processId(),
            settings.lease(),
            gateways::get,
            directory::find,
            events,
            metrics);
    closer.register("limits", () -> onLoop(limits::close));
    directory.onLimit(
        (endpoint, statement) -> limits.reportedBySidecar(endpoint, statement, System.nanoTime()));
    listenToPeers(security, limits);
    return limits;
  }

  private RelayContext createContext(
      RequestDialect dialect,
      EndpointDirectory directory,
      ControlClient control,
      CreditManager credit,
      EndpointLimits limits,
      Random random) {
    CrashDetector crashes =
        closer.register(
            new CrashDetector(loop, control, events, metrics, settings.processId(), () -> agent));
    directory.onEnded(crashes::endpointEnded);
    StreamRegister streams =
        closer.register(
            new StreamRegister(
                loop, control, settings.processId(), gateways::get, events, metrics));
    WaitQueue waitQueue = new WaitQueue(loop, events);
    return new RelayContext(
        loop,
        dialect,
        directory,
        new Placement(directory, settings.zone(), settings.preferences(), random),
        waitQueue,
        new PoolDemands(directory, waitQueue, settings.zone(), () -> table),
        credit,
        crashes,
        limits,
        streams,
        new RetryBudgets(
            settings.retryRatio(),
            settings.retryExtra(),
            settings.retryWindow(),
            System.nanoTime()),
        settings.secondAttempts().map(allowed -> new HedgePolicy(allowed, System.nanoTime())),
        new PauseWatch(),
        new LoopPauses(),
        new LearnedDurations(metrics),
        outages,
        HeldBytes.ofHeap(),
        usage,
        events,
        metrics,
        () -> table,
        () -> agent.map(MembershipAgent::admits).orElse(false),
        () -> stopping ? OptionalLong.of(stopEndNanos) : OptionalLong.empty(),
        this::knownGateways);
  }

  private void registerGauges(RelayContext relay) {
    closer.register(metrics);
    metrics.gauge("requests.waiting", relay.waitQueue()::size);
    metrics.gauge("credit.accounts", relay.credit()::accountCount);
    metrics.gauge("connections.of.callers", callers::size);
    metrics.gauge("bytes.of.unfinished.responses", relay.heldBytes()::counted);
    metrics.gauge("gateways.sharing.the.retry.budget", () -> sharingGateways);
    metrics.gauge("retries.left", () -> retriesLeft);
    metrics.gauge(
        "endpoints.with.limit",
        () -> relay.directory().all().stream().filter(one -> one.limit().isLimited()).count());
    metrics.gauge("endpoints.silent", relay.directory()::silentCount);
    metrics.gauge(
        "list.entries.skipped", () -> listingPoller.map(ListingPoller::skippedEntries).orElse(0));
    metrics.gauge("usage.requests.given.up", usage::givenUp);
    metrics.gauge("banned.prompt.parts", relay.crashes()::partBanCount);
    metrics.gauge("pools.with.long.pauses", () -> relay.pauses().count(System.nanoTime()));
    metrics.gauge("settings.revision", () -> table.revision());
    metrics.gauge("settings.confirmed", () -> relay.settingsConfirmed().getAsBoolean() ? 1 : 0);
    metrics.gauge("events.dropped", events::dropped);
    metrics.gauge("events.left.out", events::leftOut);
    loop.schedule(metrics::bindJvmMetrics, JVM_METRICS_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private MembershipAgent join(ControlClient control, String startId, PoolDemands demands) {
    ProcessIdentity identity =
        new ProcessIdentity(
            settings.processId(),
            ProcessKind.GATEWAY,
            startId,
            settings.zone(),
            Addresses.text(settings.callerAddress()),
            Addresses.text(settings.adminAddress()));
    identity.setLinkAddress(Addresses.text(settings.linkAddress()));
    MembershipAgent joined =
        closer.register(
            MembershipAgent.start(
                identity,
                control,
                events,
                Optional::empty,
                new MembershipAgent.Timing(
                    settings.heartbeat(),
                    HEARTBEAT_TIMEOUT,
                    ATTEMPT_TIMEOUT,
                    WATCH_WAIT,
                    WATCH_SLACK,
                    settings.lease()),
                usage.and(demands)));
    joined.onSettings(this::applySettings);
    return joined;
  }

  private void applySettings(SettingsView view) {
    long now = System.nanoTime();
    long confirmed = agent.map(MembershipAgent::confirmedAtNanos).orElse(now);
    RouteTable next = RouteTable.of(view, table, confirmed, now);
    table = next;
    events.record(
        RelayEvent.TABLES_IN_FORCE,
        Field.of("revision", view.revision()),
        Field.of("routes", view.routes().size()),
        Field.of("version", view.publication().map(p -> String.valueOf(p.version())).orElse("")));
  }

  private void serveReadiness() {
    PlainHttpServer.start(
        group,
        settings.readyAddress(),
        path ->
            ready
                ? PlainHttpServer.Page.text(OK, "ready\n")
                : PlainHttpServer.Page.text(UNAVAILABLE, "not ready\n"));
    PlainHttpServer.start(group, settings.adminAddress(), this::adminPage);
  }

  private PlainHttpServer.Page adminPage(String path) {
    if (path.startsWith("/metrics")) {
      return PlainHttpServer.Page.text(OK, metrics.registry().scrape());
    }
    if (path.startsWith("/timeline")) {
      return PlainHttpServer.timeline(events.timeline(), path);
    }
    if (path.startsWith(SharedListing.PATH)) {
      return listingPoller
          .map(poller -> poller.page(path))
          .orElseGet(PlainHttpServer.Page::notFound);
    }
    return path.startsWith("/ready")
        ? PlainHttpServer.Page.text(ready ? OK : UNAVAILABLE, ready ? "ready\n" : "not ready\n")
        : PlainHttpServer.Page.notFound();
  }

  private void checkReadiness(EndpointDirectory directory) {
    boolean admits = agent.map(MembershipAgent::admits).orElse(false);
    outages.updateControl(admits && table.published(), System.nanoTime());
    boolean able = !stopping && admits && table.published() && directory.isKnown();
    countGateways(System.nanoTime());
    if (able != ready) {
      ready = able;
      events.record(
          RelayEvent.READINESS_CHANGED,
          Field.of("ready", able),
          Field.of("confirmed", admits),
          Field.of("tables", table.revision()),
          Field.of("list", directory.isKnown()),
          Field.of("stopping", stopping));
    }
  }

  private void countGateways(long now) {
    Optional<ClockReading> confirmed = agent.flatMap(MembershipAgent::membersConfirmedAt);
    int live = liveGateways();
    fleetSize.reported(live, now);
    gateways.set(fleetSize.divisor());
    confirmed.ifPresent(at -> retryFleet.reported(live, at.nanos(), at.wallMillis(), now));
  }

  private OptionalInt knownGateways() {
    ClockReading now = ClockReading.now();
    return retryFleet.known(now.nanos(), now.wallMillis());
  }

  private void recordRetryPart(RetryBudgets budgets) {
    OptionalInt known = knownGateways();
    double part = budgets.part(known, System.nanoTime());
    sharingGateways = known.orElse(0);
    retriesLeft = budgets.lowest(known, System.nanoTime());
    if (part != retryPart) {
      retryPart = part;
      events.record(
          RelayEvent.RETRY_PART_CHANGED,
          Field.of("part", part),
          Field.of("gateways", known.orElse(0)),
          Field.of(
              "reportAgeMillis",
              retryFleet.reportAge(System.nanoTime()).map(Duration::toMillis).orElse(-1L)));
    }
  }

  private int liveGateways() {
    return (int) gatewayMembers().filter(one -> one.getState() != MemberState.GONE).count();
  }

  private Optional<ZoneReader.Candidate> zoneReader() {
    List<ZoneReader.Candidate> gateways =
        gatewayMembers()
            .map(
                member ->
                    new ZoneReader.Candidate(
                        member.getIdentity().getProcessId(),
                        member.getIdentity().getZone(),
                        member.getState() == MemberState.LIVE,
                        member.getIdentity().getAdminAddress()))
            .toList();
    return ZoneReader.choose(settings.processId(), settings.zone(), gateways);
  }

  private void updateLimiters(EndpointLimits limits) {
    List<LimiterChoice.Candidate> live = new ArrayList<>();
    List<String> departed = new ArrayList<>();
    gatewayMembers()
        .filter(member -> member.getIdentity().isSetLinkAddress())
        .forEach(
            member -> {
              ProcessIdentity identity = member.getIdentity();
              if (member.getState() == MemberState.LIVE) {
                live.add(
                    new LimiterChoice.Candidate(
                        identity.getProcessId(), identity.getZone(), identity.getLinkAddress()));
              } else {
                departed.add(identity.getProcessId());
              }
            });
    boolean confirmed = !stopping && agent.map(MembershipAgent::admits).orElse(false);
    limits.update(live, departed, confirmed, System.nanoTime());
  }

  private void listenToPeers(PeerSecurity security, EndpointLimits limits) {
    Channel opened =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new PeerMessages(PeerMessages.Side.SERVER, security.sharedKey(), limits))
            .bind(settings.linkAddress())
            .syncUninterruptibly()
            .channel();
    closer.register("link port", opened::close);
  }

  private Stream<Member> gatewayMembers() {
    return agent.stream()
        .flatMap(joined -> joined.members().stream())
        .filter(member -> member.getIdentity().getKind() == ProcessKind.GATEWAY);
  }

  private Channel listen(RelayContext relay) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                accept(channel, relay);
              }
            })
        .bind(settings.callerAddress())
        .syncUninterruptibly()
        .channel();
  }

  private void accept(Channel channel, RelayContext relay) {
    CallerConnection caller = new CallerConnection(relay, () -> stopping);
    callers.add(caller);
    channel.closeFuture().addListener(done -> callers.remove(caller));
    caller.install(channel, table.limits());
  }

  private void closeIdleCallers() {
    // A connection that closes at once is removed from the set during the iteration.
    long now = System.nanoTime();
    List.copyOf(callers).forEach(caller -> caller.closeIfIdle(now));
  }

  private void onLoop(Runnable task) {
    onLoop(
        () -> {
          task.run();
          return null;
        });
  }

  private <T> T onLoop(Callable<T> task) {
    try {
      return loop.submit(task).get(settings.stop().toMillis() + 1, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the event loop", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("a task on the event loop failed or timed out", e);
    }
  }
}
