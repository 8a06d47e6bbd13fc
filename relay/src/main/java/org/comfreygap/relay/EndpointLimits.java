package org.comfreygap.relay;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.decisions.EndpointLimit;
import org.comfreygap.decisions.EndpointLimit.Statement;
import org.comfreygap.decisions.LimiterChoice;
import org.comfreygap.decisions.RetryAfterSchedule;
import org.comfreygap.decisions.SendSlots;
import org.comfreygap.decisions.StatedLimit;
import org.comfreygap.protocol.generated.LimitReport;
import org.comfreygap.protocol.generated.LimitStatement;
import org.comfreygap.protocol.generated.ResidencyMessage;
import org.comfreygap.protocol.generated.SendPermitReply;
import org.comfreygap.protocol.generated.SendPermitRequest;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.SharedKey;

/**
 * Holds the request limits that endpoints state over all gateways together.
 *
 * <p>For each endpoint with a limit, one gateway is the limiter: it grants the sends of all
 * gateways, its own included. Gateways report changes of a limit to it and learn the newest
 * statement from its replies.
 *
 * <p>Invariant: a send to an endpoint with a known limit has a grant of the limiter; without a
 * reply there is none. Thread safety: used on the event loop only.
 */
final class EndpointLimits implements PeerMessages.Receiver {

  /** Time until another attempt when no limiter grants, for example during a handover. */
  static final Duration NO_LIMITER_PAUSE = Duration.ofMillis(500);

  /** Time without use after which connections and grants are dropped. */
  static final Duration IDLE_LIFETIME = Duration.ofSeconds(60);

  /** Time between two announcements, for gateways that started since or missed the last one. */
  static final Duration ANNOUNCEMENT_PERIOD = Duration.ofSeconds(5);

  private static final long MILLI_REQUESTS = 1_000;

  private final EventLoop loop;
  private final SharedKey key;
  private final LimiterChoice choice;
  private final String ownId;
  private final IntSupplier gatewayCount;
  private final Function<String, Optional<Endpoint>> lookup;
  private final EventLog events;
  private final RelayMetrics metrics;
  private final Map<String, Grants> grantsByInstance = new HashMap<>();
  private final Map<String, LimiterConnection> connections = new HashMap<>();
  private final Map<String, RetryAfterSchedule> schedules = new HashMap<>();

  /**
   * Creates the limits of a gateway.
   *
   * @param handover longest time for which a gateway trusts a membership that is not confirmed
   * @param lookup finds a listed endpoint by its id
   */
  EndpointLimits(
      EventLoop loop,
      SharedKey key,
      String ownId,
      Duration handover,
      IntSupplier gatewayCount,
      Function<String, Optional<Endpoint>> lookup,
      EventLog events,
      RelayMetrics metrics) {
    this.loop = loop;
    this.key = key;
    this.choice = new LimiterChoice(ownId, handover);
    this.ownId = ownId;
    this.gatewayCount = gatewayCount;
    this.lookup = lookup;
    this.events = events;
    this.metrics = metrics;
  }

  /**
   * The reply to a request for a send.
   *
   * @param waitNanos time until the send, or without a grant until one may be granted
   */
  record Permit(boolean granted, long waitNanos) {}

  /** The sends that this gateway grants to one endpoint. */
  private static final class Grants {
    private final EndpointLimit limit = new EndpointLimit();
    private final String zone;
    private Optional<SendSlots> slots = Optional.empty();
    private long lastUsedNanos;
    private long announcedNanos;

    Grants(String zone) {
      this.zone = zone;
    }
  }

  /** Applies the present membership and drops what is idle. */
  void update(
      Collection<LimiterChoice.Candidate> live,
      Collection<String> departed,
      boolean confirmed,
      long nowNanos) {
    choice.update(live, departed, confirmed, nowNanos);
    refreshAnnouncements(nowNanos);
    long idleSince = nowNanos - IDLE_LIFETIME.toNanos();
    grantsByInstance.values().removeIf(grants -> grants.lastUsedNanos - idleSince < 0);
    for (String address : List.copyOf(connections.keySet())) {
      if (connections.get(address).lastUsedNanos() - idleSince < 0) {
        connections.remove(address).close();
      }
    }
  }

