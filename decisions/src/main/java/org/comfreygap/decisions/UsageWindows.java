package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Requests that began, as the gateways report them by window of time and customer, and the decision
 * when a window is closed.
 *
 * <p>A window is closed when every gateway that has not ended has counted beyond it; at the latest
 * when its report would otherwise be late.
 *
 * <pre>{@code
 * windows.report(source, counts, leaving, now);
 * if (windows.due(window, fleetMillis, isEnded)) { Closing closing = windows.close(window, kept); }
 * }</pre>
 *
 * <p>Invariants: a later report of a window by a source replaces the one before; nothing is counted
 * that no source reported. Not thread-safe.
 *
 * @since 0.8
 */
public final class UsageWindows {

  /** Part of the lateness after which a window is closed without the gateways that lag. */
  private static final double PATIENCE = 0.6;

  /** Windows of one source, far above those that a gateway keeps. */
  private static final int MAX_WINDOWS = 200;

  /** Closed windows for which requests that were reported too late are told. */
  private static final int MAX_CLOSED = 30;

  /** Far above the gateways of a fleet, also when they restart often. */
  private static final int MAX_SOURCES = 5_000;

  private final long windowMillis;
  private final long patienceMillis;
  private final Map<Source, Report> reports = new LinkedHashMap<>();
  private final NavigableMap<Long, Map<Source, Long>> closed = new TreeMap<>();

  /**
   * Creates an empty object.
   *
   * @param window length of a window
   * @param lateness time after the end of a window within which its report is due
   */
  public UsageWindows(Duration window, Duration lateness) {
    this.windowMillis = window.toMillis();
    this.patienceMillis = (long) (lateness.toMillis() * PATIENCE);
  }

  /** A start of a gateway process. */
  public record Source(String process, String start) {

    /** Returns a text that names this start. */
    public String key() {
      return process + "/" + start;
    }
  }

  /**
   * Counts of sources that ended, as they were kept.
   *
   * @param sources keys of the sources whose counts are included
   */
  public record Kept(Set<String> sources, Map<String, Long> begun) {

    /** Nothing was kept. */
    public static final Kept NOTHING = new Kept(Set.of(), Map.of());
  }

  /**
   * A window's counts.
   *
   * @param begun requests that began, by customer
   * @param missing sources that may have counted more in the window than they have reported
   * @param counted false when no source has counted in the window at all
   */
  public record Closing(Map<String, Long> begun, List<Source> missing, boolean counted) {

    /** Returns true when the counts may lack requests. */
    public boolean isIncomplete() {
      return !counted || !missing.isEmpty();
    }
  }

  /** Returns the window that holds a time of day. */
  public long windowAt(long fleetMillis) {
    return Math.floorDiv(fleetMillis, windowMillis);
  }

  /**
   * Records what a source has counted; empty windows state that it has counted up to them.
   *
   * @param leaving true when the source takes no new requests
   * @param closedWindow newest window that is closed
   * @return requests that began in windows that were closed here without them
   */
  public long report(
      Source source, Map<Long, Map<String, Long>> windows, boolean leaving, long closedWindow) {
    Report report = reports.get(source);
    if (report == null) {
      if (reports.size() >= MAX_SOURCES) {
        return 0;
      }
      report = new Report();
      reports.put(source, report);
    }
    report.leaving = leaving;
    long late = 0;
    for (Map.Entry<Long, Map<String, Long>> one : windows.entrySet()) {
      late += late(source, one.getKey(), one.getValue());
      report.newest = Math.max(report.newest, one.getKey());
      if (one.getKey() > closedWindow) {
        report.windows.put(one.getKey(), Map.copyOf(one.getValue()));
      }
    }
    while (report.windows.size() > MAX_WINDOWS) {
      report.windows.pollFirstEntry();
    }
    return late;
  }

  /** Returns the sources for which {@code condition} holds. */
  public List<Source> sources(Predicate<Source> condition) {
    return reports.keySet().stream().filter(condition).toList();
  }

  /** Returns what a source has counted in windows that are not closed. */
  public Map<Long, Map<String, Long>> counts(Source source) {
    Report report = reports.get(source);
    return report == null ? Map.of() : Map.copyOf(report.windows);
  }

  /** Returns the oldest window that a source has reported and that is not closed. */
  public OptionalLong oldest() {
    return reports.values().stream()
        .filter(report -> !report.windows.isEmpty())
        .mapToLong(report -> report.windows.firstKey())
        .min();
  }

  /**
   * Returns true when a window is to be closed.
   *
   * @param isEnded true for a source that will not report again
   */
  public boolean due(long window, long fleetMillis, Predicate<Source> isEnded) {
    long end = (window + 1) * windowMillis;
    if (fleetMillis < end) {
      return false;
    }
    return fleetMillis >= end + patienceMillis || behind(window).stream().allMatch(isEnded);
  }

  /**
   * Closes a window: returns its counts, and forgets them with the sources that ended.
   *
   * @param kept counts of ended sources, which are added unless they are known here
   * @param isEnded true for a source that will not report again
   */
  public Closing close(long window, Kept kept, Predicate<Source> isEnded) {
    Map<String, Long> begun = new HashMap<>(kept.begun());
    boolean counted = !kept.sources().isEmpty();
    Map<Source, Long> totals = new HashMap<>();
    for (Map.Entry<Source, Report> one : reports.entrySet()) {
      Map<String, Long> counts = one.getValue().windows.get(window);
      if (counts != null) {
        counted = true;
        totals.put(one.getKey(), total(counts));
        if (!kept.sources().contains(one.getKey().key())) {
          counts.forEach((customer, count) -> begun.merge(customer, count, Long::sum));
        }
      }
    }
    List<Source> missing =
        behind(window).stream().filter(source -> !reports.get(source).leaving).toList();
    closed.put(window, totals);
    if (closed.size() > MAX_CLOSED) {
      closed.pollFirstEntry();
    }
    reports.values().forEach(report -> report.windows.headMap(window, true).clear());
    reports
        .entrySet()
        .removeIf(one -> one.getValue().newest <= window && isEnded.test(one.getKey()));
    return new Closing(begun, missing, counted);
  }

  /** Returns the sources that have not counted beyond a window. */
  private List<Source> behind(long window) {
    List<Source> behind = new ArrayList<>();
    reports.forEach(
        (source, report) -> {
          if (report.newest <= window) {
            behind.add(source);
          }
        });
    return behind;
  }

  /** Returns the requests that a source adds to a window that was closed without them. */
  private long late(Source source, long window, Map<String, Long> counts) {
    Map<Source, Long> totals = closed.get(window);
    if (totals == null) {
      return 0;
    }
    long more = Math.max(0, total(counts) - totals.getOrDefault(source, 0L));
    totals.merge(source, more, Long::sum);
    return more;
  }

  private static long total(Map<String, Long> counts) {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }

  private static final class Report {

    private final NavigableMap<Long, Map<String, Long>> windows = new TreeMap<>();
    private long newest = Long.MIN_VALUE;
    private boolean leaving;
  }
}
