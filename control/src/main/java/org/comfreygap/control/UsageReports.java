package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.comfreygap.decisions.MembershipView;
import org.comfreygap.decisions.UsageWindows;
import org.comfreygap.decisions.UsageWindows.Closing;
import org.comfreygap.decisions.UsageWindows.Kept;
import org.comfreygap.decisions.UsageWindows.Source;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.WindowUsage;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * The usage report: sums what gateways count, closes windows, and provides the calls that report
 * them.
 *
 * <p>Invariant: a window is committed, once, before it is sent; its content does not change then.
 * Thread safety: all methods are synchronized, but commits are not made under the monitor.
 */
@Singleton
final class UsageReports implements DutySource {

  private static final String SUBJECT = "usage";

  /** Windows closed in one step, so that a long gap does not hold up other duties. */
  private static final int MAX_CLOSED_AT_ONCE = 20;

  private final Leadership leadership;
  private final ControlState state;
  private final DutySettings settings;
  private final DutyDialect dialect;
  private final FleetTimeController time;
  private final DutyMetrics metrics;
  private final EventLog events;
  private UsageWindows windows;
  private long windowsTerm = -1;
  private OptionalLong firstWindow = OptionalLong.empty();
  private Set<Source> kept = new HashSet<>();
  private volatile long closedWindow = DutyState.NO_WINDOW;

  @Inject
  UsageReports(
      Leadership leadership,
      ControlState state,
      DutySettings settings,
      DutyDialect dialect,
      FleetTimeController time,
      DutyMetrics metrics,
      EventLog events) {
    this.leadership = leadership;
    this.state = state;
    this.settings = settings;
    this.dialect = dialect;
    this.time = time;
    this.metrics = metrics;
    this.events = events;
    this.windows = new UsageWindows(settings.window(), settings.lateness());
  }

  @Override
  public synchronized void heartbeat(LeaderTerm term, HeartbeatRequest request, long nowNanos) {
    if (!request.isSetUsage()) {
      return;
    }
    begin(term);
    ProcessIdentity identity = request.getIdentity();
    Source source = new Source(identity.getProcessId(), identity.getStartId());
    Map<Long, Map<String, Long>> counts = new HashMap<>();
    for (WindowUsage usage : request.getUsage()) {
      counts.put(usage.getWindow(), usage.getBegun());
    }
    // The state is not read here, since it may be locked while a snapshot is written.
    metrics.requestsLate(windows.report(source, counts, request.isLeaving(), closedWindow));
  }

  @Override
  public void maintain(LeaderTerm term, long nowNanos) throws LeadershipLost {
    closedWindow = state.readDuties(DutyState::closedWindow).orElse(DutyState.NO_WINDOW);
    time.expect(countingProcesses(term, nowNanos));
    OptionalLong fleet = time.millis(term, nowNanos);
    if (fleet.isEmpty()) {
      return;
    }
    keepEnded(term, nowNanos);
    for (int i = 0; i < MAX_CLOSED_AT_ONCE; i++) {
      if (!closeNext(term, fleet.getAsLong(), nowNanos)) {
        return;
      }
    }
  }

  @Override
  public Optional<DutyCall> next(LeaderTerm term, long nowNanos) {
    return state.readDuties(DutyState::oldest);
  }

  @Override
  public void replied(LeaderTerm term, DutyCall call, DutyReply reply, long nowNanos)
      throws LeadershipLost {
    if (reply.verdict() == DutyReply.Verdict.LATER) {
      return;
    }
    boolean accepted = reply.verdict() == DutyReply.Verdict.ACCEPTED;
    leadership.commit(
        term,
        millis -> new Command.EndWindow(millis, call.number(), accepted),
        ControlState.Applied.class);
  }

