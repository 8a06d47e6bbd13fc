package org.comfreygap.runtime;

import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A background task on a named daemon thread that runs a step repeatedly until it is closed.
 *
 * <pre>{@code
 * RepeatingTask heartbeat =
 *     RepeatingTask.every("heartbeat", Duration.ofSeconds(1), this::sendHeartbeat);
 * }</pre>
 *
 * <p>Invariant: a step that throws does not end the task; the task pauses before the next step so
 * that a permanent failure does not use a whole core. Thread safety: {@link #close} may be called
 * from any thread, including the thread of the task.
 *
 * @since 0.1
 */
public final class RepeatingTask implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(RepeatingTask.class);
  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(100);
  private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(5);

  private final Thread thread;
  private volatile boolean closed;

  private RepeatingTask(String name, Duration period, Step step) {
    this.thread = new Thread(() -> run(period, step), name);
    thread.setDaemon(true);
  }

  /** One step of a task. */
  @FunctionalInterface
  public interface Step {

    /** Runs the step; an exception other than an interrupt is logged and the task continues. */
    void run() throws Exception;
  }

  /** Starts a task without a pause; its step blocks, for example on a queue or a socket. */
  public static RepeatingTask continuous(String name, Step step) {
    return every(name, Duration.ZERO, step);
  }

  /** Starts a task that waits for {@code period} after each step. */
  public static RepeatingTask every(String name, Duration period, Step step) {
    RepeatingTask task = new RepeatingTask(name, period, step);
    task.thread.start();
    return task;
  }

  /** Stops the task and waits up to 5 s for the current step to end. */
  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    if (Thread.currentThread() == thread) {
      return;
    }
    try {
      thread.join(JOIN_TIMEOUT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public String toString() {
    return "task " + thread.getName();
  }

  private void run(Duration period, Step step) {
    while (!closed) {
      try {
        step.run();
        pause(period);
      } catch (InterruptedException e) {
        if (closed) {
          return;
        }
      } catch (Exception e) {
        if (closed) {
          return;
        }
        LOG.warn("task {} failed; continuing with its next step", thread.getName(), e);
        pauseAfterFailure();
      }
    }
  }

  private void pauseAfterFailure() {
    try {
      pause(PAUSE_AFTER_FAILURE);
    } catch (InterruptedException e) {
      LOG.debug("a task was interrupted in its pause after a failure", e);
    }
  }

  private static void pause(Duration period) throws InterruptedException {
    if (!period.isZero()) {
      Thread.sleep(period.toMillis(), period.toNanosPart() % 1_000_000);
    }
  }
}
