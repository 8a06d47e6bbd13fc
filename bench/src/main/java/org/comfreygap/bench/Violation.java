package org.comfreygap.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.comfreygap.bench.CallResult.Verdict;
import org.comfreygap.bench.RunObservations.SettingsReading;

/**
 * Counts violations of the design's invariants from the fakes' records and the callers' checks,
 * never from the product's own reports. Every count must be 0.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
public enum Violation {
  /** I1: runs on an adapter other than the requested one. */
  WRONG_ADAPTER {
    @Override
    long count(RunObservations observations) {
      Map<String, PlannedRequest> planned = observations.plannedByNonce();
      return observations
          .record()
          .runs()
          .filter(
              placed ->
                  !placed.run().adapter().equals(placed.run().named())
                      || namesOtherAdapter(
                          planned.get(placed.run().nonce()), placed.run().adapter()))
          .count();
    }
  },
  /** I2: adapters unloaded while requests ran on them. */
  EVICTED_IN_USE {
    @Override
    long count(RunObservations observations) {
      return observations.record().events(name(), 0);
    }
  },
  /** I4: callers' keys among the bytes that an endpoint received. */
  KEY_SEEN {
    @Override
    long count(RunObservations observations) {
      return observations.record().events(name(), 0);
    }
  },
  /** I5: runs for a withdrawn key more than 5 s after the withdrawal was accepted. */
  LATE_KEY_ACCEPTS {
    @Override
    long count(RunObservations observations) {
      long withdrawn = observations.eventTimes().keyWithdrawn;
      Map<String, PlannedRequest> planned = observations.plannedByNonce();
      return withdrawn == 0
          ? 0
          : observations
              .record()
              .runs()
              .filter(placed -> placed.run().startMicros() > withdrawn + PROPAGATION_LIMIT_MICROS)
              .map(placed -> planned.get(placed.run().nonce()))
              .filter(request -> request != null && request.temporaryKey())
              .count();
    }
  },
  /** I6: a lower bound of the tokens that customers used beyond burst and rate in any interval. */
  OVER_RATE_TOKENS {
    @Override
    long count(RunObservations observations) {
      long over = 0;
      for (int customer = 0; customer < observations.limits().size(); customer++) {
        over += maxTokensOverRate(observations, customer);
      }
      return over;
    }
  },
  /** I7: requests beyond an endpoint's cold-start concurrency. */
  COLD_OVERLOADS {
    @Override
    long count(RunObservations observations) {
      return observations.record().events("COLD_OVERLOAD", 0);
    }
  },
  /** I8: runs that started in a zone more than 5 s after it was taken out. */
  ZONE_OUT_DISPATCHES {
    @Override
    long count(RunObservations observations) {
      EventTimes eventTimes = observations.eventTimes();
      long until = eventTimes.zoneIn == 0 ? Long.MAX_VALUE : eventTimes.zoneIn;
      return eventTimes.zoneOut == 0
          ? 0
          : observations
              .record()
              .runs()
              .filter(
                  placed -> eventTimes.zone.equals(observations.zones().get(endpointName(placed))))
              .mapToLong(placed -> placed.run().startMicros())
              .filter(
                  start -> start > eventTimes.zoneOut + PROPAGATION_LIMIT_MICROS && start < until)
              .count();
    }
  },
  /** I9: responses of another request, and incomplete responses that look complete. */
  MIXED_OR_CUT_ANSWERS {
    @Override
    long count(RunObservations observations) {
      return observations.results().stream()
          .filter(r -> r.verdict() == Verdict.CUT || r.verdict() == Verdict.MIXED)
          .count();
    }
  },
  /** I10: requests that ran although every response to them reported that they did not. */
  FALSE_NOT_RUN {
    @Override
    long count(RunObservations observations) {
      Set<String> ran = new HashSet<>();
      observations.record().runs().forEach(placed -> ran.add(placed.run().nonce()));
      Map<String, Boolean> refused = new HashMap<>();
      for (CallResult result : observations.results()) {
        boolean notRun = result.outcome().equals("not-run");
        refused.merge(result.planned().nonce(), notRun, Boolean::logicalAnd);
      }
      return refused.entrySet().stream()
          .filter(entry -> entry.getValue() && ran.contains(entry.getKey()))
          .count();
    }
  },
  /** I11: runs beyond the first under one idempotency key or one attempt id. */
  DOUBLE_RUNS {
    @Override
    long count(RunObservations observations) {
      Map<String, Integer> runs = new HashMap<>();
      observations
          .record()
          .runs()
          .map(FleetRecord.PlacedRun::run)
          .map(run -> run.idempotencyKey().isEmpty() ? run.attempt() : run.idempotencyKey())
          .filter(id -> !id.isEmpty())
          .forEach(id -> runs.merge(id, 1, Integer::sum));
      return runs.values().stream().mapToLong(count -> count - 1).sum();
    }
  },
  /** I13: requests interrupted by a planned stop of a gateway or by a zone taken out. */
  CUT_BY_PLANNED_STOP {
    @Override
    long count(RunObservations observations) {
      Set<String> inZone = interruptedInZone(observations);
      return observations.results().stream()
          .filter(r -> r.verdict() == Verdict.BROKEN || r.verdict() == Verdict.CUT)
          .filter(r -> overlapsPlannedStop(observations, r) || inZone.contains(r.planned().nonce()))
          .count();
    }
  },
  /** I14: revisions lower than an earlier reading from the same source. */
  REVERTED_SETTINGS {
    @Override
    long count(RunObservations observations) {
      Map<String, Long> newest = new HashMap<>();
      long reverted = 0;
      List<SettingsReading> readings = new ArrayList<>(observations.readings());
      readings.sort(Comparator.comparingLong(SettingsReading::atMicros));
      for (SettingsReading reading : readings) {
        long before = newest.getOrDefault(reading.source(), 0L);
        reverted += reading.revision() < before ? 1 : 0;
        newest.merge(reading.source(), reading.revision(), Math::max);
      }
      return reverted;
    }
  };

  /** The design's limit for withdrawn keys and zones taken out to take effect everywhere. */
  private static final long PROPAGATION_LIMIT_MICROS = 5_000_000;

  abstract long count(RunObservations observations);

  /** Returns the name of the printed count. */
  public String printedName() {
    return name().toLowerCase(Locale.ROOT);
  }

  private static boolean namesOtherAdapter(PlannedRequest planned, String adapter) {
    return planned != null && !planned.serviceCall() && !adapter.endsWith("/" + planned.model());
  }

  private static String endpointName(FleetRecord.PlacedRun placed) {
    return placed.endpoint().endpoint();
  }

  private static boolean overlapsPlannedStop(RunObservations observations, CallResult result) {
    return observations.eventTimes().plannedStops.stream()
        .anyMatch(
            stop ->
                stop.gateway() == result.gateway()
                    && result.endMicros() >= stop.fromMicros()
                    && result.sentMicros() <= stop.toMicros());
  }

  private static Set<String> interruptedInZone(RunObservations observations) {
    EventTimes eventTimes = observations.eventTimes();
    Set<String> nonces = new HashSet<>();
    if (eventTimes.zoneOut == 0) {
      return nonces;
    }
    observations
        .record()
        .runs()
        .filter(placed -> eventTimes.zone.equals(observations.zones().get(endpointName(placed))))
        .map(FleetRecord.PlacedRun::run)
        .filter(run -> run.startMicros() < eventTimes.zoneOut + PROPAGATION_LIMIT_MICROS)
        .filter(run -> run.endMicros() == 0 || run.endMicros() > eventTimes.zoneOut)
        .forEach(run -> nonces.add(run.nonce()));
    return nonces;
  }

  /**
   * Returns the largest excess over all intervals. A request counts for an interval only if it was
   * both sent and started within it, because its tokens were reserved between these times.
   */
  private static long maxTokensOverRate(RunObservations observations, int customer) {
    RunObservations.Limit limit = observations.limits().get(customer);
    Map<String, Long> sent = new HashMap<>();
    for (CallResult result : observations.results()) {
      if (result.planned().customer() == customer && !result.planned().serviceCall()) {
        sent.put(result.planned().nonce(), result.sentMicros());
      }
    }
    List<FleetRecord.Run> runs =
        observations
            .record()
            .runs()
            .map(FleetRecord.PlacedRun::run)
            .filter(run -> sent.containsKey(run.nonce()))
            .sorted(Comparator.comparingLong(FleetRecord.Run::startMicros))
            .toList();
    long worst = 0;
    for (long from : sent.values().stream().filter(Objects::nonNull).sorted().toList()) {
      long used = 0;
      for (FleetRecord.Run run : runs) {
        if (sent.get(run.nonce()) >= from) {
          used += run.promptTokens() + run.tokens();
          double seconds = (run.startMicros() - from) / 1e6;
          double allowed = limit.burstTokens() + limit.tokensPerSecond() * seconds;
          worst = Math.max(worst, (long) Math.ceil(used - allowed));
        }
      }
    }
    return worst;
  }
}