  /**
   * Records what the head of a response states.
   *
   * @param sentNanos time at which its request was sent
   */
  void responseRead(Endpoint endpoint, ResponseHead head, long sentNanos, long nowNanos) {
    boolean misdirected = head.verdict() == ResponseHead.Verdict.MISDIRECTED;
    boolean ownResponse = head.instanceId().map(endpoint.instanceId()::equals).orElse(!misdirected);
    if (!ownResponse) {
      return;
    }
    if (head.limit().kind() == StatedLimit.Kind.INVALID) {
      recordInvalid(endpoint, nowNanos);
      return;
    }
    boolean ofRun = head.signed() && head.verdict() == ResponseHead.Verdict.RAN;
    if (head.limit().isLimit() || ofRun) {
      // Refusals may lack what responses of runs state, so they end no limit.
      applyAndReport(endpoint, new Statement(head.limit(), sentNanos, nowNanos), "response");
    }
  }

  /** Records what an endpoint stated to its sidecar. */
  void reportedBySidecar(Endpoint endpoint, LimitStatement statement, long nowNanos) {
    applyAndReport(endpoint, toStatement(statement, nowNanos), "sidecar");
  }

  /**
   * Asks the limiter for a send to an endpoint with a limit.
   *
   * @param customerHash hash of the customer, among whom sends are shared fairly
   * @param maxWaitNanos longest time until the send
   */
  void requestSend(
      Endpoint endpoint, long customerHash, long maxWaitNanos, Consumer<Permit> receiver) {
    long now = System.nanoTime();
    Optional<LimiterChoice.Candidate> limiter = choice.limiter(endpoint.hash(), endpoint.zone());
    if (limiter.isEmpty()) {
      endpoint.recordSendWait(NO_LIMITER_PAUSE.toNanos(), now);
      receiver.accept(decided(new Permit(false, NO_LIMITER_PAUSE.toNanos()), "no-limiter"));
      return;
    }
    SendPermitRequest request =
        new SendPermitRequest(
            0,
            endpoint.instanceId(),
            endpoint.zone(),
            toMessage(endpoint.limit().newest().orElseThrow(), now),
            customerHash,
            TimeUnit.NANOSECONDS.toMillis(maxWaitNanos));
    if (limiter.get().processId().equals(ownId)) {
      receiver.accept(replied(endpoint, Optional.of(grant(request, now)), now));
      return;
    }
    connection(limiter.get(), now)
        .request(
            request, reply -> receiver.accept(replied(endpoint, reply, System.nanoTime())), now);
  }

  /** Returns the refusal of a request while the limits of a pool's endpoints admit none in time. */
  Refusal refusal(String pool, List<Endpoint> endpoints, long nowNanos) {
    long earliest = Long.MAX_VALUE;
    double perSecond = 0;
    for (Endpoint endpoint : endpoints) {
      OptionalDouble limit = endpoint.limit().perSecond();
      if (limit.isPresent() && endpoint.acceptsRequests(nowNanos)) {
        earliest = Math.min(earliest, endpoint.sendWaitNanos(nowNanos));
        perSecond += Math.max(SendSlots.MIN_PER_SECOND, limit.getAsDouble());
      }
    }
    long soonest = perSecond == 0 ? NO_LIMITER_PAUSE.toNanos() : earliest;
    double ownShare = perSecond * MILLI_REQUESTS / Math.max(1, gatewayCount.getAsInt());
    Duration after =
        schedules
            .computeIfAbsent(pool, name -> new RetryAfterSchedule())
            .next(MILLI_REQUESTS, ownShare, Duration.ofNanos(soonest), nowNanos);
    return Refusal.LIMITED.withRetryAfter(after);
  }

  @Override
  public void opened(Channel channel) {
    metrics.count("limiter.connections", "opened");
  }

  @Override
  public void received(Channel channel, ResidencyMessage message) {
    long now = System.nanoTime();
    if (message.isSetLimitReport()) {
      reported(message.getLimitReport(), now);
    } else if (message.isSetSendPermitRequest()) {
      SendPermitReply reply = grant(message.getSendPermitRequest(), now);
      PeerMessages.send(channel, ResidencyMessage.sendPermitReply(reply));
    }
  }

