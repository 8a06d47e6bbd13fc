package org.comfreygap.gateway;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.decisions.CrashSuspects;
import org.comfreygap.decisions.SuspectRequest;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.CrashReports;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Tracks the crash suspects of this gateway and reports crashes to control.
 *
 * <p>Invariant: a crash report contains all fingerprints that this gateway had in flight at the
 * endpoint. Thread safety: methods are synchronized on this object; one thread sends reports.
 */
@Singleton
final class CrashController implements AutoCloseable {

  private static final int MAX_SUSPECTS = 4_096;

  private final GatewaySettings settings;
  private final ControlClient control;
  private final EventLog events;
  private final CrashSuspects suspects = new CrashSuspects(MAX_SUSPECTS);
  private Optional<CrashReports> reports = Optional.empty();

  @Inject
  CrashController(GatewaySettings settings, ControlClient control, EventLog events) {
    this.settings = settings;
    this.control = control;
    this.events = events;
  }

  /** Starts sending reports. */
  void start() {
    reports =
        Optional.of(
            CrashReports.start(
                control,
                settings.processId(),
                delivered ->
                    events.record(
                        GatewayEvent.CRASH_REPORTED,
                        Field.of("endpoint", delivered.getEndpoint()),
                        Field.of("millisAgo", delivered.getCrashedMillisAgo())),
                (report, cause) ->
                    events.record(
                        GatewayEvent.CRASH_REPORT_FAILED,
                        Field.of("endpoint", report.getEndpoint()),
                        Field.of("cause", cause))));
  }

  /** Records the start of an attempt; returns true when it must run in isolation. */
  synchronized boolean attemptStarted(String endpoint, String attemptId, String fingerprint) {
    suspects.started(endpoint, attemptId, fingerprint);
    return suspects.isSuspect(fingerprint, System.nanoTime());
  }

  /** Records the end of an attempt. */
  synchronized void attemptEnded(String endpoint, String attemptId) {
    suspects.ended(endpoint, attemptId);
  }

  /** Records an endpoint crash; must be called before the attempt that reported it is ended. */
  void endpointCrashed(String endpoint, String endedBootId) {
    List<String> fingerprints;
    synchronized (this) {
      fingerprints = suspects.crashed(endpoint, System.nanoTime());
    }
    events.record(
        GatewayEvent.ENDPOINT_CRASHED,
        Field.of("endpoint", endpoint),
        Field.of("bootId", endedBootId),
        Field.of("suspects", fingerprints.size()));
    if (!fingerprints.isEmpty()) {
      long now = System.nanoTime();
      List<SuspectRequest> requests = fingerprints.stream().map(SuspectRequest::of).toList();
      reports.ifPresent(running -> running.add(endpoint, endedBootId, requests, Map.of(), now));
    }
  }

  /**
   * Returns true when a request was in flight at enough of the crashes observed by this gateway.
   */
  boolean isQuarantined(String fingerprint, long nowNanos) {
    return reports.flatMap(running -> running.quarantineLeft(fingerprint, nowNanos)).isPresent();
  }

  @Override
  public void close() {
    reports.ifPresent(CrashReports::close);
  }
}
