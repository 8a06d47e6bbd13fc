package org.comfreygap.relay.residency;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.AdapterSlots.Action;
import org.comfreygap.decisions.AdapterSlots.Command;
import org.comfreygap.decisions.AdapterSlots.Name;
import org.comfreygap.decisions.ColdGate;
import org.comfreygap.decisions.StatusPacing;
import org.comfreygap.protocol.generated.AdapterReply;
import org.comfreygap.protocol.generated.AdapterRequest;
import org.comfreygap.protocol.generated.ColdPermitReply;
import org.comfreygap.protocol.generated.ColdPermitRequest;
import org.comfreygap.protocol.generated.EndpointStatus;
import org.comfreygap.protocol.generated.LimitStatement;
import org.comfreygap.protocol.generated.ResidencyMessage;
import org.comfreygap.protocol.generated.ResidentAdapter;
import org.comfreygap.relay.HttpPeerClient;
import org.comfreygap.relay.PeerMessages;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.settings.Documents.AnnouncedVersion;
import org.comfreygap.settings.Documents.BaseModel;
import org.comfreygap.settings.Documents.Engine;
import org.comfreygap.settings.Documents.Pool;
import org.comfreygap.settings.SettingsView;

/**
 * Sends commands to one engine and reports its state to the connected gateways.
 *
 * <p>Invariants: one command at a time, with the sequence of the newest report, and to the start of
 * the engine that the report was of; this process is the only one on any machine that sends
 * commands to the engine. Thread safety: used on the event loop only.
 */
final class ResidencyController implements PeerMessages.Receiver {

