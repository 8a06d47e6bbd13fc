package org.comfreygap.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.comfreygap.bench.CallResult.Verdict;
import org.comfreygap.bench.RunObservations.SettingsReading;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against violation counters that count nothing or the wrong violation: each is 0 for a
 * clean run, and only the matching one is positive for the same run with one violation.
 */
class ViolationTest {

  private static final long SECOND = 1_000_000;
  private static final long START = 1_000 * SECOND;

  private static final Map<Violation, Consumer<SampleRun>> VIOLATIONS = violations();

  @Test
  void cleanRunHasNoViolations() {
    RunObservations clean = new SampleRun().observations();
    for (Violation violation : Violation.values()) {
      assertThat(violation.count(clean)).as(violation.printedName()).isZero();
    }
  }

  @ParameterizedTest
  @EnumSource(Violation.class)
  void injectedViolationMovesOnlyItsOwnCounter(Violation violation) {
    SampleRun run = new SampleRun();
    VIOLATIONS.get(violation).accept(run);
    RunObservations observations = run.observations();
    assertThat(violation.count(observations)).isPositive();
    for (Violation other : Violation.values()) {
      if (other != violation) {
        assertThat(other.count(observations)).as(other.printedName()).isZero();
      }
    }
  }

  @Test
  void twoRunsOfOneAttemptCountAsADoubleRun() {
    SampleRun run = new SampleRun();
    run.addRun("x", "", "shop/a@v1", "engine-1", 2, 10);
    run.addRun("x", "", "shop/a@v1", "engine-1", 2, 10);
    assertThat(Violation.DOUBLE_RUNS.count(run.observations())).isEqualTo(1);
  }

  private static Map<Violation, Consumer<SampleRun>> violations() {
    Map<Violation, Consumer<SampleRun>> table = new EnumMap<>(Violation.class);
    table.put(
        Violation.WRONG_ADAPTER, run -> run.addServedRunOnFirstEngine("x", "shop/other@v1", 2, 1));
    table.put(Violation.EVICTED_IN_USE, run -> run.addEvent("EVICTED_IN_USE"));
    table.put(Violation.KEY_SEEN, run -> run.addEvent("KEY_SEEN"));
    table.put(
        Violation.LATE_KEY_ACCEPTS,
        run ->
            run.addServedRun(
                planned("x", true, ""), "shop/a@v1", "engine-1", 15.1, 15.2, 10, "ran"));
    table.put(
        Violation.OVER_RATE_TOKENS,
        run -> run.addServedRunOnFirstEngine("x", "shop/a@v1", 2, 10_000));
    table.put(Violation.COLD_OVERLOADS, run -> run.addEvent("COLD_OVERLOAD"));
    table.put(
        Violation.ZONE_OUT_DISPATCHES,
        run ->
            run.addServedRun(
                planned("x", false, ""), "shop/a@v1", "engine-2", 25.1, 25.2, 10, "ran"));
    table.put(Violation.MIXED_OR_CUT_ANSWERS, run -> run.addResult("x", 2, Verdict.CUT, "ran", 0));
    table.put(
        Violation.FALSE_NOT_RUN,
        run -> {
          run.addRun("x", "", "shop/a@v1", "engine-1", 2, 10);
          run.addResult("x", 2, Verdict.REFUSED, "not-run", 0);
        });
    table.put(
        Violation.DOUBLE_RUNS,
        run -> {
          run.addRun("call", "order-1", "orders", "orders-1", 2, 1);
          run.addRun("call", "order-1", "orders", "orders-2", 2, 1);
        });
    table.put(Violation.CUT_BY_PLANNED_STOP, run -> run.addResult("x", 40, Verdict.BROKEN, "", 2));
    table.put(
        Violation.REVERTED_SETTINGS,
        run -> {
          run.readings.add(new SettingsReading("control-1", START + 1, 7));
          run.readings.add(new SettingsReading("control-1", START + 2, 6));
        });
    return table;
  }

  private static PlannedRequest planned(String nonce, boolean temporaryKey, String idempotencyKey) {
    return new PlannedRequest(
        nonce, 0, 0, "a@v1", 10, "normal", true, idempotencyKey, temporaryKey, false);
  }

  /** A run without violations, to which one can be added. */
  private static final class SampleRun {

