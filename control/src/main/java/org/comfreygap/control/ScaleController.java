package org.comfreygap.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.comfreygap.control.ScaleState.EndpointOrder;
import org.comfreygap.control.ScaleState.Outcome;
import org.comfreygap.decisions.PoolLoads.Load;
import org.comfreygap.decisions.PoolLoads.Subject;
import org.comfreygap.decisions.ScalePolicy;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.PoolDemand;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Orders the number of endpoints of pools with bounds, at the leader.
 *
 * <p>Invariants: an order is committed before it is called, and a repeat of the call is the
 * committed one; a newer order replaces one that the platform has not accepted. Thread safety: any
 * thread may call; what is known of one term is guarded by the monitor of this object, which is not
 * held during a commit.
 */
@Singleton
final class ScaleController implements DutySource {

  private static final Duration DECISION_PERIOD = Duration.ofSeconds(1);

  /** Time after an order that the platform refused in which no other one is made. */
  private static final Duration REFUSAL_PAUSE = Duration.ofSeconds(60);

  private static final int MAX_ITEMS = 1_000;

  private final Leadership leadership;
  private final ControlState state;
  private final ScalePolicy.Settings settings;
  private final DutyDialect dialect;
  private final EventLog events;
  private final ScaleRules rules;
  private final Map<String, Long> lastCallNanos = new HashMap<>();
  private Optional<ScaleView> current = Optional.empty();
  private Optional<MultiGauge> ordered = Optional.empty();
  private long decidedNanos;

  @Inject
  ScaleController(
      Leadership leadership,
      ControlState state,
      ScalePolicy.Settings settings,
      DutyDialect dialect,
      EventLog events) {
    this.leadership = leadership;
    this.state = state;
    this.settings = settings;
    this.dialect = dialect;
    this.events = events;
    this.rules = new ScaleRules(state);
  }

  /**
   * What is known of a pool in a zone, for the operator.
   *
   * @param ordered endpoints ordered last; null when none were
   * @param order what became of that order
   * @param orderedFor why it was made
   * @param millisAgo time since it was made
   * @param endpoints endpoints that accept work now; null while no gateway reports them
   * @param needed endpoints that the work needs; null while it is not known
   * @param now why the number is ordered or kept now
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Numbers(
      String pool,
      String zone,
      Integer ordered,
      String order,
      String orderedFor,
      Long millisAgo,
      Integer endpoints,
      Integer needed,
      String now) {}

  /** A decision to order another number. */
  private record Planned(Subject subject, ScaleView.Known known, int before) {}

  @Override
  public void heartbeat(LeaderTerm term, HeartbeatRequest request, long nowNanos) {
    boolean isGateway = request.getIdentity().getKind() == ProcessKind.GATEWAY;
    if (!isGateway || !request.isSetDemand()) {
      return;
    }
    Map<Subject, Load> loads = new HashMap<>();
    request.getDemand().stream()
        .limit(MAX_ITEMS)
        .forEach(item -> loads.put(new Subject(item.getPool(), item.getZone()), load(item)));
    synchronized (this) {
      viewOf(term, nowNanos).loads().report(request.getIdentity().getProcessId(), loads, nowNanos);
    }
  }

  @Override
  public void maintain(LeaderTerm term, long nowNanos) throws LeadershipLost {
    List<Planned> planned;
    synchronized (this) {
      if (nowNanos - decidedNanos < DECISION_PERIOD.toNanos()) {
        return;
      }
      decidedNanos = nowNanos;
      rules.update();
      planned = decide(term, viewOf(term, nowNanos), nowNanos);
    }
    for (Planned one : planned) {
      order(term, one);
    }
    updateGauges();
  }

  @Override
  public Optional<DutyCall> next(LeaderTerm term, long nowNanos) {
    List<EndpointOrder> pending =
        state.readScale(ScaleState::all).stream()
            .filter(order -> order.outcome() == Outcome.PENDING)
            .toList();
    synchronized (this) {
      lastCallNanos.keySet().retainAll(pending.stream().map(o -> o.call().subject()).toList());
      // The one that was not tried for longest, so that a call that fails holds up no other.
      Optional<DutyCall> call =
          pending.stream()
              .map(EndpointOrder::call)
              .max(Comparator.comparingLong(c -> nanosSinceCall(c.subject(), nowNanos)));
      call.ifPresent(c -> lastCallNanos.put(c.subject(), nowNanos));
      return call;
    }
  }