  @Override
  public void closed(Channel channel, String reason) {
    metrics.count("limiter.connections", "closed");
  }

  void close() {
    connections.values().forEach(LimiterConnection::close);
  }

  /** Applies the report of another gateway, be it to this limiter or by the limiter. */
  private void reported(LimitReport report, long nowNanos) {
    Statement statement = toStatement(report.getStatement(), nowNanos);
    lookup.apply(report.getInstanceId()).ifPresent(one -> apply(one, statement, "report"));
    if (isLimiter(report.getInstanceId(), report.getZone())) {
      applyAsLimiter(report.getInstanceId(), report.getZone(), statement, nowNanos);
    }
  }

  private boolean isLimiter(String instanceId, String zone) {
    return choice
        .limiter(AdapterHomes.hash(instanceId), zone)
        .filter(limiter -> limiter.processId().equals(ownId))
        .isPresent();
  }

  private Grants applyAsLimiter(
      String instanceId, String zone, Statement statement, long nowNanos) {
    Grants grants = grantsByInstance.computeIfAbsent(instanceId, id -> new Grants(zone));
    grants.lastUsedNanos = nowNanos;
    if (grants.limit.apply(statement)) {
      announce(instanceId, grants, nowNanos);
    }
    return grants;
  }

  /** Tells all gateways a limit, since those that send little would hear of it late. */
  private void announce(String instanceId, Grants grants, long nowNanos) {
    if (!isLimiter(instanceId, grants.zone)) {
      return;
    }
    grants.announcedNanos = nowNanos;
    LimitReport report =
        new LimitReport(
            instanceId, grants.zone, toMessage(grants.limit.newest().orElseThrow(), nowNanos));
    for (LimiterChoice.Candidate other : choice.candidates()) {
      if (!other.processId().equals(ownId)) {
        connection(other, nowNanos).report(report, nowNanos);
      }
    }
  }

  private void refreshAnnouncements(long nowNanos) {
    grantsByInstance.forEach(
        (instanceId, grants) -> {
          long age = nowNanos - grants.announcedNanos;
          if (grants.limit.isLimited() && age >= ANNOUNCEMENT_PERIOD.toNanos()) {
            announce(instanceId, grants, nowNanos);
          }
        });
  }

  private SendPermitReply grant(SendPermitRequest request, long nowNanos) {
    Grants grants =
        applyAsLimiter(
            request.getInstanceId(),
            request.getZone(),
            toStatement(request.getStatement(), nowNanos),
            nowNanos);
    SendPermitReply reply = new SendPermitReply(request.getNumber(), true, 0);
    grants.limit.newest().ifPresent(newest -> reply.setNewest(toMessage(newest, nowNanos)));
    OptionalDouble perSecond = grants.limit.perSecond();
    if (perSecond.isEmpty()) {
      grants.slots = Optional.empty();
      return reply;
    }
    long hash = AdapterHomes.hash(request.getInstanceId());
    if (!choice.mayGrant(hash, request.getZone(), nowNanos)) {
      return reply.setGranted(false).setWaitMillis(NO_LIMITER_PAUSE.toMillis());
    }
    if (grants.slots.isEmpty()) {
      grants.slots = Optional.of(new SendSlots(perSecond.getAsDouble(), nowNanos));
    }
    SendSlots slots = grants.slots.get();
    double rate = perSecond.getAsDouble();
    long maxWait = TimeUnit.MILLISECONDS.toNanos(request.getMaxWaitMillis());
    long wait = slots.reserve(rate, maxWait, request.getCustomerHash(), nowNanos);
    boolean granted = wait != SendSlots.NONE;
    long stated = granted ? wait : slots.waitNanos(rate, nowNanos);
    return reply.setGranted(granted).setWaitMillis(ceilMillis(stated));
  }