  /**
   * A gateway's request for an adapter is refused after this time; the gateway then chooses another
   * endpoint.
   */
  static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1_200);

  /** Time for which the adapters of a lost gateway count as in use: the length of most runs. */
  static final Duration USE_GRACE_AFTER_LOSS = Duration.ofSeconds(3);

  /** Time after a start within which gateways reconnect and report the adapters they use. */
  static final Duration STARTUP_USE_GRACE = Duration.ofMillis(1_000);

  /**
   * Share of the stated rate for cold engines that is used. They can handle half as much again and
   * a few more, which is reserved for late requests and for health checks.
   */
  static final double COLD_RATE_SHARE = 1.0;

  /** Longer than engines stay cold after a start, 3 s by the capacity sheets. */
  static final Duration RECENT_START = Duration.ofSeconds(10);

  /**
   * An engine on the same machine responds to a command within a millisecond; one that takes longer
   * will not respond, and the next report shows whether the command was accepted.
   */
  static final Duration COMMAND_TIMEOUT = Duration.ofMillis(80);

  /** A report that lags behind an accepted command for longer shows that it had no effect. */
  static final Duration MAX_REPORT_LAG = Duration.ofMillis(400);

  /** An engine never changes its machine, so there is one holder and one fencing number. */
  private static final long FENCING_NUMBER = 1;

  private static final int DEFAULT_ADAPTER_SLOTS = 4;

  private final EventLoop loop;
  private final EngineDialect dialect;
  private final HttpPeerClient commandClient;
  private final String holder;
  private final Supplier<Optional<Pool>> pool;
  private final EngineLimit limit;
  private final ReadingPermits reading;
  private final EventLog events;
  private final AdapterSlots places = new AdapterSlots(DEFAULT_ADAPTER_SLOTS);
  private final Set<Channel> gateways = new HashSet<>();
  private final List<Request> requests = new ArrayList<>();
  private final Map<Name, Long> announced = new HashMap<>();
  private final Map<Channel, Set<Name>> inUse = new HashMap<>();
  private Optional<EngineReport> report = Optional.empty();
  private final ColdGate cold = new ColdGate();
  private final StatusPacing pacing = new StatusPacing();
  private boolean lastCold;
  private long startSeenNanos;
  private Map<Name, Long> lastOffered = Map.of();
  private boolean lastLoadable;
  private int lastPacePercent;
  private long sequence;
  private long lastAcceptedNanos;
  private boolean answering;
  private boolean awaitingReport;
  private long commandsAccepted;
  private long commandsFailed;

  ResidencyController(
      EventLoop loop,
      EngineDialect dialect,
      HttpPeerClient commandClient,
      String holder,
      Supplier<Optional<Pool>> pool,
      EngineLimit limit,
      ReadingPermits reading,
      EventLog events) {
    this.loop = loop;
    this.dialect = dialect;
    this.commandClient = commandClient;
    this.holder = holder;
    this.pool = pool;
    this.limit = limit;
    this.reading = reading;
    this.events = events;
    limit.observe(commandClient);
    limit.onChange(() -> sendStatus(System.nanoTime()));
  }

  /** A gateway's open request for an adapter. */
  private record Request(
      Channel gateway, long number, Name name, long minVersion, long arrivedNanos) {

    boolean expired(long nowNanos, boolean loading) {
      Duration longest = loading ? REQUEST_TIMEOUT : AdapterSlots.MAX_SLOT_WAIT;
      return nowNanos - arrivedNanos >= longest.toNanos();
    }
  }

  /** Returns true while reports should be read often. */
  boolean busy() {
    return places.busy() || !requests.isEmpty() || commandClient.busy();
  }

  /** Returns the counters as text. */
  String metrics() {
    return "comfreygap_orders_given_total "
        + commandsAccepted
        + "\ncomfreygap_orders_failed_total "
        + commandsFailed
        + "\ncomfreygap_gateways_connected "
        + gateways.size()
        + "\ncomfreygap_adapters_offered "
        + places.offered().size()
        + "\n"
        + reading.metrics();
  }

  /** Returns true when the engine started, or was first seen, a short time ago. */
  boolean startedRecently() {
    return report.isPresent() && System.nanoTime() - startSeenNanos < RECENT_START.toNanos();
  }

  /** Applies the newest settings. */
  void settingsChanged(SettingsView view) {
    announced.clear();
    for (AnnouncedVersion version : view.announcedVersions()) {
      announced.put(new Name(version.model(), version.adapter()), version.version());
    }
    places.announced(announced);
    engine().ifPresent(engine -> places.slots(engine.adapterSlots()));
    sendNextCommand();
  }

  /** Applies the newest report of the engine. */
  void reportReceived(EngineReport newest) {
    long now = System.nanoTime();
    boolean restarted =
        report.isEmpty()
            || !report.get().instanceId().equals(newest.instanceId())
            || report.get().bornMillis() != newest.bornMillis();
    if (restarted) {
      places.restarted();
      cold.restarted();
      limit.restarted();
      reading.restarted();
      startSeenNanos = now;
      if (report.isEmpty()) {
        places.suspendEvictionUntil(now + STARTUP_USE_GRACE.toNanos());
      }
      events.record(
          ResidencyEvent.ENGINE_STARTED,
          Field.of("endpoint", newest.instanceId().orElse("")),
          Field.of("born", newest.bornMillis()),
          Field.of("models", newest.models()),
          Field.of("adapters", newest.resident().size()));
    }
    answering = true;
    report = Optional.of(newest);
    reading.reported(now);
    updateColdState(newest.coldMillis());
    // A report from before the newest command was accepted does not show its effect.
    boolean lagging = now - lastAcceptedNanos < MAX_REPORT_LAG.toNanos();
    boolean current = restarted || newest.sequence() >= sequence || !lagging;
    if (current && !commandClient.busy()) {
      awaitingReport = false;
      sequence = newest.sequence();
      places.observed(newest.resident(), newest.loading(), now);
    }
    replyToRequests(now);
    sendNextCommand();
    sendStatus(now);
  }

  /** Called when the engine does not respond. */
  void engineUnreachable() {
    answering = false;
    sendStatus(System.nanoTime());
  }

  @Override
  public void opened(Channel gateway) {
    gateways.add(gateway);
    events.record(ResidencyEvent.GATEWAY_CONNECTED, Field.of("gateway", gateway.remoteAddress()));
    report.ifPresent(known -> PeerMessages.send(gateway, status(known, true)));
  }

  @Override
  public void closed(Channel gateway, String reason) {
    requests.removeIf(request -> request.gateway() == gateway);
    // The requests of a disconnected gateway may still run.
    loop.schedule(
        () -> {
          inUse.remove(gateway);
          updateUse(System.nanoTime());
        },
        USE_GRACE_AFTER_LOSS.toMillis(),
        TimeUnit.MILLISECONDS);
    if (gateways.remove(gateway)) {
      events.record(
          ResidencyEvent.GATEWAY_LOST,
          Field.of("gateway", gateway.remoteAddress()),
          Field.of("cause", reason));
    }
  }

  @Override
  public void received(Channel gateway, ResidencyMessage message) {
    long now = System.nanoTime();
    if (message.isSetAdapterRequest()) {
      adapterRequested(gateway, message.getAdapterRequest(), now);
    } else if (message.isSetAdapterUse()) {
      Set<Name> names = new HashSet<>();
      for (ResidentAdapter used : message.getAdapterUse().getUsed()) {
        names.add(new Name(used.getModel(), used.getAdapter()));
      }
      inUse.put(gateway, names);
      updateUse(now);
    } else if (message.isSetColdPermitRequest()) {
      coldPermitRequested(gateway, message.getColdPermitRequest(), now);
    } else if (message.isSetReadingPermitRequest()) {
      int running = report.map(EngineReport::running).orElse(0);
      reading.requested(gateway, message.getReadingPermitRequest(), running, now);
    } else if (message.isSetPaceObservation()) {
      reading.observed(message.getPaceObservation().getPacePercent(), now);
    }
  }

  private void updateUse(long now) {
    Set<Name> all = new HashSet<>();
    inUse.values().forEach(all::addAll);
    places.inUse(all, now);
    sendNextCommand();
  }

  private void adapterRequested(Channel gateway, AdapterRequest message, long now) {
    Name name = new Name(message.getModel(), message.getAdapter());
    long minVersion = Math.max(message.getLeastVersion(), announced.getOrDefault(name, 0L));
    Request request = new Request(gateway, message.getNumber(), name, minVersion, now);
    boolean able =
        answering
            && report.isPresent()
            && !report.get().leaving()
            && report.get().models().contains(name.model());
    if (!able) {
      sendReply(request, false, "the engine cannot load it now");
    } else if (places.request(name, minVersion, now)) {
      sendReply(request, true, "");
    } else {
      requests.add(request);
      sendNextCommand();
    }
  }

  private void coldPermitRequested(Channel gateway, ColdPermitRequest message, long now) {
    updateColdState(message.getColdMillis());
    double bound = pool.get().map(Pool::coldRequestsPerSecond).orElse(1.0);
    boolean granted = report.isPresent() && cold.tryPass(Math.max(1, bound * COLD_RATE_SHARE), now);
    long retry = granted ? 0 : Math.max(1, cold.retryAfterMillis(now));
    PeerMessages.send(
        gateway,
        ResidencyMessage.coldPermitReply(new ColdPermitReply(message.getNumber(), granted, retry)));
  }

  private void replyToRequests(long now) {
    List<Request> open = new ArrayList<>(requests);
    requests.clear();
    for (Request request : open) {
      if (places.serves(request.name(), request.minVersion())) {
        sendReply(request, true, "");
      } else if (request.expired(now, places.isLoading(request.name()) || places.congested())) {
        recordNotLoaded(request);
        sendReply(request, false, "not loaded in time");
        if (open.stream().noneMatch(o -> o != request && o.name().equals(request.name()))) {
          places.withdraw(request.name());
        }
      } else {
        requests.add(request);
      }
    }
  }

  private void recordNotLoaded(Request request) {
    Optional<EngineReport> known = report;
    events.record(
        ResidencyEvent.ADAPTER_NOT_LOADED,
        Field.of("adapter", request.name().adapter()),
        Field.of("ordering", known.map(EngineReport::executing).orElse(false)),
        Field.of("resident", known.map(r -> r.resident().size()).orElse(0)),
        Field.of("coming", known.map(r -> r.loading().keySet().toString()).orElse("")),
        Field.of("sequence", known.map(EngineReport::sequence).orElse(0L)),
        Field.of("expected", sequence),
        Field.of("needsReport", awaitingReport),
        Field.of("orderOpen", commandClient.busy()),
        Field.of("offered", places.offered().size()),
        Field.of("inUse", inUse.values().stream().mapToInt(Set::size).sum()),
        Field.of("requests", requests.size()));
  }

  private void sendReply(Request request, boolean resident, String reason) {
    AdapterReply reply = new AdapterReply(request.number(), resident);
    reply.setReason(reason);
    Long version = places.offered().get(request.name());
    if (version != null) {
      reply.setVersion(version);
    }
    PeerMessages.send(request.gateway(), ResidencyMessage.adapterReply(reply));
  }

  /** Sends the next command when one is due. */
  private void sendNextCommand() {
    boolean able =
        answering
            && report.isPresent()
            && !commandClient.busy()
            && !awaitingReport
            && !report.get().executing()
            && !report.get().leaving();
    if (!able || engine().isEmpty()) {
      return;
    }
    long now = System.nanoTime();
    if (report.get().models().isEmpty()) {
      loadModel();
      return;
    }
    places.next(now).ifPresent(this::sendAdapterCommand);
    // Adapters that are about to be unloaded must no longer be offered.
    sendStatus(now);
  }

  /** Loads the base model, which an engine lacks after a restart. */
  private void loadModel() {
    Optional<BaseModel> model = engine().flatMap(e -> e.models().stream().findFirst());
    if (model.isEmpty()) {
      return;
    }
    awaitingReport = true;
    sendCommand(
        command(true, model.get().name(), Optional.empty(), OptionalLong.empty()),
        result -> {},
        () -> {});
  }

  private void sendAdapterCommand(Command order) {
    Long version = announced.get(order.name());
    boolean load = order.action() == Action.LOAD;
    EngineDialect.EngineCommand command =
        command(
            load,
            order.name().model(),
            Optional.of(order.name().adapter()),
            load && version != null ? OptionalLong.of(version) : OptionalLong.empty());
    sendCommand(
        command,
        result -> {
          if (result == EngineDialect.CommandResult.ACCEPTED
              || result == EngineDialect.CommandResult.HOLDS) {
            places.accepted(order, System.nanoTime());
          }
        },
        () -> places.unacknowledged(order, System.nanoTime()));
  }

  private EngineDialect.EngineCommand command(
      boolean load, String model, Optional<String> adapter, OptionalLong version) {
    return new EngineDialect.EngineCommand(
        load,
        model,
        adapter,
        version,
        report.orElseThrow().instanceId().orElse(""),
        sequence,
        holder,
        FENCING_NUMBER);
  }

  private void sendCommand(
      EngineDialect.EngineCommand command,
      Consumer<EngineDialect.CommandResult> onResult,
      Runnable onFailure) {
    EngineDialect.Call call = dialect.writeCommand(command);
    commandClient.call(
        HttpMethod.POST,
        call.path(),
        call.headers(),
        call.body(),
        response ->
            commandAnswered(
                command, dialect.readResult(command, response), response.status(), onResult),
        cause -> commandFailed(command, cause, onFailure));
  }

  private void commandAnswered(
      EngineDialect.EngineCommand command,
      EngineDialect.CommandResult result,
      int status,
      Consumer<EngineDialect.CommandResult> onResult) {
    onResult.accept(result);
    if (result == EngineDialect.CommandResult.ACCEPTED) {
      commandsAccepted++;
      sequence++;
      lastAcceptedNanos = System.nanoTime();
      record(ResidencyEvent.ORDER_GIVEN, command, String.valueOf(status));
      sendStatus(System.nanoTime());
      loop.execute(this::sendNextCommand);
      return;
    }
    // The engine's state or sequence differs from the expected one; the next report has it.
    awaitingReport = true;
    sequence = 0;
    if (result != EngineDialect.CommandResult.HOLDS) {
      commandsFailed++;
      record(ResidencyEvent.ORDER_FAILED, command, "status " + status);
    }
  }

  private void commandFailed(
      EngineDialect.EngineCommand command, IOException cause, Runnable onFailure) {
    commandsFailed++;
    awaitingReport = true;
    sequence = 0;
    onFailure.run();
    record(ResidencyEvent.ORDER_FAILED, command, cause.getMessage());
  }

  private void record(ResidencyEvent event, EngineDialect.EngineCommand command, String outcome) {
    events.record(
        event,
        Field.of("action", command.load() ? "load" : "unload"),
        Field.of("model", command.model()),
        Field.of("adapter", command.adapter().orElse("")),
        Field.of("endpoint", command.instanceId()),
        Field.of("sequence", command.expectedSequence()),
        Field.of("outcome", outcome));
  }

  /** Applies the remaining cold time that a source states. */
  void updateColdState(long millis) {
    long now = System.nanoTime();
    cold.coldReported(millis, now);
    boolean isCold = cold.remainingMillis(now) > 0;
    if (isCold != lastCold) {
      lastCold = isCold;
      events.record(ResidencyEvent.ENGINE_COLD, Field.of("millis", cold.remainingMillis(now)));
      sendStatus(now);
    }
  }

  /** Sends the status to the gateways when it has changed or is due. */
  private void sendStatus(long now) {
    if (report.isEmpty()) {
      return;
    }
    EngineReport known = report.get();
    Map<Name, Long> offered = places.offered();
    boolean residentChanged = !offered.equals(lastOffered);
    String urgent =
        lastCold
            + " "
            + known.leaving()
            + " "
            + answering
            + " "
            + limit.message(now).map(LimitStatement::getPerSecond)
            + " "
            + known.instanceId().orElse("");
    StatusPacing.State state =
        new StatusPacing.State(
            urgent,
            known.running(),
            known.waiting(),
            engine().map(Engine::slots).orElse(0),
            residentChanged
                || places.loadable(now) > 0 != lastLoadable
                || reading.pacePercent() != lastPacePercent);
    if (!pacing.due(state, gateways.size(), now)) {
      return;
    }
    lastOffered = offered;
    lastLoadable = places.loadable(now) > 0;
    lastPacePercent = reading.pacePercent();
    pacing.recordSent(state, now);
    PeerMessages.send(List.copyOf(gateways), status(known, residentChanged));
  }

  private ResidencyMessage status(EngineReport known, boolean withResident) {
    EndpointStatus status =
        new EndpointStatus(
            known.instanceId().orElse(""),
            known.bornMillis(),
            answering,
            known.running(),
            known.waiting(),
            known.kvTokensUsed(),
            known.kvTokensTotal(),
            cold.remainingMillis(System.nanoTime()),
            known.leaving(),
            new ArrayList<>(known.models()));
    reading.describe(status, System.nanoTime());
    status.setLoadable(places.loadable(System.nanoTime()));
    limit.message(System.nanoTime()).ifPresent(status::setLimit);
    if (withResident) {
      List<ResidentAdapter> resident = new ArrayList<>();
      places
          .offered()
          .forEach(
              (name, version) ->
                  resident.add(new ResidentAdapter(name.model(), name.adapter(), version)));
      status.setResident(resident);
    }
    return ResidencyMessage.status(status);
  }

  private Optional<Engine> engine() {
    return pool.get().flatMap(Pool::engine);
  }
}
