package org.comfreygap.gateway;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.comfreygap.decisions.CrashSuspects;
import org.comfreygap.protocol.generated.CrashReport;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailable;
import org.comfreygap.runtime.DutyThread;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Keeps the crash suspects of this gateway and reports crashes to control.
 *
 * <p>Invariant: a crash is reported with all fingerprints that this gateway had in flight there.
 * Thread safety: methods are synchronized on this object; one thread sends reports.
 */
@Singleton
final class CrashController implements AutoCloseable {

  private static final int MAX_SUSPECTS = 4_096;
  private static final int MAX_REPORTS = 256;
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final GatewaySettings settings;
  private final ControlClient control;
  private final EventLog events;
  private final CrashSuspects suspects = new CrashSuspects(MAX_SUSPECTS);
  private final BlockingQueue<CrashReport> reports = new ArrayBlockingQueue<>(MAX_REPORTS);
  private DutyThread duty;

  @Inject
  CrashController(GatewaySettings settings, ControlClient control, EventLog events) {
    this.settings = settings;
    this.control = control;
    this.events = events;
  }

  /** Starts to send reports. */
  void start() {
    duty = DutyThread.continuous("crash-reports", this::sendOne);
  }

  /** Records that an attempt is sent; returns true when it must run in isolation. */
  synchronized boolean started(String endpoint, String attemptId, String fingerprint) {
    suspects.started(endpoint, attemptId, fingerprint);
    return suspects.suspect(fingerprint, System.nanoTime());
  }

  /** Records that an attempt is over. */
  synchronized void ended(String endpoint, String attemptId) {
    suspects.ended(endpoint, attemptId);
  }

  /** Records that an endpoint crashed, before the attempt that told of it is ended. */
  void crashed(String endpoint, String endedBootId) {
    List<String> fingerprints;
    synchronized (this) {
      fingerprints = suspects.crashed(endpoint, System.nanoTime());
    }
    events.record(
        GatewayEvent.ENDPOINT_CRASHED,
        Field.of("endpoint", endpoint),
        Field.of("bootId", endedBootId),
        Field.of("suspects", fingerprints.size()));
    CrashReport report = new CrashReport(endpoint, endedBootId, fingerprints, settings.processId());
    if (!fingerprints.isEmpty() && !reports.offer(report)) {
      reportFailed(endpoint, "the queue of reports is full");
    }
  }

  @Override
  public void close() {
    if (duty != null) {
      duty.close();
    }
  }

  private void sendOne() throws InterruptedException {
    CrashReport report = reports.take();
    try {
      control.callLeader(TIMEOUT, client -> client.reportCrash(report));
    } catch (ControlUnavailable e) {
      reportFailed(report.getEndpoint(), e.getMessage());
      // Kept for the next try, unless newer reports fill the queue.
      if (!reports.offer(report)) {
        reportFailed(report.getEndpoint(), "the queue of reports is full");
      }
    }
  }

  private void reportFailed(String endpoint, String cause) {
    events.record(
        GatewayEvent.CRASH_REPORT_FAILED, Field.of("endpoint", endpoint), Field.of("cause", cause));
  }
}