  @Override
  public void replied(LeaderTerm term, DutyCall call, DutyReply reply, long nowNanos)
      throws LeadershipLost {
    if (reply.verdict() == DutyReply.Verdict.LATER) {
      return;
    }
    boolean accepted = reply.verdict() == DutyReply.Verdict.ACCEPTED;
    leadership.commit(
        term,
        millis -> new Command.EndOrder(millis, call.subject(), call.number(), accepted),
        ControlState.Applied.class);
  }

  /** Returns what is known of each pool in each zone; empty where no pool has bounds. */
  List<Numbers> numbers(LeaderTerm term, long nowNanos) {
    Map<Subject, Optional<EndpointOrder>> orders = new HashMap<>();
    state
        .readScale(ScaleState::all)
        .forEach(o -> orders.put(new Subject(o.pool(), o.zone()), Optional.of(o)));
    Map<Subject, ScaleView.Known> known = new HashMap<>();
    synchronized (this) {
      known.putAll(viewOf(term, nowNanos).known());
    }
    known.keySet().forEach(subject -> orders.putIfAbsent(subject, Optional.empty()));
    List<Numbers> numbers = new ArrayList<>();
    orders.forEach(
        (subject, order) ->
            numbers.add(
                toNumbers(
                    subject,
                    order,
                    Optional.ofNullable(known.get(subject)),
                    term.logMillis(nowNanos))));
    numbers.sort(Comparator.comparing(Numbers::pool).thenComparing(Numbers::zone));
    return numbers;
  }

  /** Registers the metrics. */
  void bind(MeterRegistry registry) {
    Gauge.builder("comfreygap.control.endpoint.orders.pending", this, c -> c.pendingOrders())
        .description("Orders of numbers of endpoints that the platform has not accepted")
        .register(registry);
    Gauge.builder("comfreygap.control.endpoint.orders", this, c -> c.orderCount())
        .description("Orders of numbers of endpoints ever made, over all pools and zones")
        .register(registry);
    synchronized (this) {
      ordered =
          Optional.of(
              MultiGauge.builder("comfreygap.control.endpoints.ordered")
                  .description("Endpoints ordered last, by pool and zone")
                  .register(registry));
    }
  }

  private List<Planned> decide(LeaderTerm term, ScaleView view, long nowNanos) {
    List<Planned> planned = new ArrayList<>();
    view.loads().advance(nowNanos);
    ScaleView.Gateways gateways = view.gateways(term, nowNanos);
    for (Subject subject : view.loads().subjects()) {
      Optional<ScalePolicy.Bounds> bounds = rules.bounds(subject.pool());
      Optional<Load> load = view.loads().sum(subject, nowNanos);
      if (bounds.isEmpty() || load.isEmpty()) {
        continue;
      }
      int refused = view.loads().takeRefused(subject);
      Optional<EndpointOrder> last = lastOrder(subject);
      if (last.filter(o -> isRefusedLately(o, term, nowNanos)).isPresent()) {
        continue;
      }
      ScalePolicy policy = view.policy(subject, settings);
      ScalePolicy.Decision decision =
          policy.decide(
              withRefused(load.get(), refused),
              gateways.knowledge(rules.zoneIn(subject.zone())),
              last.flatMap(order -> toOrder(order, term, nowNanos)),
              bounds.get(),
              nowNanos);
      ScaleView.Known known = new ScaleView.Known(decision, load.get(), policy.needed());
      recordObstacle(subject, view.known(subject, known), known, gateways);
      if (decision.isChange()) {
        int before = last.map(EndpointOrder::count).orElse(load.get().endpoints());
        planned.add(new Planned(subject, known, before));
      }
    }
    view.retain(subject -> rules.bounds(subject.pool()).isPresent());
    return planned;
  }

  private void order(LeaderTerm term, Planned planned) throws LeadershipLost {
    Subject subject = planned.subject();
    ScalePolicy.Decision decision = planned.known().decision();
    String name = ScaleState.subject(subject.pool(), subject.zone());
    long number = lastOrder(subject).map(order -> order.call().number() + 1).orElse(1L);
    DutyCall call =
        DutyCall.of(
            Duty.ENDPOINTS,
            name,
            number,
            dialect.endpoints(subject.pool(), subject.zone(), decision.number()));
    leadership.commit(
        term,
        millis ->
            new Command.OrderEndpoints(
                millis,
                subject.pool(),
                subject.zone(),
                decision.number(),
                decision.reason().name(),
                call),
        ControlState.Applied.class);
    events.record(
        ControlEvent.ENDPOINTS_ORDERED,
        Field.of("pool", subject.pool()),
        Field.of("zone", subject.zone()),
        Field.of("count", decision.number()),
        Field.of("before", planned.before()),
        Field.of("reason", decision.reason()),
        Field.of("number", number),
        Field.of("needed", planned.known().needed().orElse(0)),
        Field.of("inProgress", planned.known().load().inProgress()),
        Field.of("waiting", planned.known().load().waiting()),
        Field.of("endpoints", planned.known().load().endpoints()));
  }

