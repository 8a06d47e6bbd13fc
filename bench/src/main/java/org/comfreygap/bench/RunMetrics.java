package org.comfreygap.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.comfreygap.bench.CallResult.Verdict;

/**
 * Computes the performance figures of one system from the observations of a run.
 *
 * <p>Thread safety: none.
 *
 * @since 0.1
 */
final class RunMetrics {

  private static final long ZONE_SETTLE_MICROS = 5_000_000;

  private final RunObservations observations;
  private final Map<String, FleetRecord.PlacedRun> firstRunByNonce = new HashMap<>();
  private final Map<String, Double> loadStallMillisByNonce = new HashMap<>();
  private final Set<CallResult> withinRate = new HashSet<>();
  private final Map<String, Double> values = new LinkedHashMap<>();

  private RunMetrics(RunObservations observations) {
    this.observations = observations;
    observations
        .record()
        .runs()
        .filter(placed -> observations.isMeasured(placed.run()))
        .forEach(placed -> firstRunByNonce.putIfAbsent(placed.run().nonce(), placed));
  }

  /** Returns the figures by name, in the order in which they are printed. */
  static Map<String, Double> of(RunObservations observations) {
    RunMetrics metrics = new RunMetrics(observations);
    metrics.findRequestsWithinRate();
    metrics.addServiceMetrics();
    metrics.addLoadStallMetrics();
    metrics.addBatchMetrics();
    metrics.addCustomerMetrics();
    metrics.addZoneMetrics();
    metrics.addHopMetrics();
    return metrics.values;
  }

  private void addServiceMetrics() {
    List<CallResult> eligible = observations.results().stream().filter(this::isEligible).toList();
    values.put("requests_sent", (double) observations.results().size());
    values.put("requests_complete", count(observations.results(), CallResult::complete));
    values.put("served_share_within_rate", share(eligible, CallResult::complete));
    // The flooding customer's excess must be refused; which of its requests is unspecified.
    List<CallResult> outsideFlood =
        eligible.stream().filter(r -> !isSentByFlooderAfterFloodStart(r)).toList();
    values.put(
        "refused_within_rate_share", share(outsideFlood, r -> r.verdict() == Verdict.REFUSED));
    values.put("broken_within_rate_share", share(eligible, r -> r.verdict() == Verdict.BROKEN));
    List<CallResult> complete = completions(CallResult::complete);
    values.put(
        "timed_out_within_rate_share", share(eligible, r -> r.verdict() == Verdict.TIMED_OUT));
    values.put("latency_p50_ms", percentile(latencies(complete), 0.50));
    values.put("latency_p99_ms", percentile(latencies(complete), 0.99));
    double[] first =
        complete.stream()
            .filter(r -> r.planned().stream() && r.firstMicros() > 0)
            .mapToDouble(r -> (r.firstMicros() - r.sentMicros()) / 1_000.0)
            .toArray();
    values.put("first_token_p50_ms", percentile(first, 0.50));
    values.put("first_token_p95_ms", percentile(first, 0.95));
  }

  private void addLoadStallMetrics() {
    Map<String, List<FleetRecord.Load>> loads = new HashMap<>();
    for (FleetRecord.Endpoint endpoint : observations.record().endpoints()) {
      for (FleetRecord.Load load : endpoint.loads()) {
        if (load.load() && load.done()) {
          loads
              .computeIfAbsent(endpoint.endpoint() + " " + load.adapter(), k -> new ArrayList<>())
              .add(load);
        }
      }
    }
    for (CallResult result : observations.results()) {
      FleetRecord.PlacedRun placed = firstRunByNonce.get(result.planned().nonce());
      if (placed == null || result.planned().serviceCall()) {
        continue;
      }
      String key = placed.endpoint().endpoint() + " " + placed.run().adapter();
      for (FleetRecord.Load load : loads.getOrDefault(key, List.of())) {
        long end = load.endMillis() * 1_000;
        if (end >= result.sentMicros() && end <= placed.run().startMicros()) {
          double wait = (placed.run().startMicros() - result.sentMicros()) / 1_000.0;
          loadStallMillisByNonce.put(result.planned().nonce(), wait);
        }
      }
    }
    double started =
        count(
            observations.results(),
            r -> !r.planned().serviceCall() && firstRunByNonce.containsKey(r.planned().nonce()));
    double[] waits =
        loadStallMillisByNonce.values().stream().mapToDouble(Double::doubleValue).toArray();
    values.put(
        "load_stall_share", started == 0 ? Double.NaN : loadStallMillisByNonce.size() / started);
    values.put("load_stall_p95_ms", percentile(waits, 0.95));
    values.put("load_stall_p99_ms", percentile(waits, 0.99));
    values.put("load_stall_total_ms", Arrays.stream(waits).sum());
    double done =
        observations.record().endpoints().stream()
            .flatMap(endpoint -> endpoint.loads().stream())
            .filter(
                load ->
                    load.load()
                        && load.startMillis() >= observations.eventTimes().loadStart / 1_000)
            .count();
    values.put("loads", done);
  }

