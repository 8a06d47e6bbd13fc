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
 * Reads a settings file again when it has changed, on SIGHUP at once and otherwise within {@link
 * #PERIOD}.
 *
 * <p>Invariant: a file that cannot be read or has faults changes nothing. Thread safety: {@link
 * #close} may be called from any thread; the receiver is called by one thread.
 *
 * @since 0.2
 */
public final class SettingsFileWatcher implements AutoCloseable {

  /** Changes without a signal are rare and never urgent. */
  static final Duration PERIOD = Duration.ofSeconds(2);

  private static final String SIGHUP = "HUP";

  private final Path file;
  private final Listener listener;
  private final EventLog events;
  private final Semaphore signals = new Semaphore(0);
  private final RepeatingTask task;
  private byte[] currentContent;

  private SettingsFileWatcher(Path file, Listener receiver, EventLog events) {
    this.file = file;
    this.listener = receiver;
    this.events = events;
    this.currentContent = read(file);
    this.task = RepeatingTask.continuous("settings-reload", this::checkOnce);
  }

  /** Takes a changed file. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Puts the settings of {@code file} in force.
     *
     * @throws InvalidSettingsException when it has faults
     */
    void onChange(Path file) throws InvalidSettingsException;
  }

  /**
   * Begins to watch {@code file}; replaces what SIGHUP does by default, which is to end the
   * process. The file was read before, so that only later changes count.
   */
  public static SettingsFileWatcher start(Path file, EventLog events, Listener receiver) {
    SettingsFileWatcher reload = new SettingsFileWatcher(file, receiver, events);
    Signal.handle(new Signal(SIGHUP), signal -> reload.signals.release());
    return reload;
  }

  @Override
  public void close() {
    task.close();
  }

  private static byte[] read(Path file) {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      // The first check finds a difference and reports what is wrong.
      return new byte[0];
    }
  }

  private void checkOnce() throws InterruptedException {
    boolean signalled = signals.tryAcquire(PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    signals.drainPermits();
    try {
      byte[] present = Files.readAllBytes(file);
      if (!Arrays.equals(present, currentContent)) {
        listener.onChange(file);
        currentContent = present;
        events.record(RuntimeEvent.SETTINGS_FILE_RELOADED, Field.of("signalled", signalled));
      } else if (signalled) {
        events.record(RuntimeEvent.SETTINGS_FILE_UNCHANGED);
      }
    } catch (IOException | InvalidSettingsException e) {
      events.record(RuntimeEvent.SETTINGS_FILE_REJECTED, Field.of("cause", e.getMessage()));
    }
  }
}