  private void recordObstacle(
      Subject subject,
      Optional<ScaleView.Known> before,
      ScaleView.Known known,
      ScaleView.Gateways gateways) {
    ScalePolicy.Reason reason = known.decision().reason();
    boolean wasObstacle = before.filter(b -> b.decision().reason().isObstacle()).isPresent();
    boolean same = before.filter(b -> b.decision().reason() == reason).isPresent();
    if (!same && (reason.isObstacle() || wasObstacle)) {
      events.record(
          ControlEvent.ENDPOINTS_KEPT,
          Field.of("pool", subject.pool()),
          Field.of("zone", subject.zone()),
          Field.of("reason", reason),
          Field.of("count", known.decision().number()),
          Field.of("gateways", gateways.known()),
          Field.of("reporting", gateways.fresh()));
    }
  }

  private ScaleView viewOf(LeaderTerm term, long nowNanos) {
    if (current.filter(view -> view.isOf(term)).isEmpty()) {
      current = Optional.of(new ScaleView(term, nowNanos));
      lastCallNanos.clear();
      decidedNanos = nowNanos - DECISION_PERIOD.toNanos();
    }
    return current.get();
  }

  private Optional<EndpointOrder> lastOrder(Subject subject) {
    return state.readScale(s -> s.find(ScaleState.subject(subject.pool(), subject.zone())));
  }

  private long nanosSinceCall(String subject, long nowNanos) {
    Long at = lastCallNanos.get(subject);
    return at == null ? Long.MAX_VALUE : nowNanos - at;
  }

  private void updateGauges() {
    Optional<MultiGauge> gauge;
    synchronized (this) {
      gauge = ordered;
    }
    gauge.ifPresent(
        registered ->
            registered.register(
                state.readScale(ScaleState::all).stream()
                    .map(
                        o ->
                            MultiGauge.Row.of(
                                Tags.of("pool", o.pool(), "zone", o.zone()), o.count()))
                    .toList(),
                true));
  }

  private long pendingOrders() {
    return state.readScale(ScaleState::all).stream()
        .filter(order -> order.outcome() == Outcome.PENDING)
        .count();
  }

  private long orderCount() {
    return state.readScale(ScaleState::all).stream().mapToLong(o -> o.call().number()).sum();
  }

  private static boolean isRefusedLately(EndpointOrder order, LeaderTerm term, long nowNanos) {
    return order.outcome() == Outcome.REFUSED
        && term.logMillis(nowNanos) - order.outcomeMillis() < REFUSAL_PAUSE.toMillis();
  }

  private static Optional<ScalePolicy.Order> toOrder(
      EndpointOrder order, LeaderTerm term, long nowNanos) {
    long millis = Math.max(0, term.logMillis(nowNanos) - order.outcomeMillis());
    long atNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(millis);
    return order.countInForce().isPresent()
        ? Optional.of(new ScalePolicy.Order(order.countInForce().getAsInt(), atNanos))
        : Optional.empty();
  }

  private static Load load(PoolDemand item) {
    return new Load(
        Math.max(0, item.getInProgress()),
        Math.max(0, item.getWaiting()),
        Math.max(0, item.getRefused()),
        Math.max(0, item.getEndpoints()),
        Math.max(0, item.getSlots()));
  }

  private static Load withRefused(Load load, int refused) {
    return new Load(load.inProgress(), load.waiting(), refused, load.endpoints(), load.slots());
  }

  private static Numbers toNumbers(
      Subject subject,
      Optional<EndpointOrder> order,
      Optional<ScaleView.Known> known,
      long logMillis) {
    return new Numbers(
        subject.pool(),
        subject.zone(),
        order.map(EndpointOrder::count).orElse(null),
        order.map(o -> OperationsResource.lowerCaseName(o.outcome())).orElse(null),
        order.map(EndpointOrder::reason).map(ScaleController::text).orElse(null),
        order.map(o -> Math.max(0, logMillis - o.orderedMillis())).orElse(null),
        known.map(k -> k.load().endpoints()).orElse(null),
        known.filter(k -> k.needed().isPresent()).map(k -> k.needed().getAsInt()).orElse(null),
        known.map(k -> k.decision().reason().text()).orElse(null));
  }

  /** Returns a reason in words; an order of a later release may have one that is not known here. */
  private static String text(String reason) {
    return ScalePolicy.Reason.parse(reason).map(ScalePolicy.Reason::text).orElse(reason);
  }
}
