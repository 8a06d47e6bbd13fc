package org.comfreygap.runtime;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.comfreygap.decisions.CrashCauses;
import org.comfreygap.decisions.PartBans;
import org.comfreygap.decisions.Quarantine;
import org.comfreygap.decisions.SuspectRequest;
import org.comfreygap.protocol.generated.CrashReport;

/**
 * Reports the endpoint crashes observed by this process to control, and retries each report until
 * control acknowledges it. The crashes are also counted locally, so that a request that was running
 * at enough of them is quarantined even while control is unavailable; once control has all reports,
 * its verdict alone counts, since it knows the crashes that other processes saw.
 *
 * <pre>{@code
 * CrashReports reports = CrashReports.start(control, "gateway-1", onDelivered, onFailed);
 * reports.add("e1", "boot7", suspects, Map.of(), System.nanoTime());
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

  // A call to control and the watch that brings its verdict.
  private static final Duration HANDOVER = CALL_TIMEOUT.plusSeconds(1);

  private final ControlClient control;
  private final String reporter;
  private final Consumer<CrashReport> onDelivered;
  private final BiConsumer<CrashReport, String> onFailed;
  private final LinkedBlockingDeque<PendingReport> pending = new LinkedBlockingDeque<>(MAX_PENDING);
  private final CrashCauses localCauses = new CrashCauses();
  private volatile PartBans localPartBans = PartBans.NONE;
  private volatile long lastPendingNanos;
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
   * @param suspects the requests at the endpoint that may be the cause
   * @param began responses that began here lately, by part of these requests' prompts
   * @param crashNanos time of the crash by this machine's monotonic clock
   */
  public void add(
      String endpoint,
      String start,
      List<SuspectRequest> suspects,
      Map<String, Integer> began,
      long crashNanos) {
    lastPendingNanos = System.nanoTime();
    synchronized (localCauses) {
      Quarantine.Crash crash = new Quarantine.Crash(endpoint, start, crashNanos);
      localCauses.crashed(crash, suspects, began, System.nanoTime());
      localPartBans = new PartBans(localCauses.parts().bans());
    }
    CrashReport report =
        new CrashReport(
            endpoint, start, suspects.stream().map(SuspectRequest::fingerprint).toList(), reporter);
    Map<String, List<String>> parts = new HashMap<>();
    suspects.stream()
        .filter(suspect -> !suspect.parts().isEmpty())
        .forEach(suspect -> parts.put(suspect.fingerprint(), suspect.parts()));
    report.setParts(parts);
    report.setBegan(began);
    PendingReport added = new PendingReport(report, crashNanos);
    while (!pending.offerLast(added)) {
      PendingReport oldest = pending.pollFirst();
      if (oldest != null) {
        onFailed.accept(oldest.report, "abandoned: too many pending reports");
      }
    }
  }

  /** Records that a response began on a prompt with these parts. */
  public void began(Collection<String> parts, long nowNanos) {
    synchronized (localCauses) {
      Map<String, Integer> counts = new HashMap<>();
      for (String part : parts) {
        if (localCauses.parts().watched().contains(part)) {
          counts.put(part, 1);
        }
      }
      if (!counts.isEmpty()) {
        localCauses.parts().began(counts, nowNanos);
        localPartBans = new PartBans(localCauses.parts().bans());
      }
    }
  }

  /** Returns how long a request stays quarantined by local counts; empty when it is not. */
  public Optional<Duration> quarantineLeft(String fingerprint, long nowNanos) {
    if (!countsLocally(nowNanos)) {
      return Optional.empty();
    }
    synchronized (localCauses) {
      OptionalLong left = localCauses.requests().remaining(fingerprint, nowNanos);
      return left.isEmpty() ? Optional.empty() : Optional.of(Duration.ofNanos(left.getAsLong()));
    }
  }

  /** Returns the bans of parts of prompts by local counts. */
  public PartBans partBans(long nowNanos) {
    return countsLocally(nowNanos) ? localPartBans : PartBans.NONE;
  }

  /** Returns true when any request is, or recently was, quarantined by local counts. */
  public boolean anyQuarantined() {
    synchronized (localCauses) {
      return localCauses.requests().any();
    }
  }

  /** Stops sending; pending reports are abandoned. */
  @Override
  public void close() {
    sender.close();
    pending.forEach(left -> onFailed.accept(left.report, "abandoned: the process is stopping"));
    pending.clear();
  }

  private boolean countsLocally(long nowNanos) {
    return !pending.isEmpty() || nowNanos - lastPendingNanos < HANDOVER.toNanos();
  }

  private void sendNext() throws InterruptedException {
    PendingReport next = pending.takeFirst();
    lastPendingNanos = System.nanoTime();
    CrashReport report = next.report;
    long age = System.nanoTime() - next.crashNanos;
    report.setCrashedMillisAgo(TimeUnit.NANOSECONDS.toMillis(age));
    try {
      control.callLeader(CALL_TIMEOUT, client -> client.reportCrash(report));
      lastPendingNanos = System.nanoTime();
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
