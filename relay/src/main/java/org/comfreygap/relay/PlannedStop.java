package org.comfreygap.relay;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.ControlUnavailableException;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.MembershipAgent;
import org.comfreygap.runtime.RuntimeEvent;

/**
 * The planned stop of a gateway, from the signal to the close of its resources.
 *
 * <p>All of it runs on the thread that stops the gateway, except for what may block on others: the
 * announcement to control and the close of the resources have threads of their own, and what
 * concerns callers runs on the event loop. This thread waits for each of them only for a time.
 *
 * <p>Invariants: the stop ends within the grace time whatever control and the event loop do; a step
 * that fails or takes too long is named in 1003, and the next ones are done. Thread safety: used by
 * one thread.
 */
final class PlannedStop {

  private static final Duration POLL = Duration.ofMillis(50);
  private static final Duration SHORT_POLL = Duration.ofMillis(5);
  // For refusals of requests that waited behind others, and for responses to be written.
  private static final Duration END_WAIT = Duration.ofMillis(200);
  // One attempt of a heartbeat.
  private static final Duration LAST_REPORT = Duration.ofMillis(300);
  // Part of the grace time that is left for the end of the JVM.
  private static final Duration EXIT = Duration.ofMillis(100);

  private final RelaySettings settings;
  private final EventLog events;
  private final EventLoop loop;
  private final Set<CallerConnection> callers;
  private final long beginNanos;
  private final long endNanos;
  private final List<String> failed = new ArrayList<>();
  private volatile Optional<String> closeFailure = Optional.empty();

  /** What the end of the process cuts off; negative numbers when they are not known. */
  private record Cut(long undelivered, int connections) {}

  /**
   * Creates the stop of a gateway.
   *
   * @param callers connections of callers; read on the event loop only
   * @param beginNanos when the stop began, by the monotonic clock
   */
  PlannedStop(
      RelaySettings settings,
      EventLog events,
      EventLoop loop,
      Set<CallerConnection> callers,
      long beginNanos) {
    this.settings = settings;
    this.events = events;
    this.loop = loop;
    this.callers = callers;
    this.beginNanos = beginNanos;
    this.endNanos = beginNanos + settings.stop().toNanos();
  }

  /**
   * Ends the service: accepts requests until the balancer has noticed, lets those in progress
   * complete until the end of the stop, and then ends them with an answer.
   *
   * @param closeIdle closes the connections without a request; called on the event loop
   */
  void endService(Optional<MembershipAgent> agent, Optional<Channel> acceptor, Runnable closeIdle) {
    events.record(RuntimeEvent.PROCESS_STOPPING);
    agent.ifPresent(this::announceLeaving);
    // A start or a heartbeat that took long does not delay the end.
    pause(Math.min(beginNanos + settings.stopLag().toNanos(), endNanos) - System.nanoTime());
    acceptor.ifPresent(this::closePort);
    drain(closeIdle);
    // One end for all that follows, since an event loop that is stuck uses up each wait.
    long lastNanos = System.nanoTime() + END_WAIT.toNanos();
    int open = onLoop("end requests", lastNanos, this::endRequests, -1);
    awaitAnswers(lastNanos);
    Cut cut =
        onLoop("count cut", System.nanoTime() + POLL.toNanos(), this::countCut, new Cut(-1, -1));
    if (!settings.usageWindow().isZero() && System.nanoTime() < endNanos) {
      // Control counts what began since the last heartbeat.
      agent.ifPresent(this::reportUsage);
    }
    List<Field> fields = new ArrayList<>();
    fields.add(Field.of("ended", open));
    fields.add(Field.of("undelivered", cut.undelivered()));
    fields.add(Field.of("cut", cut.connections()));
    if (!failed.isEmpty()) {
      fields.add(Field.of("failed", String.join(", ", failed)));
    }
    events.record(RuntimeEvent.PROCESS_STOPPED, fields.toArray(Field[]::new));
  }

  /** Closes the resources, and stops waiting for them in time for the process to end. */
  void close(Closer resources) {
    long begin = System.nanoTime();
    Thread closing = new Thread(() -> closeAll(resources), "close");
    closing.setDaemon(true);
    closing.start();
    join(closing, beginNanos + settings.grace().minus(EXIT).toNanos());
    Closer.Progress progress = resources.progress();
    long now = System.nanoTime();
    List<Field> fields = new ArrayList<>();
    fields.add(Field.of("millis", millis(now - begin)));
    fields.add(Field.of("longest", progress.longest()));
    fields.add(Field.of("longestMillis", progress.longestTime().toMillis()));
    fields.add(Field.of("stopMillis", millis(now - beginNanos)));
    fields.add(Field.of("graceMillis", settings.grace().toMillis()));
    progress.closing().ifPresent(name -> fields.add(Field.of("unfinished", name)));
    closeFailure.ifPresent(cause -> fields.add(Field.of("cause", cause)));
    events.record(RuntimeEvent.RESOURCES_CLOSED, fields.toArray(Field[]::new));
  }

