package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.EndpointLimit.Statement;
import org.comfreygap.decisions.LimiterChoice.Candidate;

/**
 * A model of gateways that send to endpoints with request limits: the decisions are those of the
 * product, messages, control and responses are simulated.
 *
 * <p>Invariant: a run depends on its seed alone. Thread safety: not thread-safe.
 */
final class EndpointLimitFleet {

  static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private static final Duration LEASE = Duration.ofSeconds(3);
  private static final long HEARTBEAT = 500 * MILLI;
  private static final long SUSPECT_AFTER = 3 * SECOND;
  private static final long UPDATE_PERIOD = 200 * MILLI;
  private static final long MESSAGE = MILLI;
  private static final long MESSAGE_SPREAD = 3 * MILLI;
  private static final double LOST_MESSAGES = 0.002;
  private static final long REPLY_TIMEOUT = 300 * MILLI;
  private static final long NO_LIMITER_PAUSE = 500 * MILLI;
  private static final long MAX_WAIT = 600 * MILLI;
  private static final int CUSTOMERS = 5;
  private static final int ZONES = 3;
  private static final int ACTIVE_DIVISOR = 3;
  private static final long REFRESH_PERIOD = 5 * SECOND;

  private final Random random;
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final Sharing sharing;
  private final int activeGateways;
  private long order;
  private long now;
  private long waitNanos;
  private long messages;
  private int sends;
  private int refused;

  /** How gateways share a limit. */
  enum Sharing {
    /** One gateway grants all sends. */
    LIMITER,
    /** Each gateway takes its part of the limit. */
    EQUAL_PARTS,
    /** One gateway of the fleet sends, without asking. */
    ONE_SENDER,
    /** Each gateway takes the whole limit. */
    EACH_ALONE
  }

  private record Step(long at, long order, Runnable run) implements Comparable<Step> {

