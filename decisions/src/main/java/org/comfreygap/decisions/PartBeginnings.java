package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts the responses that began at this gateway on each part of prompts, and tells which of them
 * are to be reported.
 *
 * <pre>{@code
 * beginnings.began(request.sharedParts(), now);
 * PartBeginnings.Report report = beginnings.takeReport(watchedParts, now);
 * }</pre>
 *
 * <p>Invariants: a beginning is reported once; at most {@link #CAPACITY} parts are remembered, each
 * for {@link #RETENTION} after its last beginning. Not thread-safe.
 *
 * @since 0.4
 */
public final class PartBeginnings {

  /** Parts of the requests that a gateway serves within the retention time under usual load. */
  public static final int CAPACITY = 4_096;

  /** A part that was harmless may become harmful when an endpoint or an adapter changes. */
  public static final Duration RETENTION = Duration.ofSeconds(60);

  private final Map<String, Recent> recent = new LinkedHashMap<>();
  private final Map<String, Integer> sinceReport = new HashMap<>();
  private Set<String> watched = Set.of();

  /**
   * Responses to report.
   *
   * @param earlier those before the part was watched, by part
   * @param began those since the last report, by part
   */
  public record Report(Map<String, Integer> earlier, Map<String, Integer> began) {

    /** Returns true when there is nothing to report. */
    public boolean isEmpty() {
      return earlier.isEmpty() && began.isEmpty();
    }
  }

  private record Recent(int count, long lastNanos) {}

  /** Records that a response began on a prompt with these parts. */
  public void began(Collection<String> parts, long nowNanos) {
    for (String part : parts) {
      int before = count(part, nowNanos);
      recent.remove(part);
      recent.put(part, new Recent(Math.min(PartQuarantine.MAX_EARLIER, before + 1), nowNanos));
      if (watched.contains(part)) {
        sinceReport.merge(part, 1, Integer::sum);
      }
    }
    Iterator<String> oldest = recent.keySet().iterator();
    while (recent.size() > CAPACITY) {
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns how many responses began lately on those of the parts on which any did. */
  public Map<String, Integer> recent(Collection<String> parts, long nowNanos) {
    Map<String, Integer> counts = new HashMap<>();
    for (String part : parts) {
      int count = count(part, nowNanos);
      if (count > 0) {
        counts.put(part, count);
      }
    }
    return counts;
  }

  /** Takes what is to be reported of the parts that are watched now. */
  public Report takeReport(Set<String> watchedParts, long nowNanos) {
    Map<String, Integer> earlier = new HashMap<>();
    for (String part : watchedParts) {
      int count = watched.contains(part) ? 0 : count(part, nowNanos);
      if (count > 0) {
        earlier.put(part, count);
      }
    }
    sinceReport.keySet().retainAll(watchedParts);
    Map<String, Integer> began = Map.copyOf(sinceReport);
    sinceReport.clear();
    watched = watchedParts;
    return new Report(earlier, began);
  }

  /** Keeps a report that could not be delivered for the next one. */
  public void restore(Report report) {
    report.earlier.forEach((part, count) -> sinceReport.merge(part, count, Integer::sum));
    report.began.forEach((part, count) -> sinceReport.merge(part, count, Integer::sum));
  }

  private int count(String part, long nowNanos) {
    Recent known = recent.get(part);
    return known == null || nowNanos - known.lastNanos >= RETENTION.toNanos() ? 0 : known.count;
  }
}