  /** Commits the counts of gateways that ended, so that they outlive this leader. */
  private void keepEnded(LeaderTerm term, long nowNanos) throws LeadershipLost {
    for (Source source : endedUnkept(term, nowNanos)) {
      Map<Long, Map<String, Long>> counts;
      synchronized (this) {
        counts = windows.counts(source);
      }
      if (!counts.isEmpty()) {
        leadership.commit(
            term,
            millis -> new Command.KeepUsage(millis, source.key(), counts),
            ControlState.Applied.class);
      }
      synchronized (this) {
        kept.add(source);
      }
    }
  }

  private synchronized List<Source> endedUnkept(LeaderTerm term, long nowNanos) {
    begin(term);
    return windows.sources(source -> !kept.contains(source) && hasEnded(term, source, nowNanos));
  }

  /** Closes the next window if it is due, and returns whether it was. */
  private boolean closeNext(LeaderTerm term, long fleetMillis, long nowNanos)
      throws LeadershipLost {
    long window;
    Closing closing;
    synchronized (this) {
      begin(term);
      window = nextWindow(fleetMillis);
      if (!windows.due(window, fleetMillis, source -> hasEnded(term, source, nowNanos))) {
        return false;
      }
      Kept keptUsage =
          Optional.ofNullable(state.readDuties(DutyState::kept).get(window))
              .map(one -> new Kept(one.sources(), one.begun()))
              .orElse(Kept.NOTHING);
      closing = windows.close(window, keptUsage, source -> hasEnded(term, source, nowNanos));
    }
    long before = closedWindow;
    DutyCall call =
        DutyCall.of(Duty.USAGE, SUBJECT, window, dialect.usage(window, closing.begun()));
    DutyState.CloseResult result =
        leadership.commit(
            term, millis -> new Command.CloseWindow(millis, call), DutyState.CloseResult.class);
    closedWindow = window;
    recordClosing(window, closing, before, result);
    return true;
  }

  private void recordClosing(
      long window, Closing closing, long before, DutyState.CloseResult result) {
    if (before != DutyState.NO_WINDOW && window > before + 1) {
      events.record(
          ControlEvent.USAGE_SKIPPED, Field.of("first", before + 1), Field.of("last", window - 1));
    }
    for (long dropped : result.dropped()) {
      metrics.windowDropped();
      events.record(ControlEvent.USAGE_DROPPED, Field.of("window", dropped));
    }
    if (result.closed() && closing.isIncomplete()) {
      metrics.windowIncomplete();
      events.record(
          ControlEvent.USAGE_INCOMPLETE,
          Field.of("window", window),
          Field.of("counted", closing.counted()),
          Field.of("missing", closing.missing().stream().map(Source::process).toList()),
          Field.of("allowedError", settings.allowedError()));
    }
  }

  private synchronized int countingProcesses(LeaderTerm term, long nowNanos) {
    begin(term);
    return windows.sources(source -> !hasEnded(term, source, nowNanos)).size();
  }

  private long nextWindow(long fleetMillis) {
    long current = windows.windowAt(fleetMillis);
    if (closedWindow != DutyState.NO_WINDOW) {
      // Windows before that would be reported far too late, and without counts.
      return Math.max(closedWindow + 1, current - DutyState.MAX_BACKLOG);
    }
    if (firstWindow.isEmpty()) {
      // An earlier window may have been reported before the log was lost, with other content.
      firstWindow = OptionalLong.of(current);
    }
    return firstWindow.getAsLong();
  }

  /** Begins with empty counts in a new term; the gateways report theirs again. */
  private void begin(LeaderTerm term) {
    if (windowsTerm != term.term()) {
      windowsTerm = term.term();
      windows = new UsageWindows(settings.window(), settings.lateness());
      kept = new HashSet<>();
    }
  }

  private static boolean hasEnded(LeaderTerm term, Source source, long nowNanos) {
    synchronized (term.members()) {
      MembershipView<ProcessIdentity> members = term.members();
      return members.ended(source.process(), source.start(), nowNanos)
          || members
              .find(source.process())
              .filter(one -> one.state() == MembershipView.State.LEAVING)
              .filter(
                  one ->
                      nowNanos - one.lastContactNanos() >= MembershipView.SUSPECT_AFTER.toNanos())
              .isPresent();
    }
  }
}
