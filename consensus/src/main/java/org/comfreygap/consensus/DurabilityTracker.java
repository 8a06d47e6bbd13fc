package org.comfreygap.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.comfreygap.protocol.generated.LogEntry;

/**
 * Tracks the durable and the pending state of the core, and holds messages until their state is
 * durable.
 *
 * <p>Invariant: a message is sent only when the state it depends on is durable. Thread safety: not
 * thread-safe.
 */
final class DurabilityTracker {

  // Limit memory use while the disk accepts no writes, for example because it is full.
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

  /** Returns the last index up to which the local log is durable. */
  long durableIndex() {
    return durableIndex;
  }

  /** Returns true when too much is waiting for the disk to accept more entries. */
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

  /** Takes the state that has to be persisted; empty when there is none. */
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

  /** Records that all requests up to {@code sequence} are durable. */
  void onPersisted(long sequence) {
    durableSequence = sequence;
    while (!pendingAppends.isEmpty() && pendingAppends.peek().sequence <= sequence) {
      durableIndex = pendingAppends.remove().lastIndex;
    }
  }

  /** Holds a message until the current term and vote are durable. */
  void runWhenStateDurable(Runnable message) {
    held.add(new HeldMessage(stateSequence, message));
  }

  /** Holds a message until the current term, vote and entries are durable. */
  void runWhenEntriesDurable(Runnable message) {
    held.add(new HeldMessage(Math.max(stateSequence, entrySequence), message));
  }

  /** Sends the held messages whose state is durable. */
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
