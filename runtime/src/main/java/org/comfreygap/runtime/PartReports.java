package org.comfreygap.runtime;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.comfreygap.decisions.PartBeginnings;
import org.comfreygap.protocol.generated.BeganReport;

/**
 * Reports to control the responses that began on parts of prompts that are suspected of crashes.
 *
 * <pre>{@code
 * PartReports reports = PartReports.start(control, "gateway-1", agent::watchedParts, onFailed);
 * reports.began(request.sharedParts(), System.nanoTime());
 * }</pre>
 *
 * <p>Invariant: nothing is sent while no part is suspected. Thread safety: any thread may call; the
 * callback runs on the thread of the reports.
 *
 * @since 0.4
 */
public final class PartReports implements AutoCloseable {

  /** Leaves time for one report within that in which all gateways have to send theirs. */
  private static final Duration PERIOD = Duration.ofMillis(150);

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final ControlClient control;
  private final String reporter;
  private final Supplier<Set<String>> watched;
  private final Consumer<String> onFailed;
  private final PartBeginnings beginnings = new PartBeginnings();
  private final RepeatingTask sender;

  private PartReports(
      ControlClient control,
      String reporter,
      Supplier<Set<String>> watched,
      Consumer<String> onFailed) {
    this.control = control;
    this.reporter = reporter;
    this.watched = watched;
    this.onFailed = onFailed;
    this.sender = RepeatingTask.every("part-reports", PERIOD, this::sendNext);
  }

  /**
   * Starts reporting.
   *
   * @param reporter process id of the caller
   * @param watched the parts that control suspects now
   * @param onFailed called with the cause when a report was not delivered; it is sent again later
   */
  public static PartReports start(
      ControlClient control,
      String reporter,
      Supplier<Set<String>> watched,
      Consumer<String> onFailed) {
    return new PartReports(control, reporter, watched, onFailed);
  }

  /** Records that a response began on a prompt with these parts. */
  public void began(Collection<String> parts, long nowNanos) {
    synchronized (beginnings) {
      beginnings.began(parts, nowNanos);
    }
  }

  /** Returns how many responses began lately on those of the parts on which any did. */
  public Map<String, Integer> recent(Collection<String> parts, long nowNanos) {
    synchronized (beginnings) {
      return beginnings.recent(parts, nowNanos);
    }
  }

  @Override
  public void close() {
    sender.close();
  }

  private void sendNext() {
    PartBeginnings.Report report;
    synchronized (beginnings) {
      report = beginnings.takeReport(watched.get(), System.nanoTime());
    }
    if (report.isEmpty()) {
      return;
    }
    BeganReport message = new BeganReport(reporter, report.earlier(), report.began());
    try {
      control.callLeader(
          CALL_TIMEOUT,
          client -> {
            client.reportBegan(message);
            return true;
          });
    } catch (ControlUnavailableException e) {
      onFailed.accept(e.getMessage());
      synchronized (beginnings) {
        beginnings.restore(report);
      }
    }
  }
}
