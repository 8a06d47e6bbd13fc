package org.comfreygap.runtime;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Bounded buffer of the latest events of a process.
 *
 * <p>Invariant: at most {@code capacity} events are kept; the oldest is dropped first. Thread
 * safety: all methods are synchronized.
 *
 * @since 0.1
 */
public final class Timeline {

  /** Events kept by default; at about 400 bytes each this is under 2 MB. */
  public static final int DEFAULT_CAPACITY = 4_096;

  private final int capacity;
  private final Deque<Entry> entries = new ArrayDeque<>();

  /** Creates an empty timeline. */
  public Timeline(int capacity) {
    this.capacity = capacity;
  }

  /**
   * One event.
   *
   * @param hlc hybrid logical clock value
   */
  public record Entry(
      String process, long hlc, int number, String name, Map<String, String> fields) {}

  /** Adds an event. */
  public synchronized void add(Entry entry) {
    if (entries.size() == capacity) {
      entries.removeFirst();
    }
    entries.addLast(entry);
  }

  /**
   * Returns the events that match, oldest first.
   *
   * @param sinceMillis milliseconds since the epoch; earlier events are left out
   * @param request value of the field {@code request}, or empty for all
   * @param team value of the field {@code team}, or empty for all
   */
  public synchronized List<Entry> eventsSince(
      long sinceMillis, Optional<String> request, Optional<String> team) {
    List<Entry> found = new ArrayList<>();
    for (Entry entry : entries) {
      if (HybridClock.millis(entry.hlc()) >= sinceMillis
          && matches(entry, "request", request)
          && matches(entry, "team", team)) {
        found.add(entry);
      }
    }
    return found;
  }

  private static boolean matches(Entry entry, String field, Optional<String> expected) {
    return expected.isEmpty() || expected.get().equals(entry.fields().get(field));
  }
}
