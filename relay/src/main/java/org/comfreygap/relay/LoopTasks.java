package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Runs tasks on an event loop whose failure must not end what follows them.
 *
 * <p>A loop drops a repeated task that throws, and the error of a task that runs once, without a
 * word.
 *
 * <pre>{@code
 * LoopTasks.repeat(loop, events, "readiness", Duration.ZERO, PERIOD, this::checkReadiness);
 * }</pre>
 *
 * <p>Invariant: an error is logged, and ends one run only. Thread safety: stateless.
 *
 * @since 0.5
 */
public final class LoopTasks {

  private LoopTasks() {}

  /** Runs {@code task} after {@code delay} and then once in each {@code period}. */
  public static void repeat(
      EventLoop loop,
      EventLog events,
      String name,
      Duration delay,
      Duration period,
      Runnable task) {
    loop.scheduleAtFixedRate(
        () -> run(events, name, task), delay.toMillis(), period.toMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Runs {@code task} once after {@code delay}; a loop keeps the error of such a task in its
   * future, which is rarely read.
   *
   * @return the future, which cancels the task
   * @since 0.8
   */
  public static ScheduledFuture<?> schedule(
      EventLoop loop, EventLog events, String name, Duration delay, Runnable task) {
    return loop.schedule(() -> run(events, name, task), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Runs {@code task} once in a later turn of the loop.
   *
   * @since 0.8
   */
  public static void execute(EventLoop loop, EventLog events, String name, Runnable task) {
    loop.execute(() -> run(events, name, task));
  }

  /** Runs {@code task} now; returns false when it failed. */
  public static boolean run(EventLog events, String name, Runnable task) {
    try {
      task.run();
      return true;
    } catch (RuntimeException e) {
      events.recordRateLimited(
          RelayEvent.TASK_FAILED,
          System.nanoTime(),
          () -> List.of(Field.of("task", name), Field.of("cause", e)));
      return false;
    }
  }
}