  private void addBatchMetrics() {
    double mean = observations.record().meanBatchSince(observations.initialRecord());
    values.put("mean_batch", mean);
    values.put("batch_efficiency", mean / observations.maxBatch());
  }

  private void addCustomerMetrics() {
    List<Double> shares = new ArrayList<>();
    List<Double> slowest = new ArrayList<>();
    for (int customer = 0; customer < observations.limits().size(); customer++) {
      int index = customer;
      List<CallResult> own = completions(r -> r.planned().customer() == index);
      double served = tokens(own, CallResult::complete);
      double entitled = tokens(own, r -> withinRate.contains(r));
      shares.add(entitled == 0 ? 1 : Math.min(1, served / entitled));
      slowest.add(percentile(latencies(own.stream().filter(CallResult::complete).toList()), 0.99));
    }
    values.put("worst_served_share", shares.stream().min(Double::compare).orElse(Double.NaN));
    List<Double> others = new ArrayList<>(shares);
    if (observations.eventTimes().floodStart > 0) {
      others.remove(Profile.FLOODING_CUSTOMER);
    }
    values.put("worst_served_share_without_flooder", min(others));
    values.put("worst_served_customer", shares.indexOf(min(shares)) + 1.0);
    double median = percentile(toArray(slowest), 0.5);
    values.put("worst_p99_over_median", max(slowest) / median);
    EventTimes eventTimes = observations.eventTimes();
    if (eventTimes.floodStart > 0) {
      values.put("flood_others_p99_ratio", otherCustomersP99(true) / otherCustomersP99(false));
    }
  }

  private double otherCustomersP99(boolean inFlood) {
    EventTimes eventTimes = observations.eventTimes();
    long from = inFlood ? eventTimes.floodStart : eventTimes.loadStart;
    long to = inFlood ? eventTimes.floodEnd : eventTimes.floodStart;
    List<CallResult> others =
        completions(
            r ->
                r.complete()
                    && r.planned().customer() != Profile.FLOODING_CUSTOMER
                    && r.sentMicros() >= from
                    && r.sentMicros() < to);
    return percentile(latencies(others), 0.99);
  }

  private void addZoneMetrics() {
    EventTimes eventTimes = observations.eventTimes();
    if (eventTimes.zoneOut == 0) {
      return;
    }
    long until =
        eventTimes.zoneIn == 0 ? eventTimes.loadEnd : eventTimes.zoneIn + ZONE_SETTLE_MICROS;
    List<CallResult> during =
        observations.results().stream()
            .filter(r -> r.sentMicros() >= eventTimes.zoneOut && r.sentMicros() < until)
            .filter(this::isEligible)
            .toList();
    values.put(
        "zone_urgent_refused",
        count(during, r -> r.planned().priority().equals("urgent") && !r.complete()));
    List<CallResult> afterSettling =
        during.stream()
            .filter(r -> !r.planned().priority().equals("urgent"))
            .filter(r -> r.sentMicros() >= eventTimes.zoneOut + ZONE_SETTLE_MICROS)
            .toList();
    values.put("zone_ordinary_served_share", share(afterSettling, CallResult::complete));
  }