    @Override
    public int compareTo(Step other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private static final class Endpoint {
    private final String id;
    private final long hash;
    private final String zone;
    private final List<Long> arrivals = new ArrayList<>();
    private StatedLimit stated = StatedLimit.NONE;

    Endpoint(String id, String zone) {
      this.id = id;
      this.hash = AdapterHomes.hash(id);
      this.zone = zone;
    }
  }

  private static final class Gateway {
    private final Candidate identity;
    private final List<EndpointLimit> limits = new ArrayList<>();
    private final List<EndpointLimit> granted = new ArrayList<>();
    private final List<SendSlots> slots = new ArrayList<>();
    private final List<SendSlots> own = new ArrayList<>();
    private final List<Long> nextOwnPart = new ArrayList<>();
    private final List<Long> blockedUntil = new ArrayList<>();
    private LimiterChoice choice;
    private List<Candidate> view = List.of();
    private List<String> departed = List.of();
    private long confirmedAt = Long.MIN_VALUE / 2;
    private boolean running = true;
    private boolean cutFromControl;

    Gateway(Candidate identity, int endpointCount) {
      this.identity = identity;
      for (int i = 0; i < endpointCount; i++) {
        limits.add(new EndpointLimit());
        granted.add(new EndpointLimit());
        slots.add(null);
        own.add(null);
        nextOwnPart.add(0L);
        blockedUntil.add(0L);
      }
      restart();
    }

    /** Forgets everything, as a killed process does. */
    void restart() {
      choice = new LimiterChoice(identity.processId(), LEASE);
      view = List.of();
      departed = List.of();
      confirmedAt = Long.MIN_VALUE / 2;
      for (int i = 0; i < limits.size(); i++) {
        limits.set(i, new EndpointLimit());
        granted.set(i, new EndpointLimit());
        slots.set(i, null);
        own.set(i, null);
      }
    }
  }

  EndpointLimitFleet(int gatewayCount, int endpointCount, Sharing sharing, long seed) {
    this.random = new Random(seed);
    this.sharing = sharing;
    this.activeGateways = Math.max(1, gatewayCount / ACTIVE_DIVISOR);
    for (int i = 0; i < endpointCount; i++) {
      endpoints.add(new Endpoint("i-" + i, "z" + i % ZONES));
    }
    for (int i = 0; i < gatewayCount; i++) {
      Candidate identity = new Candidate("gateway-" + i, "z" + i % ZONES, "10.0.0." + i + ":1");
      Gateway gateway = new Gateway(identity, endpointCount);
      gateways.add(gateway);
      at(random.nextLong(HEARTBEAT), () -> heartbeat(gateway));
      at(random.nextLong(UPDATE_PERIOD), () -> update(gateway));
      at(random.nextLong(REFRESH_PERIOD), () -> refresh(gateway));
    }
  }

  /** Makes every endpoint state a limit from the given time. */
  void limitAll(long atNanos, StatedLimit limit) {
    at(atNanos, () -> endpoints.forEach(endpoint -> endpoint.stated = limit));
  }

  /** Begins calls at random gateways among those that the balancer's hash prefers. */
  void demand(long from, long to, double perSecond) {
    long next = from + (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
    if (next < to) {
      at(next, () -> call(random.nextInt(activeGateways), to, perSecond));
    }
  }

  /** Stops a gateway's process for some time; its clocks and memory remain when it is frozen. */
  void stop(int gateway, long from, long duration, boolean frozen) {
    at(from, () -> gateways.get(gateway).running = false);
    at(
        from + duration,
        () -> {
          gateways.get(gateway).running = true;
          if (!frozen) {
            gateways.get(gateway).restart();
          }
        });
  }

  void cutFromControl(int gateway, long from, long duration) {
    at(from, () -> gateways.get(gateway).cutFromControl = true);
    at(from + duration, () -> gateways.get(gateway).cutFromControl = false);
  }

  /** Adds a gateway to the membership at the given time, as one that starts. */
  void startLate(int gateway, long at) {
    stop(gateway, 0, at, false);
  }

  /** Returns the number of the gateway that grants the sends to the first endpoint now. */
  int limiterOfFirst() {
    LimiterChoice choice = new LimiterChoice("observer", LEASE);
    choice.update(gateways.stream().map(one -> one.identity).toList(), List.of(), true, 0);
    Candidate limiter = choice.limiter(endpoints.get(0).hash, endpoints.get(0).zone).orElseThrow();
    return Integer.parseInt(limiter.processId().substring("gateway-".length()));
  }

  void play(long until) {
    while (!steps.isEmpty() && steps.peek().at <= until) {
      Step step = steps.poll();
      now = step.at;
      step.run.run();
    }
  }

  /** Returns the most arrivals at one endpoint within any window that begins at or after a time. */
  int mostWithin(long window, long from) {
    return endpoints.stream()
        .mapToInt(
            endpoint ->
                SendSlotsTest.mostWithin(
                    endpoint.arrivals.stream().filter(at -> at >= from).toList(), window))
        .max()
        .orElse(0);
  }

  /** Returns the arrivals at all endpoints between two times. */
  int arrived(long from, long to) {
    return endpoints.stream()
        .mapToInt(
            endpoint ->
                (int) endpoint.arrivals.stream().filter(at -> at >= from && at < to).count())
        .sum();
  }

  double meanWaitMillis() {
    return sends == 0 ? 0 : waitNanos / (double) MILLI / sends;
  }

  double messagesPerSecond(long duration) {
    return messages / (duration / (double) SECOND);
  }

  int refused() {
    return refused;
  }

  private void at(long at, Runnable run) {
    steps.add(new Step(at, order++, run));
  }

  private void heartbeat(Gateway gateway) {
    at(now + HEARTBEAT, () -> heartbeat(gateway));
    if (!gateway.running || gateway.cutFromControl) {
      return;
    }
    List<Candidate> live = new ArrayList<>();
    List<String> departed = new ArrayList<>();
    gateway.confirmedAt = now;
    for (Gateway other : gateways) {
      if (now - other.confirmedAt < SUSPECT_AFTER) {
        live.add(other.identity);
      } else {
        departed.add(other.identity.processId());
      }
    }
    gateway.view = live;
    gateway.departed = departed;
  }

  private void update(Gateway gateway) {
    at(now + UPDATE_PERIOD, () -> update(gateway));
    if (gateway.running) {
      boolean confirmed = now - gateway.confirmedAt < LEASE.toNanos();
      gateway.choice.update(gateway.view, gateway.departed, confirmed, now);
    }
  }

  private void call(int number, long to, double perSecond) {
    demand(now, to, perSecond);
    Gateway gateway = gateways.get(number);
    if (gateway.running) {
      place(gateway, now + MAX_WAIT, random.nextInt(CUSTOMERS), new ArrayList<>());
    }
  }

  private void place(Gateway gateway, long sendBy, int customer, List<Integer> excluded) {
    int best = -1;
    long bestWait = Long.MAX_VALUE;
    int first = random.nextInt(endpoints.size());
    for (int i = 0; i < endpoints.size(); i++) {
      int index = (first + i) % endpoints.size();
      boolean limited = gateway.limits.get(index).isLimited();
      long wait = limited ? Math.max(0, gateway.blockedUntil.get(index) - now) : 0;
      if (!excluded.contains(index) && wait < bestWait && now + wait <= sendBy) {
        best = index;
        bestWait = wait;
      }
    }
    if (best < 0) {
      refused++;
    } else if (gateway.limits.get(best).isLimited()) {
      request(gateway, best, sendBy, customer, excluded);
    } else {
      send(gateway, best);
    }
  }

  private void request(
      Gateway gateway, int index, long sendBy, int customer, List<Integer> excluded) {
    Endpoint endpoint = endpoints.get(index);
    if (sharing == Sharing.LIMITER) {
      askLimiter(gateway, index, sendBy, customer, excluded);
      return;
    }
    double limit = gateway.limits.get(index).perSecond().orElseThrow();
    long wait;
    if (sharing == Sharing.EQUAL_PARTS) {
      boolean free = now >= gateway.nextOwnPart.get(index);
      wait = free ? 0 : SendSlots.NONE;
      if (free) {
        gateway.nextOwnPart.set(index, now + (long) (SECOND * gateways.size() / limit));
      }
    } else {
      boolean sender =
          sharing == Sharing.EACH_ALONE
              || gateway
                  .choice
                  .limiter(endpoint.hash, endpoint.zone)
                  .filter(gateway.identity::equals)
                  .isPresent();
      if (gateway.own.get(index) == null && sender) {
        gateway.own.set(index, new SendSlots(limit, now));
      }
      wait =
          sender
              ? gateway.own.get(index).reserve(limit, sendBy - now, customer, now)
              : SendSlots.NONE;
    }
    decided(gateway, index, wait, NO_LIMITER_PAUSE, sendBy, customer, excluded);
  }

  private void askLimiter(
      Gateway gateway, int index, long sendBy, int customer, List<Integer> excluded) {
    Endpoint endpoint = endpoints.get(index);
    Candidate limiter = gateway.choice.limiter(endpoint.hash, endpoint.zone).orElse(null);
    Statement statement = gateway.limits.get(index).newest().orElseThrow();
    if (limiter == null) {
      decided(gateway, index, SendSlots.NONE, NO_LIMITER_PAUSE, sendBy, customer, excluded);
      return;
    }
    Gateway granting =
        gateways.stream().filter(one -> one.identity.equals(limiter)).findFirst().orElseThrow();
    boolean remote = granting != gateway;
    boolean lost = remote && random.nextDouble() < LOST_MESSAGES;
    messages += remote ? 2 : 0;
    long there = remote ? MESSAGE + random.nextLong(MESSAGE_SPREAD) : 0;
    long back = remote ? MESSAGE + random.nextLong(MESSAGE_SPREAD) : 0;
    at(
        now + there,
        () -> {
          if (!granting.running || lost) {
            at(
                now + REPLY_TIMEOUT,
                () ->
                    decided(
                        gateway,
                        index,
                        SendSlots.NONE,
                        NO_LIMITER_PAUSE,
                        sendBy,
                        customer,
                        excluded));
            return;
          }
          long[] reply = grant(granting, index, statement, sendBy - now - back, customer);
          Statement newest = granting.granted.get(index).newest().orElse(statement);
          at(
              now + back,
              () -> {
                gateway.limits.get(index).apply(newest);
                decided(gateway, index, reply[0], reply[1], sendBy, customer, excluded);
              });
        });
  }

  private long[] grant(
      Gateway granting, int index, Statement statement, long maxWait, int customer) {
    Endpoint endpoint = endpoints.get(index);
    EndpointLimit limit = granting.granted.get(index);
    if (limit.apply(statement)) {
      announce(granting, index);
    }
    if (!limit.isLimited()) {
      granting.slots.set(index, null);
      return new long[] {0, 0};
    }
    if (!granting.choice.mayGrant(endpoint.hash, endpoint.zone, now)) {
      return new long[] {SendSlots.NONE, NO_LIMITER_PAUSE};
    }
    double rate = limit.perSecond().orElseThrow();
    if (granting.slots.get(index) == null) {
      granting.slots.set(index, new SendSlots(rate, now));
    }
    SendSlots slots = granting.slots.get(index);
    long wait = slots.reserve(rate, SendSlots.maxWaitNanos(maxWait, 0), customer, now);
    return new long[] {wait, slots.waitNanos(rate, now)};
  }

  private void decided(
      Gateway gateway,
      int index,
      long wait,
      long nextWait,
      long sendBy,
      int customer,
      List<Integer> excluded) {
    if (wait == SendSlots.NONE) {
      gateway.blockedUntil.set(index, now + nextWait);
      excluded.add(index);
      place(gateway, sendBy, customer, excluded);
      return;
    }
    waitNanos += wait;
    at(now + wait, () -> send(gateway, index));
  }

  private void send(Gateway gateway, int index) {
    if (!gateway.running) {
      return;
    }
    Endpoint endpoint = endpoints.get(index);
    long sentAt = now;
    sends++;
    long there = MESSAGE + random.nextLong(MESSAGE_SPREAD);
    at(
        now + there,
        () -> {
          endpoint.arrivals.add(now);
          StatedLimit stated = endpoint.stated;
          long response = 20 * MILLI + random.nextLong(300 * MILLI);
          at(now + response, () -> read(gateway, index, new Statement(stated, sentAt, now)));
        });
  }

  private void read(Gateway gateway, int index, Statement statement) {
    if (!gateway.running) {
      return;
    }
    boolean changed = gateway.limits.get(index).apply(statement);
    if (!changed) {
      return;
    }
    if (sharing != Sharing.LIMITER) {
      // The other ways are compared at their best: everyone hears at once.
      gateways.forEach(other -> other.limits.get(index).apply(statement));
      return;
    }
    Endpoint endpoint = endpoints.get(index);
    messages++;
    Candidate limiter = gateway.choice.limiter(endpoint.hash, endpoint.zone).orElse(null);
    for (Gateway one : gateways) {
      if (one.identity.equals(limiter) && one.running && one.granted.get(index).apply(statement)) {
        announce(one, index);
      }
    }
  }

  private void refresh(Gateway gateway) {
    at(now + REFRESH_PERIOD, () -> refresh(gateway));
    for (int index = 0; gateway.running && index < endpoints.size(); index++) {
      if (gateway.granted.get(index).isLimited()) {
        announce(gateway, index);
      }
    }
  }

  /** Sends the newest statement from the limiter to all gateways of its view. */
  private void announce(Gateway limiter, int index) {
    Endpoint endpoint = endpoints.get(index);
    if (limiter
        .choice
        .limiter(endpoint.hash, endpoint.zone)
        .filter(limiter.identity::equals)
        .isEmpty()) {
      return;
    }
    Statement newest = limiter.granted.get(index).newest().orElseThrow();
    messages += gateways.size() - 1;
    for (Gateway other : gateways) {
      if (random.nextDouble() >= LOST_MESSAGES) {
        at(
            now + MESSAGE + random.nextLong(MESSAGE_SPREAD),
            () -> {
              if (other.running) {
                other.limits.get(index).apply(newest);
              }
            });
      }
    }
  }
}
