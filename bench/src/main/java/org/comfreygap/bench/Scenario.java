package org.comfreygap.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.comfreygap.testkit.FakeEndpoint;

/**
 * Triggers the events of a run in both systems at the same time.
 *
 * <p>Without a fault: one customer floods, a key is withdrawn, an engine restarts, a zone is taken
 * out and back in, and a gateway stops as planned. With a fault: the base load and that fault
 * alone. The times of events are shares of the load's duration. Thread safety: one thread runs it.
 *
 * @since 0.1
 */
final class Scenario {

  static final double FLOOD_FROM = 0.2;
  static final double FLOOD_TO = 0.4;

  private static final double KEY_WITHDRAWN = 0.42;
  private static final double ENGINE_RESTART = 0.44;
  private static final double ZONE_OUT = 0.48;
  private static final double ZONE_IN = 0.84;
  private static final double GATEWAY_STOP = 0.92;
  private static final double FAULT = 0.3;
  private static final double FAULT_ZONE_IN = 0.7;
  private static final long PARTITION_MILLIS = 4_000;
  private static final long RESTART_DELAY_MILLIS = 1_000;
  private static final int CRASH_SENDS = 4;
  private static final Duration ADMIN_TIMEOUT = Duration.ofSeconds(10);
  private static final String ZONE = "zone-b";
  private static final String RESTARTED_ENGINE = "engine-1";
  private static final List<String> PARTITIONED_ENGINES = List.of("engine-1", "engine-4");

  private final MeasureOptions options;
  private final Systems systems;
  private final EventTimes eventTimes;

  Scenario(MeasureOptions options, Systems systems, EventTimes eventTimes) {
    this.options = options;
    this.systems = systems;
    this.eventTimes = eventTimes;
  }

  /** Runs the events from {@code eventTimes.loadStart} on; returns after the last one. */
  void run() throws IOException, InterruptedException {
    if (options.fault().isPresent()) {
      sleepUntil(FAULT);
      eventTimes.faultInjected = Clock.micros();
      injectFault(options.fault().get());
      return;
    }
    eventTimes.floodStart = timeAt(FLOOD_FROM);
    eventTimes.floodEnd = timeAt(FLOOD_TO);
    sleepUntil(KEY_WITHDRAWN);
    withdrawKey();
    sleepUntil(ENGINE_RESTART);
    injectFaultInAllFakes(RESTARTED_ENGINE, "restart", 0);
    sleepUntil(ZONE_OUT);
    setZoneInService(false);
    sleepUntil(ZONE_IN);
    setZoneInService(true);
    sleepUntil(GATEWAY_STOP);
    stopGateway(Layout.INSTANCES - 1);
  }

  private void injectFault(MeasureOptions.Fault fault) throws IOException, InterruptedException {
    switch (fault) {
      case ENGINE_RESTART -> injectFaultInAllFakes(RESTARTED_ENGINE, "restart", 0);
      case ZONE_OUT -> {
        setZoneInService(false);
        sleepUntil(FAULT_ZONE_IN);
        setZoneInService(true);
      }
      case LEADER_KILL -> killLeader();
      case SILENT_CONNECTION -> injectFaultInAllFakes("*", "silence", 0);
      case CRASH_REQUEST -> sendCrashRequests();
      case SIDECAR_KILL -> killSidecar();
      case GATEWAY_KILL -> killGateway();
      case PARTITION -> {
        for (String engine : PARTITIONED_ENGINES) {
          injectFaultInAllFakes(engine, "refuse", PARTITION_MILLIS);
        }
      }
      default -> throw new IllegalArgumentException("unsupported fault: " + fault);
    }
  }

  private void withdrawKey() throws IOException, InterruptedException {
    if (systems.product.isPresent()) {
      String customer = Layout.TEAM + "/" + ProductFleet.customerName(1);
      systems.product.get().admin().withdrawKey(customer, "temporary", ADMIN_TIMEOUT);
    }
    eventTimes.keyWithdrawn = Clock.micros();
    Progress.log("key withdrawn");
  }

