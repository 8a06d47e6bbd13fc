package org.comfreygap.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.comfreygap.bench.RunObservations.SettingsReading;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects reverted settings: changes one document once a second, and reads it and the revisions in
 * force of all processes from every control instance.
 *
 * <p>Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
final class SettingsProbe implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(SettingsProbe.class);

  private static final long INTERVAL_MILLIS = 500;
  private static final Duration CHANGE_LIMIT = Duration.ofSeconds(5);
  private static final String PATH = "/teams/" + Layout.TEAM;

  private final AdminClient admin;
  private final ConcurrentLinkedQueue<SettingsReading> readings = new ConcurrentLinkedQueue<>();
  private final Thread thread = new Thread(this::loop, "settings-probe");
  private volatile long failedChanges;
  private volatile double slowestChangeMillis;

  SettingsProbe(AdminClient admin) {
    this.admin = admin;
    thread.setDaemon(true);
    thread.start();
  }

  List<SettingsReading> readings() {
    return List.copyOf(readings);
  }

  /** Returns how many changes were not accepted within 5 s. */
  long failedChanges() {
    return failedChanges;
  }

  /** Returns the longest time that a change took to be accepted. */
  double slowestChangeMillis() {
    return slowestChangeMillis;
  }

  @Override
  public void close() {
    thread.interrupt();
  }

  private void loop() {
    long value = 0;
    try {
      while (true) {
        value++;
        change(value);
        readAllInstances();
        Thread.sleep(INTERVAL_MILLIS);
        readAllInstances();
        Thread.sleep(INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void change(long value) throws InterruptedException {
    long from = System.nanoTime();
    try {
      admin.put(PATH, "{\"displayName\":\"" + value + "\"}", CHANGE_LIMIT);
      addReading("document", value);
    } catch (IOException e) {
      failedChanges++;
    }
    slowestChangeMillis = Math.max(slowestChangeMillis, (System.nanoTime() - from) / 1e6);
  }

  private void readAllInstances() throws InterruptedException {
    for (int i = 0; i < Layout.INSTANCES; i++) {
      try {
        JsonNode entry = admin.readFrom(i, "/settings" + PATH);
        if (entry.has("document")) {
          long value = entry.path("document").path("displayName").asLong();
          addReading("document", value);
        }
        JsonNode status = admin.readFrom(i, "/status");
        for (JsonNode process : status.path("processes")) {
          long revision = process.path("revisionInForce").asLong();
          if (revision > 0) {
            addReading(process.path("processId").asText() + "-seen-by-" + i, revision);
          }
        }
      } catch (IOException e) {
        LOG.debug("no response from a control instance", e);
      }
    }
  }

  private void addReading(String source, long revision) {
    readings.add(new SettingsReading(source, Clock.micros(), revision));
  }
}
