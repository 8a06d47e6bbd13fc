package org.comfreygap.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.comfreygap.protocol.generated.LogEntry;

/**
 * What of the core's state is durable, what still has to be persisted, and which messages wait for
 * it.
 *
 * <p>Invariant: a message leaves only when the state it depends on is durable. Thread safety: not
 * thread-safe.
 */
final class DurabilityTracker {

  // Bounds on memory while the disk accepts nothing, for example because it is full.
  private static final int MAX_HELD_MESSAGES = 1_000;
  private static final int MAX_UNSYNCED_ENTRIES = 10_000;

  private final Deque<HeldMessage> held = new ArrayDeque<>();
  private final Deque<PendingAppend> pendingAppends = new ArrayDeque<>();
  private List<LogEntry> pendingEntries = new ArrayList<>();
  private Optional<SnapshotMeta> pendingReset = Optional.empty();
  private Optional<HardState> pendingState = Optional.empty();
  private long nextSequence = 1;
  private long stateSequence;
  private long entrySequence;
  private long durableSequence;
  private long durableIndex;

  DurabilityTracker(long durableIndex) {
    this.durableIndex = durableIndex;
  }

  /** Returns the last index up to which the own log is durable. */
  long durableIndex() {
    return durableIndex;
  }

  /** Returns true when so much waits for the disk that no more should be taken. */
  boolean isOverloaded(long lastIndex) {
    return held.size() > MAX_HELD_MESSAGES || lastIndex - durableIndex > MAX_UNSYNCED_ENTRIES;
  }

  void hardStateChanged(HardState state) {
    pendingState = Optional.of(state);
    stateSequence = nextSequence;
  }

  void entryAppended(LogEntry entry) {
    pendingEntries.add(entry);
    entrySequence = nextSequence;
  }

  void logTruncated(long index) {
    pendingEntries.removeIf(entry -> entry.getIndex() >= index);
    durableIndex = Math.min(durableIndex, index - 1);
    for (PendingAppend pending : pendingAppends) {
      pending.lastIndex = Math.min(pending.lastIndex, index - 1);
    }
  }

  void snapshotInstalled(SnapshotMeta meta) {
    durableIndex = meta.index();
    pendingAppends.clear();
    pendingEntries.clear();
    pendingReset = Optional.of(meta);
    entrySequence = nextSequence;
  }

  /** Takes what has to be persisted; empty when there is nothing. */
  Optional<PersistRequest> takePersistRequest() {
    if (pendingEntries.isEmpty() && pendingReset.isEmpty() && pendingState.isEmpty()) {
      return Optional.empty();
    }
    PersistRequest persist =
        new PersistRequest(nextSequence++, pendingReset, pendingState, pendingEntries);
    if (!pendingEntries.isEmpty()) {
      long last = pendingEntries.get(pendingEntries.size() - 1).getIndex();
      pendingAppends.add(new PendingAppend(persist.sequence(), last));
    }
    pendingEntries = new ArrayList<>();
    pendingReset = Optional.empty();
    pendingState = Optional.empty();
    return Optional.of(persist);
  }

  /** Notes that everything up to {@code sequence} is durable. */
  void onPersisted(long sequence) {
    durableSequence = sequence;
    while (!pendingAppends.isEmpty() && pendingAppends.peek().sequence <= sequence) {
      durableIndex = pendingAppends.remove().lastIndex;
    }
  }

  /** Holds a message until the present term and vote are durable. */
  void runWhenStateDurable(Runnable message) {
    held.add(new HeldMessage(stateSequence, message));
  }

  /** Holds a message until the present term, vote and entries are durable. */
  void runWhenEntriesDurable(Runnable message) {
    held.add(new HeldMessage(Math.max(stateSequence, entrySequence), message));
  }

  /** Sends the messages whose state is durable. */
  void releaseMessages() {
    List<HeldMessage> waiting = new ArrayList<>();
    while (!held.isEmpty()) {
      HeldMessage next = held.remove();
      if (next.afterSequence <= durableSequence) {
        next.message.run();
      } else {
        waiting.add(next);
      }
    }
    held.addAll(waiting);
  }

  private record HeldMessage(long afterSequence, Runnable message) {}

  private static final class PendingAppend {

    private final long sequence;
    private long lastIndex;

    PendingAppend(long sequence, long lastIndex) {
      this.sequence = sequence;
      this.lastIndex = lastIndex;
    }
  }
}
