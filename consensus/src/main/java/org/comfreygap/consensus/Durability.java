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
final class Durability {

  // Bounds on memory while the disk accepts nothing, for example because it is full.
  private static final int MAX_HELD_MESSAGES = 1_000;
  private static final int MAX_UNSYNCED_ENTRIES = 10_000;

  private final Deque<Held> held = new ArrayDeque<>();
  private final Deque<PendingAppend> pendingAppends = new ArrayDeque<>();
  private List<LogEntry> unsaved = new ArrayList<>();
  private Optional<SnapshotMeta> unsavedReset = Optional.empty();
  private Optional<HardState> unsavedState = Optional.empty();
  private long nextSequence = 1;
  private long stateSequence;
  private long entrySequence;
  private long durableSequence;
  private long durableIndex;

  Durability(long durableIndex) {
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

  void changed(HardState state) {
    unsavedState = Optional.of(state);
    stateSequence = nextSequence;
  }

  void appended(LogEntry entry) {
    unsaved.add(entry);
    entrySequence = nextSequence;
  }

  void truncatedFrom(long index) {
    unsaved.removeIf(entry -> entry.getIndex() >= index);
    durableIndex = Math.min(durableIndex, index - 1);
    for (PendingAppend pending : pendingAppends) {
      pending.lastIndex = Math.min(pending.lastIndex, index - 1);
    }
  }

  void installed(SnapshotMeta meta) {
    durableIndex = meta.index();
    pendingAppends.clear();
    unsaved.clear();
    unsavedReset = Optional.of(meta);
    entrySequence = nextSequence;
  }

  /** Takes what has to be persisted; empty when there is nothing. */
  Optional<Persist> take() {
    if (unsaved.isEmpty() && unsavedReset.isEmpty() && unsavedState.isEmpty()) {
      return Optional.empty();
    }
    Persist persist = new Persist(nextSequence++, unsavedReset, unsavedState, unsaved);
    if (!unsaved.isEmpty()) {
      long last = unsaved.get(unsaved.size() - 1).getIndex();
      pendingAppends.add(new PendingAppend(persist.sequence(), last));
    }
    unsaved = new ArrayList<>();
    unsavedReset = Optional.empty();
    unsavedState = Optional.empty();
    return Optional.of(persist);
  }

  /** Notes that everything up to {@code sequence} is durable. */
  void persisted(long sequence) {
    durableSequence = sequence;
    while (!pendingAppends.isEmpty() && pendingAppends.peek().sequence <= sequence) {
      durableIndex = pendingAppends.remove().lastIndex;
    }
  }

  /** Holds a message until the present term and vote are durable. */
  void afterState(Runnable message) {
    held.add(new Held(stateSequence, message));
  }

  /** Holds a message until the present term, vote and entries are durable. */
  void afterEntries(Runnable message) {
    held.add(new Held(Math.max(stateSequence, entrySequence), message));
  }

  /** Sends the messages whose state is durable. */
  void releaseMessages() {
    List<Held> waiting = new ArrayList<>();
    while (!held.isEmpty()) {
      Held next = held.remove();
      if (next.afterSequence <= durableSequence) {
        next.message.run();
      } else {
        waiting.add(next);
      }
    }
    held.addAll(waiting);
  }

  private record Held(long afterSequence, Runnable message) {}

  private static final class PendingAppend {

    private final long sequence;
    private long lastIndex;

    PendingAppend(long sequence, long lastIndex) {
      this.sequence = sequence;
      this.lastIndex = lastIndex;
    }
  }
}
