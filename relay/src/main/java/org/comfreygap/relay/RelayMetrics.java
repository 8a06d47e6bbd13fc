package org.comfreygap.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.comfreygap.decisions.ResponseEnd;

/**
 * Counters and timers of the request path.
 *
 * <p>Invariant: labels have few values: routes, outcomes, reasons, and at most {@link #MAX_NAMES}
 * customers and endpoints, beyond which they are counted together. Thread safety: recorded on the
 * event loop only, read from anywhere.
 */
final class RelayMetrics implements AutoCloseable {

  /**
   * Customers, and endpoints, that have counters of their own, so that the metrics stay readable.
   */
  static final int MAX_NAMES = 200;

  private static final String OTHERS = "others";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<String, Counter> counters = new HashMap<>();
  private final Map<String, Timer> timers = new HashMap<>();
  private final Set<String> customers = new HashSet<>();
  private final Set<String> endpoints = new HashSet<>();
  private Optional<JvmGcMetrics> gcMetrics = Optional.empty();

  PrometheusMeterRegistry registry() {
    return registry;
  }

  /**
   * Adds the metrics of the JVM's memory and garbage collections. This loads many classes, so it is
   * not done before a restarted process serves.
   */
  void bindJvmMetrics() {
    new JvmMemoryMetrics().bindTo(registry);
    gcMetrics = Optional.of(new JvmGcMetrics());
    gcMetrics.get().bindTo(registry);
  }

  /** Registers a gauge that reads {@code value} at each scrape. */
  void gauge(String name, Supplier<Number> value) {
    Gauge.builder("comfreygap." + name, value).strongReference(true).register(registry);
  }

  /** Registers a gauge of one route that reads {@code value} at each scrape. */
  void gauge(String name, String route, Supplier<Number> value) {
    Gauge.builder("comfreygap." + name, value)
        .tag("route", route)
        .strongReference(true)
        .register(registry);
  }

  /** Counts the end of a request. */
  void requestEnded(String route, Optional<String> customer, String outcome, long nanos) {
    customer.ifPresent(
        name ->
            increment(
                "requests.by.customer",
                "customer",
                nameOrOthers(customers, name),
                "outcome",
                outcome));
    timers
        .computeIfAbsent(
            route + " " + outcome,
            key ->
                Timer.builder("comfreygap.requests")
                    .tag("route", route)
                    .tag("outcome", outcome)
                    .register(registry))
        .record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records the time from arrival to the first part of the response. */
  void responseBegan(String route, long nanos) {
    timers
        .computeIfAbsent(
            route,
            key ->
                Timer.builder("comfreygap.first.output")
                    .tag("route", route)
                    .publishPercentileHistogram()
                    .register(registry))
        .record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Counts a failed attempt. */
  void attemptFailed(String endpoint, String outcome) {
    increment("attempts.failed", "endpoint", nameOrOthers(endpoints, endpoint), "outcome", outcome);
  }

  /** Counts the end of an endpoint's response, {@code whole} or {@code broken-off}. */
  void responseEnded(ResponseEnd.Framing framing, String end) {
    increment("responses.ended", "framing", framing.label(), "end", end);
  }

  /** Increments a counter by reason. */
  void count(String name, String reason) {
    increment(name, "reason", reason);
  }

  /** Adds an amount to a counter by reason. */
  void add(String name, String reason, double amount) {
    counter(name, "reason", reason).increment(amount);
  }

  @Override
  public void close() {
    gcMetrics.ifPresent(JvmGcMetrics::close);
  }

  private void increment(String name, String... tags) {
    counter(name, tags).increment();
  }

  private Counter counter(String name, String... tags) {
    return counters.computeIfAbsent(
        name + " " + String.join(" ", tags),
        key -> Counter.builder("comfreygap." + name).tags(tags).register(registry));
  }

  private static String nameOrOthers(Set<String> known, String name) {
    return known.contains(name) || known.size() < MAX_NAMES && known.add(name) ? name : OTHERS;
  }
}