  private void setZoneInService(boolean in) throws IOException, InterruptedException {
    systems.naive.setZoneInService(ZONE, in);
    if (systems.product.isPresent()) {
      systems.product.get().admin().setZoneInService(ZONE, in, ADMIN_TIMEOUT);
    }
    eventTimes.zone = ZONE;
    if (in) {
      eventTimes.zoneIn = Clock.micros();
    } else {
      eventTimes.zoneOut = Clock.micros();
    }
    Progress.log(ZONE + (in ? " in" : " out"));
  }

  private void stopGateway(int index) throws InterruptedException {
    if (systems.product.isEmpty()) {
      return;
    }
    RunningProgram gateway = systems.product.get().program("gateway-" + (index + 1));
    long from = Clock.micros();
    gateway.terminate();
    Progress.log("gateway " + (index + 1) + ": stop requested");
    eventTimes.plannedStops.add(new EventTimes.PlannedStop(index, from, Long.MAX_VALUE));
  }

  private void killLeader() throws IOException, InterruptedException {
    if (systems.product.isEmpty()) {
      return;
    }
    String leader = systems.product.get().leader();
    Optional.ofNullable(systems.product.get().program(leader))
        .orElseThrow(() -> new IOException("leader " + leader + " is not a process of this run"))
        .kill();
    Progress.log("killed " + leader);
  }

  private void killSidecar() throws IOException, InterruptedException {
    if (systems.product.isEmpty()) {
      return;
    }
    Layout.Runner runner = systems.layout.runners.get(0);
    systems.product.get().program("sidecar-" + runner.name()).kill();
    Progress.log("killed the sidecar of " + runner.name());
    Thread.sleep(RESTART_DELAY_MILLIS);
    systems.product.get().startSidecar(runner);
  }

  private void killGateway() throws IOException, InterruptedException {
    if (systems.product.isEmpty()) {
      return;
    }
    systems.product.get().program("gateway-1").kill();
    Progress.log("killed gateway-1");
    Thread.sleep(RESTART_DELAY_MILLIS);
    systems.product.get().startGateway(0);
  }

  private void sendCrashRequests() {
    PlannedRequest crash =
        new PlannedRequest(
            "crash-" + FakeEndpoint.CRASH_MARKER,
            0,
            0,
            Workload.adapterName(0, 0) + "@v1",
            40,
            "normal",
            true,
            "",
            false,
            false);
    for (int i = 0; i < CRASH_SENDS; i++) {
      systems.targets.forEach(target -> target.sendUnrecorded(crash));
    }
    Progress.log("crash request sent " + CRASH_SENDS + " times");
  }

  private void injectFaultInAllFakes(String target, String fault, long millis)
      throws IOException, InterruptedException {
    for (FakesProcess fakes : systems.fakes) {
      fakes.injectFault(target, fault, 1, millis, "");
    }
    Progress.log(target + " " + fault);
  }

  private long timeAt(double share) {
    return eventTimes.loadStart + (long) (share * options.loadMicros());
  }

  private void sleepUntil(double share) throws InterruptedException {
    long wait = timeAt(share) - Clock.micros();
    if (wait > 0) {
      Thread.sleep(wait / 1_000);
    }
  }

  /** The systems in which the events are triggered. */
  static final class Systems {

    final Layout layout;
    final Optional<ProductFleet> product;
    final NaiveProxy naive;
    final List<FakesProcess> fakes;
    final List<LoadGenerator.Target> targets;

    Systems(
        Layout layout,
        Optional<ProductFleet> product,
        NaiveProxy naive,
        List<FakesProcess> fakes,
        List<LoadGenerator.Target> targets) {
      this.layout = layout;
      this.product = product;
      this.naive = naive;
      this.fakes = fakes;
      this.targets = targets;
    }
  }
}
