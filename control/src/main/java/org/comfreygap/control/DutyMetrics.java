package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToLongFunction;

/**
 * Counters of duties, and what an operator sees of the last calls.
 *
 * <p>Thread safety: any thread may call.
 */
@Singleton
final class DutyMetrics {

  private final ControlState state;
  private final DutySettings settings;
  private final Map<Duty, Map<DutyReply.Verdict, AtomicLong>> calls = new EnumMap<>(Duty.class);
  private final AtomicLong incompleteWindows = new AtomicLong();
  private final AtomicLong droppedWindows = new AtomicLong();
  private final AtomicLong lateRequests = new AtomicLong();
  private final Map<Duty, String> lastReplies = new EnumMap<>(Duty.class);

  @Inject
  DutyMetrics(ControlState state, DutySettings settings) {
    this.state = state;
    this.settings = settings;
    for (Duty duty : Duty.values()) {
      Map<DutyReply.Verdict, AtomicLong> byVerdict = new EnumMap<>(DutyReply.Verdict.class);
      for (DutyReply.Verdict verdict : DutyReply.Verdict.values()) {
        byVerdict.put(verdict, new AtomicLong());
      }
      calls.put(duty, byVerdict);
    }
  }

  void called(Duty duty, DutyReply reply) {
    calls.get(duty).get(reply.verdict()).incrementAndGet();
    synchronized (lastReplies) {
      lastReplies.put(duty, reply.cause());
    }
  }

  void windowIncomplete() {
    incompleteWindows.incrementAndGet();
  }

  void windowDropped() {
    droppedWindows.incrementAndGet();
  }

  /** Counts requests that were reported after their window was closed. */
  void requestsLate(long count) {
    lateRequests.addAndGet(count);
  }

  /** Returns the replies to the last call of each duty that this instance made. */
  Map<Duty, String> lastReplies() {
    synchronized (lastReplies) {
      return new EnumMap<>(lastReplies);
    }
  }

  /** Registers the metrics, unless no duty is asked for. */
  void bind(MeterRegistry registry) {
    if (settings.asked().isEmpty()) {
      return;
    }
    gauge(registry, "fencing", "Fencing number of the holder", DutyMetrics::fencing);
    gauge(
        registry,
        "usage.closed.window",
        "Last closed window of usage",
        duties -> duties.progress().closedWindow());
    gauge(
        registry,
        "usage.accepted.window",
        "Last window of usage that the platform accepted",
        duties -> duties.progress().acceptedWindow());
    gauge(
        registry,
        "usage.backlog",
        "Closed windows that the platform has not accepted",
        duties -> duties.progress().backlog());
    counter(registry, "usage.windows.incomplete", incompleteWindows);
    counter(registry, "usage.windows.dropped", droppedWindows);
    counter(registry, "usage.requests.late", lateRequests);
    calls.forEach(
        (duty, byVerdict) ->
            byVerdict.forEach(
                (verdict, count) ->
                    counter(
                        registry,
                        "calls",
                        count,
                        "duty",
                        duty.name().toLowerCase(Locale.ROOT),
                        "verdict",
                        verdict.name().toLowerCase(Locale.ROOT))));
  }

  private void gauge(
      MeterRegistry registry, String name, String description, ToLongFunction<DutyState> value) {
    Gauge.builder("comfreygap.duties." + name, state, s -> s.readDuties(value::applyAsLong))
        .description(description)
        .register(registry);
  }

  private static void counter(
      MeterRegistry registry, String name, AtomicLong value, String... tags) {
    FunctionCounter.builder("comfreygap.duties." + name, value, AtomicLong::get)
        .tags(tags)
        .register(registry);
  }

  private static long fencing(DutyState duties) {
    return duties.holding().map(DutyState.Holding::fencing).orElse(0L);
  }
}