  private Permit replied(Endpoint endpoint, Optional<SendPermitReply> reply, long nowNanos) {
    if (reply.isEmpty()) {
      endpoint.recordSendWait(NO_LIMITER_PAUSE.toNanos(), nowNanos);
      return decided(new Permit(false, NO_LIMITER_PAUSE.toNanos()), "no-reply");
    }
    SendPermitReply known = reply.get();
    if (known.isSetNewest()) {
      apply(endpoint, toStatement(known.getNewest(), nowNanos), "limiter");
    }
    long wait = TimeUnit.MILLISECONDS.toNanos(known.getWaitMillis());
    long nextWait = known.isGranted() ? wait + intervalNanos(endpoint) : wait;
    endpoint.recordSendWait(nextWait, nowNanos);
    return decided(new Permit(known.isGranted(), wait), known.isGranted() ? "granted" : "limit");
  }

  private Permit decided(Permit permit, String reason) {
    metrics.count("limit.permits", reason);
    return permit;
  }

  private boolean apply(Endpoint endpoint, Statement statement, String source) {
    String before = text(endpoint.limit().perSecond());
    boolean changed = endpoint.limit().apply(statement);
    if (changed) {
      events.record(
          RelayEvent.ENDPOINT_LIMIT_CHANGED,
          Field.of("endpoint", endpoint.instanceId()),
          Field.of("before", before),
          Field.of("perSecond", text(endpoint.limit().perSecond())),
          Field.of("source", source));
    }
    return changed;
  }

  private void applyAndReport(Endpoint endpoint, Statement statement, String source) {
    if (apply(endpoint, statement, source)) {
      reportChange(endpoint, System.nanoTime());
    }
  }

  private void reportChange(Endpoint endpoint, long nowNanos) {
    Statement newest = endpoint.limit().newest().orElseThrow();
    Optional<LimiterChoice.Candidate> limiter = choice.limiter(endpoint.hash(), endpoint.zone());
    if (limiter.isEmpty()) {
      return;
    }
    if (limiter.get().processId().equals(ownId)) {
      applyAsLimiter(endpoint.instanceId(), endpoint.zone(), newest, nowNanos);
      return;
    }
    connection(limiter.get(), nowNanos)
        .report(
            new LimitReport(endpoint.instanceId(), endpoint.zone(), toMessage(newest, nowNanos)),
            nowNanos);
  }

  private void recordInvalid(Endpoint endpoint, long nowNanos) {
    metrics.count("endpoint.limits.invalid", "malformed");
    events.recordRateLimited(
        RelayEvent.ENDPOINT_LIMIT_INVALID,
        nowNanos,
        () ->
            List.of(
                Field.of("endpoint", endpoint.instanceId()),
                Field.of("expected", "one decimal number of requests a second"),
                Field.of("inForce", text(endpoint.limit().perSecond()))));
  }

  private LimiterConnection connection(LimiterChoice.Candidate limiter, long nowNanos) {
    return connections.computeIfAbsent(
        limiter.address(),
        address -> new LimiterConnection(loop, Addresses.parse(address), key, nowNanos));
  }

  private static LimitStatement toMessage(Statement statement, long nowNanos) {
    LimitStatement message =
        new LimitStatement(
            TimeUnit.NANOSECONDS.toMillis(nowNanos - statement.sentNanos()),
            TimeUnit.NANOSECONDS.toMillis(nowNanos - statement.readNanos()));
    if (statement.limit().isLimit()) {
      message.setPerSecond(statement.limit().perSecond());
    }
    return message;
  }

  private static Statement toStatement(LimitStatement message, long nowNanos) {
    StatedLimit limit =
        message.isSetPerSecond() ? StatedLimit.of(message.getPerSecond()) : StatedLimit.NONE;
    return Statement.reported(
        limit,
        Duration.ofMillis(message.getSentMillisAgo()),
        Duration.ofMillis(message.getReadMillisAgo()),
        nowNanos);
  }

  private static long intervalNanos(Endpoint endpoint) {
    OptionalDouble perSecond = endpoint.limit().perSecond();
    return perSecond.isPresent() ? SendSlots.intervalNanos(perSecond.getAsDouble()) : 0;
  }

  private static long ceilMillis(long nanos) {
    return (nanos + 999_999) / 1_000_000;
  }

  private static String text(OptionalDouble perSecond) {
    return perSecond.isPresent() ? String.valueOf(perSecond.getAsDouble()) : "none";
  }
}
