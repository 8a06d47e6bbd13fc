package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.comfreygap.control.DutyState.Holding;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.RepeatingTask;

/**
 * Makes the committed calls of all duties while this instance holds them.
 *
 * <p>Invariants: one call of a duty is open at a time, the oldest first; all duties together stay
 * within the calls a second that the platform accepts. Thread safety: {@link #start} and {@link
 * #close} are called once.
 */
@Singleton
final class DutyCaller implements AutoCloseable {

  private static final Duration MAINTENANCE_PERIOD = Duration.ofMillis(200);
  private static final Duration CALL_PERIOD = Duration.ofMillis(100);
  private static final Duration FIRST_PAUSE = Duration.ofMillis(250);
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

  /** Part of the accepted calls a second that is used; clocks and links stretch the rest. */
  private static final double SHARE_OF_RATE = 0.8;

  /** Part of the lease within which a call ends, so that it is over before a successor acts. */
  private static final double SHARE_OF_LEASE = 0.6;

  private static final Duration LONGEST_CALL = Duration.ofSeconds(2);
  private static final Duration SHORTEST_CALL = Duration.ofMillis(200);

  private final Leadership leadership;
  private final DutyHolder holder;
  private final DutySettings settings;
  private final DutySources sources;
  private final DutyDialect dialect;
  private final DutyMetrics metrics;
  private final EventLog events;
  private final AtomicLong nextCallNanos = new AtomicLong(System.nanoTime());
  private final Closer closer = new Closer();

  @Inject
  DutyCaller(
      Leadership leadership,
      DutyHolder holder,
      DutySettings settings,
      DutySources sources,
      DutyDialect dialect,
      DutyMetrics metrics,
      EventLog events) {
    this.leadership = leadership;
    this.holder = holder;
    this.settings = settings;
    this.sources = sources;
    this.dialect = dialect;
    this.metrics = metrics;
    this.events = events;
  }

  /** Starts the tasks, unless no duty is asked for. */
  void start() {
    if (settings.asked().isEmpty()) {
      return;
    }
    closer.register(RepeatingTask.every("duties", MAINTENANCE_PERIOD, this::maintain));
    DutyClient client = new DutyClient(Addresses.parse(settings.address()), callTimeout());
    sources
        .byDuty()
        .forEach(
            (duty, source) -> {
              Calls calls = new Calls(source, client);
              String name = "duty-" + duty.name().toLowerCase(Locale.ROOT);
              closer.register(RepeatingTask.every(name, CALL_PERIOD, calls::makeNext));
            });
  }

  @Override
  public void close() {
    closer.close();
  }

  /** Takes the duties and lets each source prepare its calls. */
  void maintain() throws LeadershipLost {
    Optional<LeaderTerm> term = leadership.current();
    if (term.isEmpty()) {
      return;
    }
    holder.maintain(term.get(), System.nanoTime());
    for (DutySource source : sources.all()) {
      source.maintain(term.get(), System.nanoTime());
    }
  }

  private Duration callTimeout() {
    long millis = (long) (settings.lease().toMillis() * SHARE_OF_LEASE);
    long bounded = Math.min(LONGEST_CALL.toMillis(), Math.max(SHORTEST_CALL.toMillis(), millis));
    return Duration.ofMillis(bounded);
  }

  /** Waits until another call is within the accepted rate. */
  private void awaitRate() throws InterruptedException {
    long gap = (long) (TimeUnit.SECONDS.toNanos(1) / (settings.callsPerSecond() * SHARE_OF_RATE));
    long now = System.nanoTime();
    long at = nextCallNanos.getAndUpdate(next -> (next - now > 0 ? next : now) + gap);
    if (at - now > 0) {
      TimeUnit.NANOSECONDS.sleep(at - now);
    }
  }

  private Map<String, String> headers(Holding holding) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put(dialect.holderHeader(), holding.holder());
    headers.put(dialect.fencingHeader(), String.valueOf(holding.fencing()));
    return headers;
  }

  /** The calls of one duty; used by one thread. */
  private final class Calls {

    private final DutySource source;
    private final DutyClient client;
    private Duration pause = FIRST_PAUSE;

    Calls(DutySource source, DutyClient client) {
      this.source = source;
      this.client = client;
    }

    void makeNext() throws LeadershipLost, InterruptedException {
      Optional<LeaderTerm> term = leadership.current();
      Optional<Holding> holding = term.flatMap(leader -> holder.acting(leader, System.nanoTime()));
      if (holding.isEmpty()) {
        return;
      }
      LeaderTerm leader = term.get();
      Optional<DutyCall> call = source.next(leader, System.nanoTime());
      if (call.isEmpty()) {
        return;
      }
      awaitRate();
      DutyReply reply =
          client.send(
              call.get(), headers(holding.get()), () -> holder.mayWrite(leader, holding.get()));
      record(call.get(), reply);
      source.replied(leader, call.get(), reply, System.nanoTime());
      if (reply.verdict() == DutyReply.Verdict.LATER) {
        TimeUnit.MILLISECONDS.sleep(pause.toMillis());
        Duration longer = pause.multipliedBy(2);
        pause = longer.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : longer;
      } else {
        pause = FIRST_PAUSE;
      }
    }

    private void record(DutyCall call, DutyReply reply) {
      metrics.called(call.duty(), reply);
      ControlEvent event =
          switch (reply.verdict()) {
            case ACCEPTED -> ControlEvent.DUTY_CALL_ACCEPTED;
            case REFUSED -> ControlEvent.DUTY_CALL_REFUSED;
            case LATER -> ControlEvent.DUTY_CALL_FAILED;
          };
      events.record(
          event,
          Field.of("duty", call.duty()),
          Field.of("subject", call.subject()),
          Field.of("number", call.number()),
          Field.of("cause", reply.cause()));
    }
  }
}