    private final List<FleetRecord.Endpoint> endpoints = new ArrayList<>();
    private final List<CallResult> results = new ArrayList<>();
    private final List<SettingsReading> readings = new ArrayList<>();

    SampleRun() {
      for (String name : List.of("engine-1", "engine-2", "orders-1", "orders-2")) {
        endpoints.add(
            new FleetRecord.Endpoint(
                name,
                name.startsWith("engine") ? "engine" : "service",
                new ArrayList<>(),
                new ArrayList<>(),
                new ArrayList<>(),
                0,
                0));
      }
      for (int i = 0; i < 20; i++) {
        addServedRunOnFirstEngine("clean-" + i, "shop/a@v1", i, 10);
      }
      addRun("call", "order-0", "orders", "orders-1", 3, 1);
      addResult("refused", 4, Verdict.REFUSED, "not-run", 0);
      addResult("killed", 5, Verdict.BROKEN, "", 0);
      addServedRun(planned("key", true, ""), "shop/a@v1", "engine-1", 14.9, 15, 10, "ran");
      addServedRun(planned("out", false, ""), "shop/a@v1", "engine-2", 24.9, 26, 10, "ran");
      addServedRun(planned("back", false, ""), "shop/a@v1", "engine-2", 30.1, 31, 10, "ran");
      readings.add(new SettingsReading("control-1", START, 5));
      readings.add(new SettingsReading("control-2", START + 1, 4));
    }

    void addServedRunOnFirstEngine(String nonce, String adapter, double second, int tokens) {
      addServedRun(
          planned(nonce, false, ""), adapter, "engine-1", second, second + 0.5, tokens, "ran");
    }

    void addServedRun(
        PlannedRequest planned,
        String adapter,
        String endpoint,
        double from,
        double to,
        int tokens,
        String outcome) {
      long start = START + (long) (from * SECOND);
      long end = START + (long) (to * SECOND);
      endpoint(endpoint)
          .runs()
          .add(
              new FleetRecord.Run(
                  "attempt-" + planned.nonce(),
                  "shop/a@v1",
                  adapter,
                  planned.nonce(),
                  "",
                  10,
                  start,
                  end,
                  tokens,
                  "finished"));
      results.add(
          new CallResult(
              planned, 0, start - 100, start, end + 100, 200, outcome, Verdict.COMPLETE, ""));
    }

    void addRun(
        String nonce, String key, String adapter, String endpoint, double second, int tokens) {
      long start = START + (long) (second * SECOND);
      endpoint(endpoint)
          .runs()
          .add(
              new FleetRecord.Run(
                  "attempt-" + nonce,
                  adapter,
                  adapter,
                  nonce,
                  key,
                  10,
                  start,
                  start + SECOND,
                  tokens,
                  "finished"));
    }

    void addResult(String nonce, double second, Verdict verdict, String outcome, int gateway) {
      long sent = START + (long) (second * SECOND);
      results.add(
          new CallResult(
              planned(nonce, false, ""),
              gateway,
              sent,
              0,
              sent + SECOND,
              503,
              outcome,
              verdict,
              ""));
    }

    void addEvent(String kind) {
      endpoints.get(0).events().add(new FleetRecord.Event(kind, START / 1_000, ""));
    }

    RunObservations observations() {
      EventTimes eventTimes = new EventTimes();
      eventTimes.loadStart = START;
      eventTimes.loadEnd = START + 60 * SECOND;
      eventTimes.keyWithdrawn = START + 10 * SECOND;
      eventTimes.zone = "zone-b";
      eventTimes.zoneOut = START + 20 * SECOND;
      eventTimes.zoneIn = START + 30 * SECOND;
      eventTimes.plannedStops.add(
          new EventTimes.PlannedStop(2, START + 39 * SECOND, START + 45 * SECOND));
      FleetRecord record = new FleetRecord(endpoints);
      Map<String, String> zones =
          Map.of(
              "engine-1",
              "zone-a",
              "engine-2",
              "zone-b",
              "orders-1",
              "zone-a",
              "orders-2",
              "zone-c");
      List<RunObservations.Limit> limits = List.of(new RunObservations.Limit(100, 200));
      return new RunObservations(record, record, results, eventTimes, zones, limits, readings, 8);
    }

    private FleetRecord.Endpoint endpoint(String name) {
      return endpoints.stream().filter(e -> e.endpoint().equals(name)).findFirst().orElseThrow();
    }
  }
}
