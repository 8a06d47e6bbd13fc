package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which version of an adapter a request needs while new versions are announced.
 *
 * <p>An older version may serve for {@link #GRACE} after a newer one was announced, so that
 * endpoints can load it first. Each announced version has its own time, so that one that follows
 * soon does not defer the one before. The time begins when the settings before the announcement
 * were last confirmed, since the announcement was acknowledged later than that.
 *
 * <pre>{@code
 * VersionRequirements next = before.next(announced, confirmedNanos, now);
 * long minimum = next.required(adapter, now);
 * }</pre>
 *
 * <p>Invariant: the required version of an adapter never decreases while it is announced. Thread
 * safety: immutable.
 *
 * @since 0.6
 */
public final class VersionRequirements {

  /** Time for which an older version may serve: half of the shortest bound of the deployments. */
  public static final Duration GRACE = Duration.ofMillis(2_500);

  /** Versions of one adapter that wait for their time; more of them share the last one's. */
  static final int MAX_PENDING = 16;

  private static final VersionRequirements NONE = new VersionRequirements(Map.of());

  private final Map<AdapterSlots.Name, Entry> entries;

  private VersionRequirements(Map<AdapterSlots.Name, Entry> entries) {
    this.entries = entries;
  }

  private record Pending(long version, long requiredNanos) {}

  private record Entry(long required, List<Pending> pending) {

    long newest() {
      return pending.isEmpty() ? required : pending.get(pending.size() - 1).version();
    }

    long requiredAt(long nowNanos) {
      long version = required;
      for (Pending one : pending) {
        if (nowNanos - one.requiredNanos() >= 0) {
          version = Math.max(version, one.version());
        }
      }
      return version;
    }

    Entry with(long version, long requiredNanos, long nowNanos) {
      if (version == newest()) {
        return this;
      }
      List<Pending> left = new ArrayList<>();
      for (Pending one : pending) {
        if (nowNanos - one.requiredNanos() < 0) {
          left.add(one);
        }
      }
      long time = requiredNanos;
      if (left.size() >= MAX_PENDING) {
        time = left.remove(left.size() - 1).requiredNanos();
      }
      left.add(new Pending(version, time));
      return new Entry(requiredAt(nowNanos), List.copyOf(left));
    }
  }

  /** Returns the requirements of a process that knows no settings yet. */
  public static VersionRequirements none() {
    return NONE;
  }

  /**
   * Returns the requirements of a process that has just learnt its first settings: it does not know
   * when their versions were announced, and requires them at once.
   */
  public static VersionRequirements first(Map<AdapterSlots.Name, Long> announced) {
    Map<AdapterSlots.Name, Entry> entries = new HashMap<>();
    announced.forEach((name, version) -> entries.put(name, new Entry(version, List.of())));
    return new VersionRequirements(Map.copyOf(entries));
  }

  /**
   * Returns the requirements after a change of the settings.
   *
   * @param announced newest announced version of each adapter
   * @param confirmedNanos monotonic time as of which the settings before were confirmed
   * @param nowNanos monotonic time at which the change became known
   */
  public VersionRequirements next(
      Map<AdapterSlots.Name, Long> announced, long confirmedNanos, long nowNanos) {
    long since = nowNanos - confirmedNanos > 0 ? confirmedNanos : nowNanos;
    Map<AdapterSlots.Name, Entry> next = new HashMap<>();
    announced.forEach(
        (name, version) ->
            next.put(
                name,
                entries
                    .getOrDefault(name, new Entry(0, List.of()))
                    .with(version, since + GRACE.toNanos(), nowNanos)));
    return new VersionRequirements(Map.copyOf(next));
  }

  /** Returns the least version of an adapter that may serve at {@code nowNanos}; 0 for any. */
  public long required(AdapterSlots.Name name, long nowNanos) {
    Entry entry = entries.get(name);
    return entry == null ? 0 : entry.requiredAt(nowNanos);
  }

  /** Returns the newest announced version of an adapter; 0 when none was announced. */
  public long newest(AdapterSlots.Name name) {
    Entry entry = entries.get(name);
    return entry == null ? 0 : entry.newest();
  }
}