  private void addHopMetrics() {
    long until =
        observations.eventTimes().floodStart > 0
            ? observations.eventTimes().floodStart
            : observations.eventTimes().loadEnd;
    List<CallResult> withoutStalls =
        observations.results().stream()
            .filter(CallResult::complete)
            .filter(
                r ->
                    r.sentMicros() < until
                        && !loadStallMillisByNonce.containsKey(r.planned().nonce()))
            .filter(r -> firstRunByNonce.containsKey(r.planned().nonce()))
            .toList();
    double[] in =
        withoutStalls.stream().mapToDouble(r -> runOf(r).startMicros() - r.sentMicros()).toArray();
    double[] out =
        withoutStalls.stream().mapToDouble(r -> r.endMicros() - runOf(r).endMicros()).toArray();
    double[] added = new double[in.length];
    Arrays.setAll(added, i -> in[i] + out[i]);
    values.put("hop_in_p50_ms", percentile(in, 0.50) / 1_000);
    values.put("hop_out_p50_ms", percentile(out, 0.50) / 1_000);
    values.put("hop_added_p50_ms", percentile(added, 0.50) / 1_000);
    values.put("hop_added_p99_ms", percentile(added, 0.99) / 1_000);
  }

  private FleetRecord.Run runOf(CallResult result) {
    return firstRunByNonce.get(result.planned().nonce()).run();
  }

  private boolean isSentByFlooderAfterFloodStart(CallResult result) {
    EventTimes eventTimes = observations.eventTimes();
    return result.planned().customer() == Profile.FLOODING_CUSTOMER
        && eventTimes.floodStart > 0
        && result.sentMicros() >= eventTimes.floodStart;
  }

  /** Collects the requests that a token bucket with the customer's limits admits when sent. */
  private void findRequestsWithinRate() {
    for (int customer = 0; customer < observations.limits().size(); customer++) {
      RunObservations.Limit limit = observations.limits().get(customer);
      int index = customer;
      double level = limit.burstTokens();
      long last = observations.eventTimes().loadStart;
      List<CallResult> own =
          observations.results().stream()
              .filter(r -> r.planned().customer() == index)
              .sorted(Comparator.comparingLong(CallResult::sentMicros))
              .toList();
      for (CallResult result : own) {
        double refill = (result.sentMicros() - last) / 1e6 * limit.tokensPerSecond();
        level = Math.min(limit.burstTokens(), level + refill);
        last = result.sentMicros();
        long needed = result.planned().neededTokens();
        if (needed <= level) {
          level -= needed;
          withinRate.add(result);
        }
      }
    }
  }

  private boolean isEligible(CallResult result) {
    return withinRate.contains(result) && result.verdict() != Verdict.REJECTED;
  }

  private List<CallResult> completions(Predicate<CallResult> wanted) {
    return observations.results().stream()
        .filter(r -> !r.planned().serviceCall())
        .filter(wanted)
        .toList();
  }

  private static double tokens(List<CallResult> results, Predicate<CallResult> wanted) {
    return results.stream()
        .filter(r -> r.verdict() != Verdict.REJECTED)
        .filter(wanted)
        .mapToLong(r -> r.planned().neededTokens())
        .sum();
  }

  private static double[] latencies(List<CallResult> results) {
    return results.stream().mapToDouble(CallResult::latencyMillis).toArray();
  }

  private static double count(List<CallResult> results, Predicate<CallResult> wanted) {
    return results.stream().filter(wanted).count();
  }

  private static double share(List<CallResult> results, Predicate<CallResult> wanted) {
    return results.isEmpty() ? Double.NaN : count(results, wanted) / results.size();
  }

  /** Returns the nearest-rank percentile of the values; NaN without values. */
  static double percentile(double[] values, double share) {
    if (values.length == 0) {
      return Double.NaN;
    }
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    int at = (int) Math.ceil(share * sorted.length) - 1;
    return sorted[Math.max(0, Math.min(sorted.length - 1, at))];
  }

  private static double[] toArray(List<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).toArray();
  }

  private static double min(List<Double> values) {
    return values.stream().min(Double::compare).orElse(Double.NaN);
  }

  private static double max(List<Double> values) {
    return values.stream().max(Double::compare).orElse(Double.NaN);
  }
}
