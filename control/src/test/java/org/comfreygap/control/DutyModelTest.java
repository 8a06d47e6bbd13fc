package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.comfreygap.decisions.ScalePolicy;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.protocol.generated.WindowUsage;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.Timeline;
import org.junit.jupiter.api.Test;

/**
 * Runs the holder and the usage report at three instances against a platform that checks fence,
 * holders and content, in steps of a simulated monotonic clock.
 */
class DutyModelTest {

  private static final int SEEDS = 2_000;
  private static final int STEP_MILLIS = 100;
  private static final int STEPS = 270;

  /** Steps before the end in which nothing fails. */
  private static final int QUIET_STEPS = 70;

  private static final long LEASE_MILLIS = 300;
  private static final long WINDOW_MILLIS = 1_000;
  private static final long TRUE_MILLIS = 1_796_000_000_000L;

  private static final DutySettings SETTINGS =
      new DutySettings(
          EnumSet.of(Duty.USAGE),
          "127.0.0.1:1",
          "unused",
          1_000,
          Duration.ofMillis(LEASE_MILLIS),
          Duration.ofMillis(WINDOW_MILLIS),
          0.05,
          Duration.ofMillis(3_000));

  private final EventLog events =
      new EventLog("model", new HybridClock(System::currentTimeMillis), new Timeline(1_000));

