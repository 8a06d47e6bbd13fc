package org.comfreygap.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * Reloads a settings file when it has changed: immediately on SIGHUP, otherwise within {@link
 * #PERIOD}.
 *
 * <p>Invariant: an unreadable or invalid file leaves the settings unchanged. Thread safety: {@link
 * #close} may be called from any thread; the listener is called by one thread.
 *
 * @since 0.2
 */
public final class SettingsFileWatcher implements AutoCloseable {

  /** Period of checks without a signal; such changes are rare and never urgent. */
  static final Duration PERIOD = Duration.ofSeconds(2);

  private static final String SIGHUP = "HUP";

  private final Path file;
  private final Listener listener;
  private final EventLog events;
  private final Semaphore signals = new Semaphore(0);
  private final RepeatingTask task;
  private byte[] currentContent;

  private SettingsFileWatcher(Path file, Listener listener, EventLog events) {
    this.file = file;
    this.listener = listener;
    this.events = events;
    this.currentContent = read(file);
    this.task = RepeatingTask.continuous("settings-reload", this::checkOnce);
  }

  /** Applies a changed settings file. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Applies the settings of {@code file}.
     *
     * @throws InvalidSettingsException when it has faults
     */
    void onChange(Path file) throws InvalidSettingsException;
  }

  /**
   * Starts watching {@code file} and replaces the default SIGHUP handler, which ends the process.
   * The caller has already applied the current content; only later changes are reported.
   */
  public static SettingsFileWatcher start(Path file, EventLog events, Listener listener) {
    SettingsFileWatcher watcher = new SettingsFileWatcher(file, listener, events);
    Signal.handle(new Signal(SIGHUP), signal -> watcher.signals.release());
    return watcher;
  }

  @Override
  public void close() {
    task.close();
  }

  private static byte[] read(Path file) {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      // The first check finds a difference and reports the fault.
      return new byte[0];
    }
  }

  private void checkOnce() throws InterruptedException {
    boolean signalled = signals.tryAcquire(PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    signals.drainPermits();
    try {
      byte[] content = Files.readAllBytes(file);
      if (!Arrays.equals(content, currentContent)) {
        listener.onChange(file);
        currentContent = content;
        events.record(RuntimeEvent.SETTINGS_FILE_RELOADED, Field.of("signalled", signalled));
      } else if (signalled) {
        events.record(RuntimeEvent.SETTINGS_FILE_UNCHANGED);
      }
    } catch (IOException | InvalidSettingsException e) {
      events.record(RuntimeEvent.SETTINGS_FILE_REJECTED, Field.of("cause", e.getMessage()));
    }
  }
}
