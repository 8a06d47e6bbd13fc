package org.comfreygap.control;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The replicated part of duties of one holder: who holds them under which fencing number, the
 * windows of usage that are closed and not yet accepted, and the counts of gateways that ended.
 *
 * <p>Invariants: a fencing number is given once, and each is higher than all before; windows are
 * closed in order, each once, with content that does not change afterwards. Not thread-safe: the
 * monitor of {@link ControlState} guards it.
 */
final class DutyState {

  /** Closed windows that are kept while the platform accepts none; an hour of 5 s windows. */
  static final int MAX_BACKLOG = 720;

  /** Open windows for which counts of ended gateways are kept. */
  static final int MAX_OPEN_WINDOWS = 100;

  /** Stands for no window; windows are counted from 1970. */
  static final long NO_WINDOW = -1;

  private Optional<Holding> holding = Optional.empty();
  private long closedWindow = NO_WINDOW;
  private long acceptedWindow = NO_WINDOW;
  private final SortedMap<Long, DutyCall> backlog = new TreeMap<>();
  private final SortedMap<Long, KeptUsage> kept = new TreeMap<>();

  /**
   * Who holds the duties.
   *
   * @param term term of the replicated log in which the holder leads
   * @param holder id of the holder's process
   */
  record Holding(long term, String holder, long fencing) {}

  /**
   * Counts of gateways that ended, in one window.
   *
   * @param sources starts of processes whose counts are included
   */
  record KeptUsage(Set<String> sources, Map<String, Long> begun) {}

  /** Progress of the usage report; windows are {@link #NO_WINDOW} before the first. */
  record Progress(long closedWindow, long acceptedWindow, int backlog) {}

  /**
   * Result of {@link Command.CloseWindow}.
   *
   * @param closed false when the window was closed before
   * @param dropped windows that were given up because the backlog is full
   */
  record CloseResult(boolean closed, List<Long> dropped) {}

  Object apply(Command.DutyCommand command) {
    if (command instanceof Command.TakeDuties take) {
      return take(take);
    } else if (command instanceof Command.CloseWindow close) {
      return close(close);
    } else if (command instanceof Command.KeepUsage keep) {
      return new ControlState.Applied(keep(keep));
    }
    Command.EndWindow end = (Command.EndWindow) command;
    boolean pending = backlog.remove(end.window()) != null;
    if (pending && end.accepted()) {
      acceptedWindow = Math.max(acceptedWindow, end.window());
    }
    return new ControlState.Applied(pending);
  }

  Optional<Holding> holding() {
    return holding;
  }

  Progress progress() {
    return new Progress(closedWindow, acceptedWindow, backlog.size());
  }

  OptionalLong closedWindow() {
    return closedWindow == NO_WINDOW ? OptionalLong.empty() : OptionalLong.of(closedWindow);
  }

  /** Returns the oldest closed window that the platform has not accepted. */
  Optional<DutyCall> oldest() {
    return backlog.isEmpty() ? Optional.empty() : Optional.of(backlog.get(backlog.firstKey()));
  }

  /** Returns the counts of ended gateways by window. */
  Map<Long, KeptUsage> kept() {
    return Map.copyOf(kept);
  }

  void write(SnapshotFile.LineWriter out) throws IOException {
    if (holding.isPresent()) {
      out.write(new SnapshotLine.Duties(holding.get(), closedWindow, acceptedWindow));
    }
    out.writeAll(backlog.values(), SnapshotLine.UsageWindow::new);
    for (Map.Entry<Long, KeptUsage> entry : kept.entrySet()) {
      out.write(new SnapshotLine.Usage(entry.getKey(), entry.getValue()));
    }
  }

  /** Reads a line on duties; returns false for another line. */
  boolean read(SnapshotLine line) {
    if (line instanceof SnapshotLine.Duties duties) {
      holding = Optional.of(duties.holding());
      closedWindow = duties.closedWindow();
      acceptedWindow = duties.acceptedWindow();
    } else if (line instanceof SnapshotLine.UsageWindow window) {
      backlog.put(window.call().number(), window.call());
    } else if (line instanceof SnapshotLine.Usage usage) {
      kept.put(usage.window(), usage.usage());
    } else {
      return false;
    }
    return true;
  }

  private Holding take(Command.TakeDuties take) {
    // A command whose result was lost is proposed again by the same leader.
    if (holding.isEmpty() || holding.get().term() < take.term()) {
      long next = holding.map(Holding::fencing).orElse(0L) + 1;
      holding =
          Optional.of(new Holding(take.term(), take.holder(), Math.max(next, take.leastFencing())));
    }
    return holding.get();
  }

  private CloseResult close(Command.CloseWindow close) {
    long window = close.call().number();
    if (window <= closedWindow) {
      return new CloseResult(false, List.of());
    }
    closedWindow = window;
    kept.headMap(window + 1).clear();
    backlog.put(window, close.call());
    if (backlog.size() <= MAX_BACKLOG) {
      return new CloseResult(true, List.of());
    }
    long oldest = backlog.firstKey();
    backlog.remove(oldest);
    return new CloseResult(true, List.of(oldest));
  }

  private boolean keep(Command.KeepUsage keep) {
    boolean changed = false;
    for (Map.Entry<Long, Map<String, Long>> entry : keep.begun().entrySet()) {
      long window = entry.getKey();
      boolean known = kept.containsKey(window);
      boolean open = window > closedWindow && (known || kept.size() < MAX_OPEN_WINDOWS);
      KeptUsage present = kept.getOrDefault(window, new KeptUsage(Set.of(), Map.of()));
      if (open && !present.sources().contains(keep.source())) {
        kept.put(window, sum(present, keep.source(), entry.getValue()));
        changed = true;
      }
    }
    return changed;
  }

  private static KeptUsage sum(KeptUsage present, String source, Map<String, Long> added) {
    Set<String> sources = new HashSet<>(present.sources());
    sources.add(source);
    Map<String, Long> begun = new HashMap<>(present.begun());
    added.forEach((customer, count) -> begun.merge(customer, count, Long::sum));
    return new KeptUsage(Set.copyOf(sources), Map.copyOf(begun));
  }
}
