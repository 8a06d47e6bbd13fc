package org.comfreygap.runtime;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Entry point of the server programs: reads the settings file named on the command line, shuts down
 * gracefully on SIGTERM and SIGINT, and sets the exit code.
 *
 * <pre>{@code
 * public static void main(String[] args) {
 *   Program.run("comfreygap-gateway", args, Gateway::start);
 * }
 * }</pre>
 *
 * <p>A signal that arrives during the start stops the program once it has started; a start that
 * fails, or does not end within 4 s of the signal, ends the process.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 2 for wrong usage or invalid settings, 1 for any
 * other failure to start. Thread safety: stateless.
 *
 * @since 0.1
 */
public final class Program {

  // Half of the shortest grace time in use, so that a stop fits in behind the start.
  private static final int START_SECONDS = 4;

  private Program() {}

  /** Starts a program from its settings file. */
  @FunctionalInterface
  public interface Launcher {

    /** Starts the program and returns a handle whose {@code close} method stops it. */
    AutoCloseable launch(Path settingsFile) throws Exception;
  }

  /**
   * A program whose stop counts its time from the signal.
   *
   * @since 0.7
   */
  public interface Stoppable extends AutoCloseable {

    /**
     * Stops the program.
     *
     * @param beginNanos when the signal arrived by the monotonic clock; it may be before the start
     */
    void stop(long beginNanos) throws Exception;

    @Override
    default void close() throws Exception {
      stop(System.nanoTime());
    }
  }

  /** Starts the program and waits until it is stopped by a signal. */
  public static void run(String name, String[] args, Launcher launcher) {
    if (args.length != 1) {
      System.err.println("usage: " + name + " SETTINGS.yaml");
      System.exit(2);
    }
    CountDownLatch stopped = new CountDownLatch(1);
    // Empty when the start failed.
    CompletableFuture<Optional<AutoCloseable>> running = new CompletableFuture<>();
    // Set before the start, whose port is open before it ends.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(running, stopped), "stop"));
    try {
      start(launcher, Path.of(args[0]), running);
    } catch (InvalidSettingsException e) {
      System.err.println(name + ": " + e.getMessage());
      System.exit(2);
    } catch (Exception e) {
      System.err.println(name + ": cannot start: " + e);
      e.printStackTrace();
      System.exit(1);
    }
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void start(
      Launcher launcher, Path settingsFile, CompletableFuture<Optional<AutoCloseable>> running)
      throws Exception {
    try {
      running.complete(Optional.of(launcher.launch(settingsFile)));
    } finally {
      // Has an effect only when the start failed; the hook must not wait for it.
      running.complete(Optional.empty());
    }
  }

  private static void stop(
      CompletableFuture<Optional<AutoCloseable>> running, CountDownLatch stopped) {
    long begin = System.nanoTime();
    try {
      Optional<AutoCloseable> started = running.get(START_SECONDS, TimeUnit.SECONDS);
      if (started.isPresent() && started.get() instanceof Stoppable stoppable) {
        stoppable.stop(begin);
      } else if (started.isPresent()) {
        started.get().close();
      }
    } catch (Exception e) {
      System.err.println("graceful shutdown failed: " + e);
    } finally {
      stopped.countDown();
    }
  }
}