  private void closeAll(Closer resources) {
    try {
      resources.close();
    } catch (IllegalStateException e) {
      closeFailure = Optional.of(e.getMessage() + ": " + e.getCause());
    }
  }

  private void closePort(Channel acceptor) {
    long left = Math.max(0, endNanos - System.nanoTime());
    if (!acceptor.close().awaitUninterruptibly(left, TimeUnit.NANOSECONDS)) {
      failed.add("close port: timed out");
    }
  }

  private void drain(Runnable closeIdle) {
    Callable<Boolean> idle =
        () -> {
          closeIdle.run();
          return callers.isEmpty();
        };
    boolean drained = false;
    while (!drained && !isOver(endNanos)) {
      // A task that is submitted just before the end is not a failure.
      drained = onLoop("drain", endNanos + POLL.toNanos(), idle, false);
      pause(drained ? 0 : Math.min(POLL.toNanos(), endNanos - System.nanoTime()));
    }
  }

  /**
   * Waits until no request is open: those that waited behind others on their connections are
   * answered in later turns of the loop.
   */
  private void awaitAnswers(long lastNanos) {
    while (!isOver(lastNanos)
        && onLoop("answer", lastNanos + POLL.toNanos(), this::isUnanswered, false)) {
      pause(SHORT_POLL.toNanos());
    }
  }

  private boolean isUnanswered() {
    endBusy();
    return callers.stream().anyMatch(one -> one.isBusy() || one.isDelivering());
  }

  /** Ends the requests that are still in progress, and returns their number. */
  private int endRequests() {
    return endBusy();
  }

  private int endBusy() {
    // A connection that closes at once is removed from the set.
    List<CallerConnection> busy = callers.stream().filter(CallerConnection::isBusy).toList();
    busy.forEach(this::end);
    return busy.size();
  }

  /** Ends the request of one caller; an error does not keep those of others open. */
  private void end(CallerConnection caller) {
    try {
      caller.gatewayStops();
    } catch (RuntimeException e) {
      events.record(RelayEvent.TASK_FAILED, Field.of("task", "end request"), Field.of("cause", e));
    }
  }

  private Cut countCut() {
    return new Cut(callers.stream().filter(CallerConnection::isDelivering).count(), callers.size());
  }

  private void reportUsage(MembershipAgent agent) {
    Thread report = announceLeaving(agent);
    join(report, Math.min(System.nanoTime() + LAST_REPORT.toNanos(), endNanos));
    if (report.isAlive()) {
      failed.add("report usage: timed out");
    }
  }

  /** Tells control on a thread of its own, which ends when the calls to control are ended. */
  private Thread announceLeaving(MembershipAgent agent) {
    agent.leave();
    Thread announcement = new Thread(() -> sendHeartbeat(agent), "leaving");
    announcement.setDaemon(true);
    announcement.start();
    return announcement;
  }

  private void sendHeartbeat(MembershipAgent agent) {
    try {
      agent.sendHeartbeat();
    } catch (ControlUnavailableException e) {
      events.record(RuntimeEvent.CONTROL_UNREACHABLE, Field.of("cause", e.getMessage()));
    }
  }

  /** Returns the result of the task, or {@code absent} when it failed or was not done in time. */
  private <T> T onLoop(String step, long deadlineNanos, Callable<T> task, T absent) {
    long left = Math.max(0, deadlineNanos - System.nanoTime());
    try {
      return loop.submit(task).get(left, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      failed.add(step + ": interrupted");
    } catch (ExecutionException e) {
      failed.add(step + ": " + e.getCause());
    } catch (TimeoutException e) {
      failed.add(step + ": timed out");
    }
    return absent;
  }

  private static boolean isOver(long deadlineNanos) {
    return deadlineNanos - System.nanoTime() <= 0 || Thread.currentThread().isInterrupted();
  }

  private static void join(Thread thread, long deadlineNanos) {
    long left = millis(deadlineNanos - System.nanoTime());
    if (left > 0) {
      try {
        thread.join(left);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static void pause(long nanos) {
    if (nanos > 0) {
      try {
        TimeUnit.NANOSECONDS.sleep(nanos);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
