package org.comfreygap.relay;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.comfreygap.runtime.Field;

/**
 * Runs the steps of one request. An error of this process in one of them ends that request only:
 * its caller gets an answer or the end of its connection, and the event loop goes on with other
 * work.
 *
 * <pre>{@code
 * loop.schedule(guard.guarded("timeout", this::timedOut), millis, TimeUnit.MILLISECONDS);
 * }</pre>
 *
 * <p>Invariant: the first error of a request is logged once with its id, and each one is counted.
 * Thread safety: used on the event loop only.
 */
final class RequestGuard {

  private final RelayContext relay;
  private final String requestId;
  private final Runnable endRequest;
  private boolean failed;

  /**
   * Creates the guard of a request.
   *
   * @param endRequest ends the request with a response or a closed connection; may be run again
   */
  RequestGuard(RelayContext relay, String requestId, Runnable endRequest) {
    this.relay = relay;
    this.requestId = requestId;
    this.endRequest = endRequest;
  }

  /** Runs a step, and ends the request when it throws. */
  void run(String step, Runnable task) {
    get(
        step,
        () -> {
          task.run();
          return true;
        },
        false);
  }

  /** Returns the result of a step, or {@code otherwise} after its error has ended the request. */
  <T> T get(String step, Supplier<T> task, T otherwise) {
    boolean handled = false;
    try {
      T result = task.get();
      handled = true;
      return result;
    } catch (RuntimeException e) {
      handled = true;
      end(step, e);
      return otherwise;
    } finally {
      if (!handled) {
        // An Error goes on to the event loop, without its request.
        endRequest.run();
      }
    }
  }

  /** Returns a task that runs a step later. */
  Runnable guarded(String step, Runnable task) {
    return () -> run(step, task);
  }

  /** Returns a receiver that runs a step later. */
  <T> Consumer<T> receiver(String step, Consumer<T> task) {
    return value -> run(step, () -> task.accept(value));
  }

  /** Runs a step at the end of the request; an error in it leaves the rest of the end as it is. */
  void runLast(String step, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      report(step, e);
    }
  }

  private void end(String step, RuntimeException error) {
    try {
      endRequest.run();
    } finally {
      report(step, error);
    }
  }

  private void report(String step, RuntimeException error) {
    LoopTasks.run(
        relay.events(), "request-errors", () -> relay.metrics().count("request.errors", step));
    if (failed) {
      return;
    }
    failed = true;
    StackTraceElement[] frames = error.getStackTrace();
    // The type alone, as the message may quote the request.
    relay
        .events()
        .record(
            RelayEvent.REQUEST_STEP_FAILED,
            Field.of("request", requestId),
            Field.of("step", step),
            Field.of("cause", error.getClass().getName()),
            Field.of("at", frames.length > 0 ? frames[0] : ""));
  }
}
