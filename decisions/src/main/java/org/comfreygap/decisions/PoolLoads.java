package org.comfreygap.decisions;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The load of pools in each availability zone, summed over the newest reports of all gateways.
 *
 * <pre>{@code
 * loads.report("gateway.a", reported, now);
 * Optional<Load> load = loads.sum(new Subject("app", "z1"), now);
 * }</pre>
 *
 * <p>Invariants: only reports younger than {@link #LIFETIME} count; a refused request is returned
 * by one call of {@link #takeRefused}. Thread safety: not thread-safe.
 *
 * @since 0.8
 */
public final class PoolLoads {

  /** Age at which a report no longer counts: three heartbeats. */
  public static final Duration LIFETIME = Duration.ofSeconds(3);

  private final Map<String, Report> reports = new HashMap<>();
  private final Map<Subject, Integer> refused = new HashMap<>();

  /** A pool in an availability zone, whose number of endpoints is ordered as one. */
  public record Subject(String pool, String zone) {}

  /**
   * The load of a subject, at one gateway or at all of them.
   *
   * @param inProgress attempts in progress at its endpoints
   * @param waiting requests that wait for an endpoint
   * @param refused requests refused for lack of room since the report before
   * @param endpoints endpoints that accept work, by the platform's list
   * @param slots requests that these can run at once, together
   */
  public record Load(int inProgress, int waiting, int refused, int endpoints, int slots) {}

  private record Report(Map<Subject, Load> loads, long nanos) {}

  /** Replaces what a gateway reported before. */
  public void report(String gateway, Map<Subject, Load> loads, long nowNanos) {
    reports.put(gateway, new Report(Map.copyOf(loads), nowNanos));
    loads.forEach((subject, load) -> refused.merge(subject, load.refused(), Integer::sum));
  }

  /** Drops reports that no longer count. */
  public void advance(long nowNanos) {
    reports.values().removeIf(report -> !isFresh(report, nowNanos));
    refused.keySet().retainAll(subjects());
  }

  /** Returns the number of gateways whose reports count. */
  public int freshGateways(long nowNanos) {
    return (int) reports.values().stream().filter(report -> isFresh(report, nowNanos)).count();
  }

  /** Returns the subjects that any gateway has reported. */
  public Set<Subject> subjects() {
    Set<Subject> subjects = new HashSet<>();
    reports.values().forEach(report -> subjects.addAll(report.loads().keySet()));
    return subjects;
  }

  /**
   * Returns the load over all gateways, without refused requests; empty when no report counts. The
   * endpoints are those of the gateway that lists most, since a list that was cut short names
   * fewer.
   */
  public Optional<Load> sum(Subject subject, long nowNanos) {
    List<Load> fresh =
        reports.values().stream()
            .filter(report -> isFresh(report, nowNanos) && report.loads().containsKey(subject))
            .map(report -> report.loads().get(subject))
            .toList();
    return fresh.stream()
        .reduce(
            (a, b) ->
                new Load(
                    a.inProgress() + b.inProgress(),
                    a.waiting() + b.waiting(),
                    0,
                    Math.max(a.endpoints(), b.endpoints()),
                    a.endpoints() >= b.endpoints() ? a.slots() : b.slots()));
  }

  /** Returns the requests refused since the last call. */
  public int takeRefused(Subject subject) {
    return Optional.ofNullable(refused.remove(subject)).orElse(0);
  }

  private static boolean isFresh(Report report, long nowNanos) {
    return nowNanos - report.nanos() < LIFETIME.toNanos();
  }
}
