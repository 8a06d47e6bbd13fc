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
 * The crashes of endpoints that this process saw. Control is told of each, again and again until it
 * has it; what this process saw alone is counted here as well, so that a request that it saw at
 * enough crashes is quarantined also while control cannot be asked.
 *
 * <pre>{@code
 * CrashReports reports = CrashReports.start(control, "gateway-1", onDelivered, onFailed);
 * reports.add("e1", "boot7", fingerprints, System.nanoTime());
 * Optional<Duration> left = reports.quarantineLeft(fingerprint, System.nanoTime());
 * }</pre>
 *
 * <p>Invariants: a report names the age of the crash, so that it counts for the same crash as the
 * reports of others however late it is; a report is given up after {@link #LIFETIME}, or when newer
 * ones need its place, never silently. Thread safety: any thread may call; the listeners run on any
 * thread.
 *
 * @since 0.2
 */
public final class CrashReports implements AutoCloseable {

  /** Longest time without a leader that a report outlasts; control suspects for 15 minutes. */
  public static final Duration LIFETIME = Duration.ofMinutes(5);

  /** Reports that wait, beyond which the oldest is given up. */
  public static final int MAX_PENDING = 256;

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  // Spaces tries while no leader answers; an election takes about twice this time.
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
   * Starts to send reports.
   *
   * @param reporter process id of the caller
   * @param onDelivered runs with each report that control has
   * @param onFailed runs with each report that control did not take, and the cause; it is sent
   *     again unless the cause says that it is given up
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
   * @param endpoint the endpoint that ended
   * @param start its start; empty where it is not known
   * @param fingerprints requests that were there
   * @param crashNanos when it ended, by this machine's monotonic clock
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
        onFailed.accept(oldest.report, "given up: too many reports wait");
      }
    }
  }

  /** Returns how long a request is quarantined for what this process saw; empty when it is not. */
  public Optional<Duration> quarantineLeft(String fingerprint, long nowNanos) {
    synchronized (localQuarantine) {
      OptionalLong left = localQuarantine.remaining(fingerprint, nowNanos);
      return left.isEmpty() ? Optional.empty() : Optional.of(Duration.ofNanos(left.getAsLong()));
    }
  }

  /** Returns true when any request is quarantined for what this process saw, or was lately. */
  public boolean anyQuarantined() {
    synchronized (localQuarantine) {
      return localQuarantine.any();
    }
  }

  /** Stops to send; reports that still wait are given up. */
  @Override
  public void close() {
    sender.close();
    pending.forEach(left -> onFailed.accept(left.report, "given up: the process stops"));
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
        onFailed.accept(report, "given up: " + e.getMessage());
        return;
      }
      onFailed.accept(report, String.valueOf(e.getMessage()));
      if (!pending.offerFirst(next)) {
        onFailed.accept(report, "given up: too many reports wait");
      }
      Thread.sleep(RETRY_PAUSE.toMillis());
    }
  }

  private record PendingReport(CrashReport report, long crashNanos) {}
}
