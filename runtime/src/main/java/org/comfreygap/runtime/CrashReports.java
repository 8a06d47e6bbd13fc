package org.comfreygap.runtime;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.comfreygap.decisions.Quarantine;
import org.comfreygap.protocol.generated.CrashReport;

/**
 * Reports the endpoint crashes observed by this process to control, and retries each report until
 * control acknowledges it. The crashes are also counted locally, so that a request that was running
 * at enough of them is quarantined even while control is unavailable.
 *
 * <pre>{@code
 * CrashReports reports = CrashReports.start(control, "gateway-1", onDelivered, onFailed);
 * reports.add("e1", "boot7", fingerprints, System.nanoTime());
 * Optional<Duration> left = reports.quarantineLeft(fingerprint, System.nanoTime());
 * }</pre>
 *
 * <p>Invariants: a report states the age of the crash, so that control matches it to the reports of
 * other processes for the same crash however late it arrives; a report is abandoned after {@link
 * #LIFETIME} or when the queue is full, and {@code onFailed} is always notified. Thread safety: any
 * thread may call; the callbacks run on any thread.
 *
 * @since 0.2
 */
public final class CrashReports implements AutoCloseable {

  /** Age at which an undelivered report is abandoned; control keeps suspects for 15 minutes. */
  public static final Duration LIFETIME = Duration.ofMinutes(5);

  /** Maximum number of undelivered reports; beyond it the oldest is abandoned. */
  public static final int MAX_PENDING = 256;

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  // Delay between attempts while no leader responds; an election takes about twice this time.
  private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

  private final ControlClient control;
  private final String reporter;
  private final Consumer<CrashReport> onDelivered;
  private final BiConsumer<CrashReport, String> onFailed;
  private final LinkedBlockingDeque<PendingReport> pending = new LinkedBlockingDeque<>(MAX_PENDING);
  private final Quarantine localQuarantine = new Quarantine(Quarantine.Bounds.DEFAULT);
  private final RepeatingTask sender;

  private CrashReports(
      ControlClient control,
      String reporter,
      Consumer<CrashReport> onDelivered,
      BiConsumer<CrashReport, String> onFailed) {
    this.control = control;
    this.reporter = reporter;
    this.onDelivered = onDelivered;
    this.onFailed = onFailed;
    this.sender = RepeatingTask.continuous("crash-reports", this::sendNext);
  }

  /**
   * Starts sending reports.
   *
   * @param reporter process id of the caller
   * @param onDelivered called with each report that control has acknowledged
   * @param onFailed called with a report and the cause after each failed attempt and when the
   *     report is abandoned; it is retried unless the cause begins with {@code abandoned}
   */
  public static CrashReports start(
      ControlClient control,
      String reporter,
      Consumer<CrashReport> onDelivered,
      BiConsumer<CrashReport, String> onFailed) {
    return new CrashReports(control, reporter, onDelivered, onFailed);
  }

  /**
   * Adds a crash.
   *
   * @param endpoint the endpoint that crashed
   * @param start id of the endpoint's start; empty when unknown
   * @param fingerprints fingerprints of the requests that were running at the endpoint
   * @param crashNanos time of the crash by this machine's monotonic clock
   */
  public void add(String endpoint, String start, List<String> fingerprints, long crashNanos) {
    synchronized (localQuarantine) {
      localQuarantine.crashed(
          new Quarantine.Crash(endpoint, start, crashNanos), fingerprints, System.nanoTime());
    }
    CrashReport report = new CrashReport(endpoint, start, fingerprints, reporter);
    PendingReport added = new PendingReport(report, crashNanos);
    while (!pending.offerLast(added)) {
      PendingReport oldest = pending.pollFirst();
      if (oldest != null) {
        onFailed.accept(oldest.report, "abandoned: too many pending reports");
      }
    }
  }

  /** Returns how long a request stays quarantined by local counts; empty when it is not. */
  public Optional<Duration> quarantineLeft(String fingerprint, long nowNanos) {
    synchronized (localQuarantine) {
      OptionalLong left = localQuarantine.remaining(fingerprint, nowNanos);
      return left.isEmpty() ? Optional.empty() : Optional.of(Duration.ofNanos(left.getAsLong()));
    }
  }

  /** Returns true when any request is, or recently was, quarantined by local counts. */
  public boolean anyQuarantined() {
    synchronized (localQuarantine) {
      return localQuarantine.any();
    }
  }

  /** Stops sending; pending reports are abandoned. */
  @Override
  public void close() {
    sender.close();
    pending.forEach(left -> onFailed.accept(left.report, "abandoned: the process is stopping"));
    pending.clear();
  }

  private void sendNext() throws InterruptedException {
    PendingReport next = pending.takeFirst();
    CrashReport report = next.report;
    long age = System.nanoTime() - next.crashNanos;
    report.setCrashedMillisAgo(TimeUnit.NANOSECONDS.toMillis(age));
    try {
      control.callLeader(CALL_TIMEOUT, client -> client.reportCrash(report));
      onDelivered.accept(report);
    } catch (ControlUnavailableException e) {
      if (age >= LIFETIME.toNanos()) {
        onFailed.accept(report, "abandoned: " + e.getMessage());
        return;
      }
      onFailed.accept(report, String.valueOf(e.getMessage()));
      if (!pending.offerFirst(next)) {
        onFailed.accept(report, "abandoned: too many pending reports");
      }
      Thread.sleep(RETRY_PAUSE.toMillis());
    }
  }

  private record PendingReport(CrashReport report, long crashNanos) {}
}
