package org.comfreygap.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.FleetTime;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.WindowUsage;
import org.comfreygap.runtime.ClockReading;
import org.comfreygap.runtime.HeartbeatContent;
import org.comfreygap.runtime.SuspensionDetector;

/**
 * Counts requests that endpoints began, by window of the fleet's time and customer, and states the
 * counts in heartbeats.
 *
 * <p>Invariants: a count only grows, and is stated until control has had all of it; a request is
 * placed in a window by the fleet's time, never by this instance's wall clock. While the fleet's
 * time is not known, requests wait for it by the monotonic clock. Thread safety: all methods are
 * synchronized.
 */
final class UsageCounter implements HeartbeatContent {

  /** Windows kept while control cannot be reached; older ones are given up. */
  static final int MAX_WINDOWS = 60;

  /** Requests that wait for the fleet's time, in groups of one slot. */
  private static final long SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final int MAX_SLOTS = 2_400;

  private final long windowMillis;
  private final long lateMillis;
  private final FleetTime time = new FleetTime();
  private final SuspensionDetector suspension = new SuspensionDetector();
  private final NavigableMap<Long, Map<String, Long>> windows = new TreeMap<>();
  private final NavigableMap<Long, Map<String, Long>> waiting = new TreeMap<>();
  private long confirmedNanos;
  private long givenUp;

  /**
   * Creates a counter.
   *
   * @param window length of a window; zero when nothing is to be counted
   * @param lateness time after the end of a window within which its report is due
   */
  UsageCounter(Duration window, Duration lateness) {
    this.windowMillis = window.toMillis();
    this.lateMillis = lateness.toMillis();
  }

  /** Counts a request whose response has begun; one without a customer is not counted. */
  synchronized void began(String customer, ClockReading now) {
    if (windowMillis == 0 || customer.isEmpty()) {
      return;
    }
    OptionalLong millis = millis(now);
    if (millis.isPresent()) {
      add(windows, millis.getAsLong() / windowMillis, customer, 1);
      return;
    }
    add(waiting, Math.floorDiv(now.nanos(), SLOT_NANOS), customer, 1);
    if (waiting.size() > MAX_SLOTS) {
      givenUp += total(waiting.pollFirstEntry().getValue());
    }
  }

  @Override
  public void fill(HeartbeatRequest request) {
    fill(request, ClockReading.now());
  }

  synchronized void fill(HeartbeatRequest request, ClockReading now) {
    if (windowMillis == 0) {
      return;
    }
    request.setWallMillis(now.wallMillis());
    // Without the fleet's time this instance cannot say how far it has counted.
    OptionalLong millis = millis(now);
    millis.ifPresent(at -> windows.computeIfAbsent(at / windowMillis, window -> new HashMap<>()));
    while (windows.size() > MAX_WINDOWS) {
      givenUp += total(windows.pollFirstEntry().getValue());
    }
    List<WindowUsage> usage = new ArrayList<>(windows.size());
    windows.forEach((window, begun) -> usage.add(new WindowUsage(window, new HashMap<>(begun))));
    request.setUsage(usage);
  }

  @Override
  public synchronized void replied(
      HeartbeatRequest request, HeartbeatReply reply, ClockReading sentAt, long nowNanos) {
    if (windowMillis == 0 || !reply.isSetFleetMillis()) {
      return;
    }
    time.stated(reply.getFleetMillis(), sentAt.nanos(), nowNanos);
    confirmedNanos = sentAt.nanos();
    long millis = time.millis(nowNanos).orElseThrow();
    if (request.isSetUsage()) {
      // These were in the heartbeat whole: a window that ended that long ago no longer grows.
      long oldest = (millis - lateMillis) / windowMillis;
      request.getUsage().stream()
          .map(WindowUsage::getWindow)
          .filter(window -> window < oldest)
          .forEach(windows::remove);
    }
    waiting.forEach(
        (slot, begun) -> {
          long at = time.millis(slot * SLOT_NANOS).orElseThrow();
          begun.forEach((customer, count) -> add(windows, at / windowMillis, customer, count));
        });
    waiting.clear();
  }

  /** Returns the requests that were counted and could not be reported. */
  synchronized long givenUp() {
    return givenUp;
  }

  /** Returns the fleet's time, unless this instance may have been suspended since it was told. */
  private OptionalLong millis(ClockReading now) {
    if (!suspension.isTrusted(confirmedNanos, now)) {
      time.reset();
    }
    return time.millis(now.nanos());
  }

  private static void add(
      Map<Long, Map<String, Long>> counts, long key, String customer, long count) {
    counts.computeIfAbsent(key, absent -> new HashMap<>()).merge(customer, count, Long::sum);
  }

  private static long total(Map<String, Long> begun) {
    return begun.values().stream().mapToLong(Long::longValue).sum();
  }
}
