package org.comfreygap.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.decisions.AdapterResidency;
import org.comfreygap.decisions.CustomerCredit;
import org.comfreygap.decisions.EndpointPace;
import org.comfreygap.decisions.EndpointSelector;
import org.comfreygap.decisions.FairQueue;
import org.comfreygap.decisions.FirstHomes;
import org.comfreygap.decisions.LimiterChoice;
import org.comfreygap.decisions.PacedCost;
import org.comfreygap.decisions.PlacementCost;
import org.comfreygap.decisions.SendSlots;
import org.comfreygap.settings.Priority;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Microbenchmarks of the policy decisions at the design capacity: 920 endpoints, 12,000 adapters.
 *
 * <p>{@code java -cp comfreygap-bench-all.jar org.openjdk.jmh.Main DecisionBenchmarks -prof gc}
 * prints the 99th percentile of each and the bytes allocated per operation. Thread safety: one
 * thread runs each benchmark.
 *
 * @since 0.1
 */
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionBenchmarks {

  private static final int ENDPOINTS = 920;
  private static final int ADAPTERS = 12_000;
  private static final int BASE_MODELS = 7;
  private static final int SLOTS = 16;
  private static final int MAX_BATCH = 64;
  private static final int DRAWS = 1 << 16;
  private static final double SKEW = 1.1;
  private static final int TEAMS = 100;

  /** One routing decision, with the dispatch and the end of its request. */
  @Benchmark
  public int route(Routing routing) {
    return routing.decide();
  }

  /** A granted reservation and its settlement. */
  @Benchmark
  public boolean reserveCredit(Credit credit) {
    return credit.reserveAndSettle();
  }

  /** Offers an item to a queue with 256 items and polls the next one. */
  @Benchmark
  public boolean admitToQueue(Queue queue) {
    return queue.offerAndPoll();
  }

  /** Checks an endpoint's request limit at its limiter among 300 gateways, and reserves a send. */
  @Benchmark
  public long reserveSend(Limiter limiter) {
    return limiter.reserve();
  }

  /** Pins and unpins a resident adapter. */
  @Benchmark
  public boolean pinResident(Residency residency) {
    return residency.pinAndUnpin();
  }

  /** Chooses a victim for a load when all slots are full. */
  @Benchmark
  public boolean chooseVictim(Residency residency) {
    return residency.canLoadOther();
  }

  /** Chooses among the engines of one pool that state their pace. */
  @Benchmark
  public int choosePaced(Paced paced) {
    return paced.choose();
  }

  private static int[] draws(int ranks, long seed) {
    Zipf zipf = new Zipf(ranks, SKEW);
    Random random = new Random(seed);
    int[] drawn = new int[DRAWS];
    for (int i = 0; i < DRAWS; i++) {
      drawn[i] = zipf.draw(random);
    }
    return drawn;
  }

  /** The limiter of an endpoint that takes 1.5 requests a second. */
  @State(Scope.Thread)
  public static class Limiter {

    private static final int GATEWAYS = 300;
    private static final double PER_SECOND = 1.5;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final long endpoint = AdapterHomes.hash("i-1");
    private final LimiterChoice choice = new LimiterChoice("gateway-0", Duration.ofSeconds(3));
    private final SendSlots slots = new SendSlots(PER_SECOND, 0);
    private long nowNanos;
    private int customer;

    /** Fills the view of the membership. */
    @Setup
    public void fill() {
      List<LimiterChoice.Candidate> gateways = new ArrayList<>();
      for (int i = 0; i < GATEWAYS; i++) {
        String zone = i == 0 ? "zone-own" : "zone-" + i % 3;
        gateways.add(new LimiterChoice.Candidate("gateway-" + i, zone, "10.0.0.1:7606"));
      }
      for (; nowNanos <= TimeUnit.SECONDS.toNanos(4); nowNanos += 20 * STEP_NANOS) {
        choice.update(gateways, List.of(), true, nowNanos);
      }
    }

    long reserve() {
      nowNanos += STEP_NANOS;
      customer = (customer + 1) % 5;
      boolean granting = choice.mayGrant(endpoint, "zone-own", nowNanos);
      long wait = slots.reserve(PER_SECOND, MAX_WAIT_NANOS, customer, nowNanos);
      return granting ? wait : SendSlots.NONE;
    }
  }

  /** The engines of one pool at different paces, and an adapter that a few of them hold. */
  @State(Scope.Thread)
  public static class Paced {

    private static final int HOLDERS = 3;
    private static final int[] PERCENTS = {60, 100, 160};

    /** Endpoints of the pool. */
    @Param({"38", "920"})
    int engines;

    private final long[] adapters = new long[DRAWS];
    private EndpointPace[] paces;
    private long[] hashes;
    private long[] weights;
    private long nowNanos = 1;
    private int next;

    /** States the paces. */
    @Setup
    public void fill() {
      paces = new EndpointPace[engines];
      hashes = new long[engines];
      weights = new long[engines];
      for (int i = 0; i < engines; i++) {
        paces[i] = new EndpointPace();
        paces[i].stated(PERCENTS[i % PERCENTS.length] * (i % 7 == 0 ? 5 : 2) / 2, nowNanos);
        hashes[i] = AdapterHomes.hash("i-" + i);
      }
      for (int i = 0; i < DRAWS; i++) {
        adapters[i] = AdapterHomes.hash("base/a" + i);
      }
    }

    int choose() {
      nowNanos += 1_000;
      long adapter = adapters[next++ & (DRAWS - 1)];
      FirstHomes homes = new FirstHomes();
      for (int i = 0; i < engines; i++) {
        weights[i] = AdapterHomes.weight(adapter, hashes[i], paces[i].homeDraws());
        homes.add(weights[i]);
      }
      PacedCost.Prompt prompt = new PacedCost.Prompt(76_000, 31_000, 300_000);
      int best = 0;
      double lowest = Double.MAX_VALUE;
      for (int i = 0; i < engines; i++) {
        int home = homes.position(weights[i]);
        double expected = paces[i].expected(nowNanos);
        double cost =
            PacedCost.engine(
                new PacedCost.State(
                    MAX_BATCH,
                    i & 15,
                    expected,
                    paces[i].cautious(expected),
                    paces[i].expected(nowNanos, TimeUnit.SECONDS.toNanos(1)),
                    (i & 3) * 76_000,
                    home < HOLDERS ? PlacementCost.Residency.HELD : PlacementCost.Residency.ABSENT,
                    home,
                    i % 3 == 0),
                prompt,
                PacedCost.Preferences.DEFAULT);
        if (cost < lowest) {
          lowest = cost;
          best = i;
        }
      }
      return best;
    }
  }

  /** A gateway's selector in steady state. */
  @State(Scope.Thread)
  public static class Routing {

    private final int[] drawn = draws(ADAPTERS, 1);
    private final EndpointSelector.Query[] queries = new EndpointSelector.Query[ADAPTERS];
    private final int endpoints;
    private EndpointSelector selector;
    private int next;
    private long nowNanos = 1;

    /** Creates the state at the design capacity. */
    public Routing() {
      this(ENDPOINTS);
    }

    Routing(int endpoints) {
      this.endpoints = endpoints;
    }

    /** Fills the fleet, its reports and the popularity of the adapters. */
    @Setup
    public void fill() {
      selector = new EndpointSelector(new AdapterHomes(32_768, 8), 1);
      List<EndpointSelector.EndpointSpec> specs = new ArrayList<>();
      for (int i = 0; i < endpoints; i++) {
        specs.add(
            new EndpointSelector.EndpointSpec(
                "endpoint-" + i, "zone-" + i % 8, "base-" + i % BASE_MODELS, MAX_BATCH));
      }
      selector.fleet(specs);
      for (int i = 0; i < ADAPTERS; i++) {
        queries[i] =
            new EndpointSelector.Query(
                "base-" + i % BASE_MODELS,
                AdapterHomes.hash("team/adapter-" + i + "@1"),
                "zone-" + i % 8,
                0,
                List.of());
      }
      Random random = new Random(2);
      for (int i = 0; i < endpoints; i++) {
        long[] resident = new long[SLOTS];
        for (int slot = 0; slot < SLOTS; slot++) {
          resident[slot] = queries[drawn[random.nextInt(DRAWS)]].adapter();
        }
        selector.reported(i, "boot", 1, random.nextInt(MAX_BATCH), MAX_BATCH, resident, nowNanos);
        selector.availability(i, EndpointSelector.Availability.OPEN);
      }
      for (int i = 0; i < DRAWS; i++) {
        decide();
      }
    }

    int decide() {
      nowNanos += 1_000;
      int chosen = selector.select(queries[drawn[next++ & (DRAWS - 1)]], nowNanos);
      if (chosen != EndpointSelector.NONE) {
        selector.dispatched(chosen, nowNanos);
        selector.finished(chosen);
      }
      return chosen;
    }
  }

  /** One customer's credit at a gateway, always granted. */
  @State(Scope.Thread)
  public static class Credit {

    private static final long CREDIT_LIFETIME_NANOS = Duration.ofSeconds(2).toNanos();

    private final CustomerCredit credit = new CustomerCredit();
    private long nowNanos = 1;

    boolean reserveAndSettle() {
      nowNanos += 1_000;
      if (credit.held(nowNanos) < 1_000) {
        credit.granted(1_000_000, nowNanos + CREDIT_LIFETIME_NANOS, 0, nowNanos);
        credit.exchange(nowNanos);
      }
      CustomerCredit.Ticket ticket = credit.reserve(500, Priority.NORMAL, nowNanos);
      credit.settle(ticket, 300, nowNanos);
      return ticket.state() == CustomerCredit.State.SETTLED;
    }
  }

  /** A sidecar's queue in steady state. */
  @State(Scope.Thread)
  public static class Queue {

    private static final int WAITING = 256;

    private final FairQueue<String> queue =
        new FairQueue<>(1_024, 10_000_000, Duration.ofSeconds(10));
    private long number;
    private long nowNanos = 1;

    /** Fills the queue. */
    @Setup
    public void fill() {
      for (int i = 0; i < 64; i++) {
        queue.ready("team/adapter-" + i + "@1", true);
      }
      for (int i = 0; i < WAITING; i++) {
        offer();
      }
    }

    boolean offerAndPoll() {
      boolean accepted = offer();
      Optional<FairQueue.Item<String>> item = queue.poll(nowNanos, MAX_BATCH, payload -> true);
      item.ifPresent(taken -> queue.finished(taken.customer(), nowNanos));
      return accepted && item.isPresent();
    }

    private boolean offer() {
      number++;
      nowNanos += 1_000;
      return queue
          .offer(
              new FairQueue.Item<>(
                  Long.toString(number),
                  "team/customer-" + number % 20,
                  Priority.values()[(int) (number % 3)],
                  500,
                  "team/adapter-" + number % 64 + "@1",
                  false,
                  ""),
              nowNanos)
          .accepted();
    }
  }

  /** The residency of an engine with full slots. */
  @State(Scope.Thread)
  public static class Residency {

    private final AdapterResidency residency = new AdapterResidency(SLOTS);
    private final String[] names = new String[SLOTS];
    private long number;
    private long nowNanos = 1;

    /** Reads a state in which all slots are taken. */
    @Setup
    public void fill() {
      List<String> resident = new ArrayList<>();
      for (int i = 0; i < SLOTS; i++) {
        names[i] = "team-" + i % TEAMS + "/adapter-" + i + "@1";
        resident.add(names[i]);
      }
      residency.stateRead(residency.readToken(), resident, false, nowNanos);
    }

    boolean pinAndUnpin() {
      nowNanos += 1_000;
      String id = Long.toString(++number);
      boolean pinned = residency.tryPin(id, names[(int) (number % SLOTS)], nowNanos);
      residency.unpin(id);
      return pinned;
    }

    boolean canLoadOther() {
      nowNanos += 1_000;
      return residency.canBegin("team/other@1", adapter -> false, nowNanos);
    }
  }
}
