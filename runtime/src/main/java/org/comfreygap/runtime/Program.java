package org.comfreygap.runtime;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

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
 * <p>Exit codes: 0 after a graceful shutdown, 2 for wrong usage or invalid settings, 1 for any
 * other failure to start. Thread safety: stateless.
 *
 * @since 0.1
 */
public final class Program {

  private Program() {}

  /** Starts a program from its settings file. */
  @FunctionalInterface
  public interface Launcher {

    /** Starts the program and returns a handle whose {@code close} method stops it. */
    AutoCloseable launch(Path settingsFile) throws Exception;
  }

  /** Starts the program and waits until it is stopped by a signal. */
  public static void run(String name, String[] args, Launcher launcher) {
    if (args.length != 1) {
      System.err.println("usage: " + name + " SETTINGS.yaml");
      System.exit(2);
    }
    CountDownLatch stopped = new CountDownLatch(1);
    try {
      AutoCloseable running = launcher.launch(Path.of(args[0]));
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(running, stopped), "stop"));
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

  private static void stop(AutoCloseable running, CountDownLatch stopped) {
    try {
      running.close();
    } catch (Exception e) {
      System.err.println("graceful shutdown failed: " + e);
    } finally {
      stopped.countDown();
    }
  }
}
