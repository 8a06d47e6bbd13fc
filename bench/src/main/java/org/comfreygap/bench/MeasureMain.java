package org.comfreygap.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.comfreygap.bench.Scenario.Systems;

/**
 * Runs the real programs and the naive policy against identical fakes under the same load, prints
 * one {@code name value} per line, and exits with 0 only if every violation count is 0.
 *
 * <p>Exit codes: 0 without violations, 1 with some, 2 for wrong usage, 3 when the run failed.
 * Thread safety: one run in a process.
 *
 * @since 0.1
 */
public final class MeasureMain {

  private static final Duration READY_LIMIT = Duration.ofSeconds(30);
  private static final Profile.Store WARM_UP_STORE = new Profile.Store(100, 16, 64);

  private final MeasureOptions options;
  private final Path root;
  private final Path folder;
  private final List<FakesProcess> fakes = new ArrayList<>();
  private final EventTimes eventTimes = new EventTimes();
  private final Report report = new Report();
  private final LoadGenerator driver = new LoadGenerator();
  private Layout ourLayout;
  private Layout naiveLayout;
  private Optional<ProductFleet> product = Optional.empty();
  private NaiveProxy naive;

  private MeasureMain(MeasureOptions options) throws IOException {
    this.options = options;
    this.root = Path.of(System.getProperty("comfreygap.root", ".")).toAbsolutePath();
    this.folder = Files.createTempDirectory("comfreygap-measure-");
  }

  /** Runs the measurement described by the arguments. */
  public static void main(String[] args) {
    try {
      MeasureMain measure = new MeasureMain(MeasureOptions.parse(args));
      long violations = measure.run();
      System.exit(violations == 0 ? 0 : 1);
    } catch (IllegalArgumentException e) {
      System.err.println("measure: " + e.getMessage());
      System.exit(2);
    } catch (IOException | InterruptedException e) {
      System.err.println("measure: run failed: " + e);
      e.printStackTrace();
      System.exit(3);
    }
  }

  private long run() throws IOException, InterruptedException {
    Progress.log("profile " + options.profile() + ", seed " + options.seed() + ", " + folder);
    Thread stop = new Thread(this::stopAll, "stop-all");
    Runtime.getRuntime().addShutdownHook(stop);
    startSystems();
    Map<String, String> keys =
        product.isPresent() ? product.get().createKeys() : new LinkedHashMap<>();
    for (String key : keys.values()) {
      fakes.get(0).injectFault("*", "watch-key", 1, 0, key);
    }
    if (product.isPresent()) {
      product.get().awaitReady();
      Progress.log("programs ready");
    }
    List<LoadGenerator.Target> targets = createTargets(keys);
    warmUp(targets);
    measure(targets);
    return report.violations();
  }

  private void startSystems() throws IOException, InterruptedException {
    Random random = new Random();
    ourLayout = new Layout(options.profile(), random);
    naiveLayout = new Layout(options.profile(), random);
    if (!options.naiveOnly()) {
      fakes.add(FakesProcess.start(root, "fakes", folder, ourLayout));
    }
    fakes.add(FakesProcess.start(root, "fakes-naive", folder, naiveLayout));
    if (!options.naiveOnly()) {
      product = Optional.of(new ProductFleet(ourLayout, root, folder));
      product.get().start();
    }
    for (FakesProcess process : fakes) {
      process.awaitReady(READY_LIMIT);
      process.setStore(WARM_UP_STORE);
    }
    Progress.log("fakes ready");
    if (product.isPresent()) {
      product.get().awaitLeader();
      Progress.log("control has a leader");
      product.get().createSettings(WARM_UP_STORE);
      Progress.log("settings written");
    }
    naive = createNaiveProxy();
  }

  private NaiveProxy createNaiveProxy() throws IOException {
    Profile profile = options.profile();
    List<NaiveEndpoint> engines = new ArrayList<>();
    List<NaiveEndpoint> services = new ArrayList<>();
    for (Layout.Runner runner : naiveLayout.runners) {
      int bound =
          runner.engine() ? profile.fleet().maxBatch() : Layout.ColdStart.SERVICE_CONCURRENCY;
      String url = "http://127.0.0.1:" + runner.endpointPort();
      (runner.engine() ? engines : services)
          .add(new NaiveEndpoint(url, runner.zone(), bound, profile.fleet().slots()));
    }
    List<Map<String, NaiveProxy.Bucket>> buckets = new ArrayList<>();
    for (int gateway = 0; gateway < Layout.INSTANCES; gateway++) {
      Map<String, NaiveProxy.Bucket> own = new LinkedHashMap<>();
      for (int i = 0; i < Profile.CUSTOMER_SHARES.size(); i++) {
        double share = 1.0 / Layout.INSTANCES;
        own.put(
            ProductFleet.customerName(i),
            new NaiveProxy.Bucket(
                profile.tokensPerSecond(i) * share, profile.burstTokens(i) * share));
      }
      buckets.add(own);
    }
    return new NaiveProxy(Layout.TEAM, engines, services, buckets, options.seed());
  }

  private List<LoadGenerator.Target> createTargets(Map<String, String> keys) {
    Duration timeout = Duration.ofMillis(options.callerTimeoutMillis());
    String service = options.profile().fleet().service();
    List<LoadGenerator.Target> targets = new ArrayList<>();
    if (product.isPresent()) {
      ProductFleet fleet = product.get();
      LoadBalancer balancer =
          new LoadBalancer(fleet.gatewayUrls(), fleet::gatewayReady, options.seed());
      targets.add(
          new LoadGenerator.Target(
              new Caller(Layout.TEAM, service, timeout),
              balancer,
              planned ->
                  planned.temporaryKey()
                      ? keys.get("temporary")
                      : keys.get(ProductFleet.customerName(planned.customer()))));
    }
    targets.add(
        new LoadGenerator.Target(
            new Caller(Layout.TEAM, service, timeout),
            new LoadBalancer(naive.urls(), gateway -> true, options.seed()),
            planned -> ProductFleet.customerName(planned.customer())));
    return targets;
  }

