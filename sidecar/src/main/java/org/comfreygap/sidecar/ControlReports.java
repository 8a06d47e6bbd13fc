package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.comfreygap.decisions.SuspectRequest;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailableException;
import org.comfreygap.runtime.CrashReports;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Reports crashes and released load permits to control without blocking the calling thread.
 *
 * <p>Invariant: a permit release that cannot be sent is dropped with an event, since the permit
 * expires anyway; it does not delay crash reports. Thread safety: any thread may add reports; one
 * duty thread for each kind sends them.
 */
@Singleton
final class ControlReports implements AutoCloseable {

  private static final int CAPACITY = 256;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private final SidecarSettings settings;
  private final ControlClient control;
  private final EventLog events;
  private final BlockingQueue<String> permits = new ArrayBlockingQueue<>(CAPACITY);
  private Optional<CrashReports> crashes = Optional.empty();

  @Inject
  ControlReports(SidecarSettings settings, ControlClient control, EventLog events) {
    this.settings = settings;
    this.control = control;
    this.events = events;
  }

  /** Starts sending crash reports. */
  ControlReports start() {
    crashes =
        Optional.of(
            CrashReports.start(
                control,
                settings.processId(),
                delivered ->
                    events.record(
                        SidecarEvent.CRASH_REPORTED,
                        Field.of("boot", delivered.getEndedBootId()),
                        Field.of("requests", delivered.getFingerprintsSize()),
                        Field.of("millisAgo", delivered.getCrashedMillisAgo())),
                (report, cause) ->
                    events.record(
                        SidecarEvent.CRASH_NOT_REPORTED,
                        Field.of("boot", report.getEndedBootId()),
                        Field.of("cause", cause))));
    return this;
  }

  /** Reports the requests that were in flight when the boot {@code bootId} ended. */
  void reportCrash(String bootId, List<String> fingerprints) {
    long now = System.nanoTime();
    List<SuspectRequest> suspects = fingerprints.stream().map(SuspectRequest::of).toList();
    crashes.ifPresent(running -> running.add(settings.endpoint(), bootId, suspects, Map.of(), now));
  }

  /** Queues the release of a load permit. */
  void releasePermit(String permitId) {
    if (!permits.offer(permitId)) {
      recordNotReleased(permitId, "the queue of permit releases is full");
    }
  }

  /** Sends the next release. */
  void step() throws InterruptedException {
    String permitId = permits.take();
    try {
      control.callLeader(
          CALL_TIMEOUT,
          client -> {
            client.releaseLoadPermit(permitId);
            return permitId;
          });
    } catch (ControlUnavailableException e) {
      recordNotReleased(permitId, String.valueOf(e.getMessage()));
    }
  }

  @Override
  public void close() {
    crashes.ifPresent(CrashReports::close);
  }

  private void recordNotReleased(String permitId, String cause) {
    events.record(
        SidecarEvent.PERMIT_NOT_RELEASED, Field.of("permit", permitId), Field.of("cause", cause));
  }
}
