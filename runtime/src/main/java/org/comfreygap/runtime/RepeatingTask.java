package org.comfreygap.runtime;

import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A named daemon thread with one duty: it runs a step again and again until it is closed.
 *
 * <pre>{@code
 * RepeatingTask heartbeat = RepeatingTask.every("heartbeat", Duration.ofSeconds(1), this::sendHeartbeat);
 * }</pre>
 *
 * <p>Invariant: a step that throws does not end the duty; the duty pauses before the next step so
 * that a permanent failure does not use a whole core. Thread safety: {@link #close} may be called
 * from any thread, also from the duty itself.
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

  /** One step of a duty. */
  @FunctionalInterface
  public interface Step {

    /** Runs the step; an exception other than an interrupt is logged and the duty goes on. */
    void run() throws Exception;
  }

  /** Starts a duty whose step blocks on its own, for example on a ring buffer or a socket. */
  public static RepeatingTask continuous(String name, Step step) {
    return every(name, Duration.ZERO, step);
  }

  /** Starts a duty that waits for {@code period} after each step. */
  public static RepeatingTask every(String name, Duration period, Step step) {
    RepeatingTask duty = new RepeatingTask(name, period, step);
    duty.thread.start();
    return duty;
  }

  /** Stops the duty and waits up to 5 s for the running step to end. */
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
    return "duty " + thread.getName();
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
        LOG.warn("duty {} failed and goes on", thread.getName(), e);
        pauseAfterFailure();
      }
    }
  }

  private void pauseAfterFailure() {
    try {
      pause(PAUSE_AFTER_FAILURE);
    } catch (InterruptedException e) {
      LOG.debug("a duty was interrupted in its pause after a failure", e);
    }
  }

  private static void pause(Duration period) throws InterruptedException {
    if (!period.isZero()) {
      Thread.sleep(period.toMillis(), period.toNanosPart() % 1_000_000);
    }
  }
}