  /** Load: three gateways; leaders change, return, and half of all calls is lost or refused. */
  @Test
  void windowsAreReportedOnceUnderRisingFencingNumbers() throws Exception {
    int accepted = 0;
    int changes = 0;
    int turns = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      Model model = new Model(seed);
      model.run();
      accepted += model.platform.windows().size();
      turns += model.platform.turns();
      changes += model.leaderChanges;
    }
    events.close();
    // The model is worth nothing if few windows are reported or leaders never change.
    assertThat(accepted).isGreaterThan(SEEDS * 5);
    assertThat(changes).isGreaterThan(SEEDS);
    assertThat(turns).isGreaterThan(SEEDS * 2);
  }

  /** A gateway that counts one request in each step. */
  private static final class CountingGateway {

    private final String id;
    private int start;
    private final Map<Long, Long> counts = new TreeMap<>();

    CountingGateway(String id) {
      this.id = id;
    }

    void count(long window) {
      counts.merge(window, 1L, Long::sum);
    }

    HeartbeatRequest heartbeat(long window, long wallMillis) {
      counts.putIfAbsent(window, 0L);
      counts.keySet().removeIf(old -> old < window - 20);
      ProcessIdentity identity = ControlFixture.process(id, ProcessKind.GATEWAY, "start-" + start);
      HeartbeatRequest request = new HeartbeatRequest(identity, 0, false, 0);
      request.setWallMillis(wallMillis);
      List<WindowUsage> usage = new ArrayList<>();
      counts.forEach((at, count) -> usage.add(new WindowUsage(at, Map.of("main/" + id, count))));
      request.setUsage(usage);
      return request;
    }
  }

  /** An instance with the classes under test. */
  private final class Instance {

    private final String id;
    private final MemoryCluster.Replica log;
    private final Leadership leadership;
    private final DutyHolder holder;
    private final DutySources sources;
    private final UsageReports reports;
    private Optional<DutyCall> open = Optional.empty();
    private Optional<DutyState.Holding> openHolding = Optional.empty();
    private LeaderTerm openTerm;
    private DutyReply openReply;
    private long endsMillis;
    private boolean arrives;

    Instance(MemoryCluster cluster, String id) {
      this.id = id;
      ControlState state = new ControlState();
      this.log = cluster.add(id, state);
      this.leadership =
          new Leadership(log, state, events, new ControlState.ReplicaAddresses(id, "a:1", "a:2"));
      DutySettings own =
          new DutySettings(
              SETTINGS.asked(),
              SETTINGS.address(),
              id,
              SETTINGS.callsPerSecond(),
              SETTINGS.lease(),
              SETTINGS.window(),
              SETTINGS.allowedError(),
              SETTINGS.lateness());
      DutyMetrics metrics = new DutyMetrics(state, own);
      FleetTimeController time = new FleetTimeController();
      this.holder = new DutyHolder(leadership, state, own, events);
      this.reports =
          new UsageReports(leadership, state, own, new TextDialect(), time, metrics, events);
      ScaleController scale =
          new ScaleController(
              leadership, state, ScalePolicy.Settings.DEFAULT, new TextDialect(), events);
      this.sources = new DutySources(own, time, reports, scale);
    }
  }

  /** A run of one seed. */
  private final class Model {

    private final Random random;
    private final DutyRules platform;
    private final MemoryCluster cluster = new MemoryCluster();
    private final List<Instance> instances = new ArrayList<>();
    private final List<CountingGateway> gateways = new ArrayList<>();
    private final Map<Long, Map<String, Long>> truth = new TreeMap<>();
    private final boolean restarts;
    private final long baseNanos = System.nanoTime();
    private Instance leader;
    private int leaderChanges;
    private long millis;
    private int backUntil;
    private int downUntil;
    private boolean down;

    Model(int seed) {
      this.random = new Random(seed);
      this.platform = new DutyRules("seed " + seed, LEASE_MILLIS);
      this.restarts = random.nextBoolean();
      for (String id : List.of("c1", "c2", "c3")) {
        instances.add(new Instance(cluster, id));
      }
      for (String id : List.of("g1", "g2", "g3")) {
        gateways.add(new CountingGateway(id));
      }
      elect(instances.get(0));
    }

    void run() throws Exception {
      for (int step = 0; step < STEPS; step++) {
        boolean quiet = step >= STEPS - QUIET_STEPS;
        millis += STEP_MILLIS;
        // Leaders change seldom, or come back at once.
        if (!quiet && random.nextInt(step < backUntil ? 4 : 30) == 0) {
          elect(instances.get(random.nextInt(instances.size())));
          backUntil = step + random.nextInt(20);
        }
        if (!quiet && random.nextInt(40) == 0) {
          downUntil = step + random.nextInt(30);
        }
        down = !quiet && step < downUntil;
        if (!quiet && random.nextInt(20) == 0) {
          cluster.loseResults(1);
        }
        count(quiet);
        for (Instance instance : instances) {
          endCall(instance);
        }
        lead(step, quiet);
      }
      checkReports();
    }

    private void elect(Instance next) {
      if (next != leader) {
        leaderChanges++;
      }
      leader = next;
      cluster.elect(next.log);
    }

    private long now() {
      return baseNanos + millis * 1_000_000;
    }

    private long window() {
      return (TRUE_MILLIS + millis) / WINDOW_MILLIS;
    }

    private void count(boolean quiet) {
      for (CountingGateway gateway : gateways) {
        gateway.count(window());
        truth.computeIfAbsent(window(), at -> new HashMap<>()).merge(gateway.id, 1L, Long::sum);
        if (restarts && !quiet && random.nextInt(40) == 0) {
          gateway.start++;
          gateway.counts.clear();
        }
      }
    }

    /** Lets the leader hear the gateways, prepare and begin a call; each step may fail. */
    private void lead(int step, boolean quiet) {
      Optional<LeaderTerm> current = leader.leadership.current();
      if (current.isEmpty()) {
        return;
      }
      LeaderTerm term = current.get();
      for (CountingGateway gateway : gateways) {
        if ((step + gateway.id.hashCode()) % 5 == 0) {
          hear(term, gateway.heartbeat(window(), TRUE_MILLIS + millis));
        }
      }
      try {
        leader.holder.maintain(term, now());
        leader.reports.maintain(term, now());
        beginCall(term, quiet);
      } catch (LeadershipLost e) {
        // The result of a command was lost; the next step tries again.
      }
    }

    private void hear(LeaderTerm term, HeartbeatRequest request) {
      ProcessIdentity identity = request.getIdentity();
      synchronized (term.members()) {
        term.members()
            .heartbeat(
                new org.comfreygap.decisions.MembershipView.Identity<>(
                    identity.getProcessId(), identity.getStartId(), "a:1", identity),
                0,
                false,
                now());
      }
      leader.sources.heartbeat(term, request, now());
    }

    private void beginCall(LeaderTerm term, boolean quiet) {
      Optional<DutyState.Holding> holding = leader.holder.acting(term, now());
      if (holding.isEmpty() || leader.open.isPresent()) {
        return;
      }
      Optional<DutyCall> call = leader.reports.next(term, now());
      if (call.isEmpty() || !leader.holder.mayWrite(term, holding.get())) {
        return;
      }
      leader.open = call;
      leader.openHolding = holding;
      leader.openTerm = term;
      // A call ends well within the lease, whether or not its leader still leads.
      leader.endsMillis = millis + random.nextInt((int) (LEASE_MILLIS * 6 / 10));
      int fault = down ? 5 : quiet ? 0 : random.nextInt(6);
      leader.arrives = fault <= 3;
      leader.openReply =
          switch (fault) {
            case 0, 1, 2 -> DutyReply.of(200);
            case 3 -> DutyReply.broken("the reply was lost");
            case 4 -> DutyReply.of(random.nextBoolean() ? 429 : 500);
            default -> DutyReply.broken("the call was lost");
          };
    }

    private void endCall(Instance instance) {
      if (instance.open.isEmpty() || millis < instance.endsMillis) {
        return;
      }
      DutyCall call = instance.open.get();
      instance.open = Optional.empty();
      if (instance.arrives) {
        platform.take(instance.openHolding.get(), call.number(), call.body(), millis);
      }
      try {
        instance.reports.replied(instance.openTerm, call, instance.openReply, now());
      } catch (LeadershipLost e) {
        // The next leader sends the same call again.
      }
    }

    private void checkReports() throws Exception {
      DutyState.Progress progress =
          MemoryCluster.copy(leader.log.state()).readDuties(DutyState::progress);
      assertThat(progress.backlog()).as(platform.name()).isLessThanOrEqualTo(1);
      assertThat(progress.closedWindow()).as(platform.name()).isGreaterThanOrEqualTo(window() - 2);
      long first = platform.windows().keySet().iterator().next();
      for (long at = first; at <= progress.acceptedWindow(); at++) {
        assertThat(platform.windows()).as(platform.name()).containsKey(at);
        checkCounts(at, platform.windows().get(at));
      }
    }

    /** Nothing is invented, and nothing is lost of gateways that did not restart. */
    private void checkCounts(long window, String body) throws Exception {
      Map<?, ?> reported = Codec.MAPPER.readValue(body, Map.class);
      Map<?, ?> begun = (Map<?, ?>) reported.get("begun");
      truth
          .get(window)
          .forEach(
              (gateway, count) -> {
                Integer got = (Integer) begun.get("main/" + gateway);
                assertThat(got == null ? 0 : got)
                    .as(platform.name())
                    .isLessThanOrEqualTo(count.intValue());
                if (!restarts) {
                  assertThat(got).as(platform.name() + " " + begun).isEqualTo(count.intValue());
                }
              });
    }
  }

  /** Writes the arguments as JSON. */
  static final class TextDialect implements DutyDialect {

    @Override
    public Request usage(long window, Map<String, Long> begun) {
      return new Request(
          "POST",
          "/usage",
          Codec.MAPPER
              .valueToTree(new TreeMap<>(Map.of("window", window, "begun", new TreeMap<>(begun))))
              .toString());
    }

    @Override
    public Request endpoints(String pool, String zone, int count) {
      return new Request("POST", "/endpoints", "{}");
    }

    @Override
    public String holderHeader() {
      return "Holder";
    }

    @Override
    public String fencingHeader() {
      return "Fencing";
    }

    @Override
    public Optional<Duty> duty(String name) {
      return name.equals("usage") ? Optional.of(Duty.USAGE) : Optional.empty();
    }
  }
}