  /** Fills the slots with the adapters of the measured load, while store limits are negligible. */
  private void warmUp(List<LoadGenerator.Target> targets) throws IOException, InterruptedException {
    Profile profile = options.profile();
    driver.run(
        Workload.warmUp(profile, options.seed() + 1, options.warmUpMicros()),
        Clock.micros(),
        targets);
    driver.drain(targets, options.callerTimeoutMillis());
    for (FakesProcess process : fakes) {
      process.setStore(profile.store());
    }
    if (product.isPresent()) {
      String document = FakesProcess.storeDocument(profile.store());
      product.get().admin().put("/platform/store", document, READY_LIMIT);
    }
    Progress.log("warm-up done");
  }

  private void measure(List<LoadGenerator.Target> targets)
      throws IOException, InterruptedException {
    List<FleetRecord> initialRecords = new ArrayList<>();
    for (FakesProcess process : fakes) {
      initialRecords.add(process.record());
    }
    long micros = options.loadMicros();
    List<PlannedRequest> plan =
        options.fault().isPresent()
            ? Workload.base(options.profile(), options.seed(), "m", micros)
            : Workload.withFlood(
                options.profile(),
                options.seed(),
                micros,
                (long) (Scenario.FLOOD_FROM * micros),
                (long) (Scenario.FLOOD_TO * micros));
    eventTimes.loadStart = Clock.micros() + 100_000;
    eventTimes.loadEnd = eventTimes.loadStart + micros;
    double cpuBefore = product.map(ProductFleet::cpuSeconds).orElse(0.0);
    Optional<SettingsProbe> probe = product.map(fleet -> new SettingsProbe(fleet.admin()));
    Thread events = startEvents(new Systems(ourLayout, product, naive, fakes, targets));
    driver.run(plan, eventTimes.loadStart, targets);
    driver.drain(targets, options.callerTimeoutMillis());
    events.join();
    double cpu = product.map(ProductFleet::cpuSeconds).orElse(0.0) - cpuBefore;
    Progress.log("load done, " + plan.size() + " requests planned");
    reportResults(targets, initialRecords, probe, cpu);
  }

  private Thread startEvents(Systems systems) {
    Thread thread =
        new Thread(
            () -> {
              try {
                new Scenario(options, systems, eventTimes).run();
              } catch (IOException e) {
                Progress.log("an event failed: " + e);
                report.add("events_failed", 1);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "events");
    thread.start();
    return thread;
  }

  private void reportResults(
      List<LoadGenerator.Target> targets,
      List<FleetRecord> initialRecords,
      Optional<SettingsProbe> probe,
      double cpuSeconds)
      throws IOException, InterruptedException {
    Map<String, RunObservations> systems = new LinkedHashMap<>();
    int last = targets.size() - 1;
    if (product.isPresent()) {
      systems.put("ours", collectObservations(targets.get(0), 0, initialRecords, probe));
    }
    systems.put(
        "naive", collectObservations(targets.get(last), last, initialRecords, Optional.empty()));
    if (product.isPresent()) {
      RunObservations ours = systems.get("ours");
      report.violations(ours);
      report.addAll("", RunMetrics.of(ours));
      report.add("requests_per_second_per_core", ours.results().size() / cpuSeconds);
      report.add("crashes", ours.record().events("CRASH", 0));
      report.add("settings_changes_failed", probe.get().failedChanges());
      report.add("settings_change_slowest_ms", probe.get().slowestChangeMillis());
      for (String kind : List.of("control", "gateway", "sidecar")) {
        report.add(kind + "_resident_mb", product.get().residentBytes(kind) / 1e6);
      }
    }
    report.add("naive_crashes", systems.get("naive").record().events("CRASH", 0));
    report.addAll("naive_", RunMetrics.of(systems.get("naive")));
    report.print(System.out);
    if (options.json().isPresent()) {
      report.writeJson(options.json().get());
    }
    if (options.plot().isPresent()) {
      Plot.writeAll(options.plot().get(), systems);
    }
    for (Map.Entry<String, RunObservations> system : systems.entrySet()) {
      ObservationDump.write(folder, system.getKey(), system.getValue());
    }
    OutcomeSummary.print(systems);
    Progress.log("done");
  }

  private RunObservations collectObservations(
      LoadGenerator.Target target,
      int index,
      List<FleetRecord> initialRecords,
      Optional<SettingsProbe> probe)
      throws IOException, InterruptedException {
    Profile profile = options.profile();
    List<RunObservations.Limit> limits = new ArrayList<>();
    for (int i = 0; i < Profile.CUSTOMER_SHARES.size(); i++) {
      limits.add(new RunObservations.Limit(profile.tokensPerSecond(i), profile.burstTokens(i)));
    }
    return new RunObservations(
        fakes.get(index).record(),
        initialRecords.get(index),
        target.resultsSince(eventTimes.loadStart),
        eventTimes,
        ourLayout.zones(),
        limits,
        probe.map(SettingsProbe::readings).orElse(List.of()),
        profile.fleet().maxBatch());
  }

  private void stopAll() {
    try {
      driver.close();
      if (product.isPresent()) {
        product.get().stop();
      }
      for (FakesProcess process : fakes) {
        process.program().kill();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
