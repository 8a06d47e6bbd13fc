package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers attempt ids so that each is accepted once.
 *
 * <p>A duplicate attaches to the first attempt. A cancelled id that was never seen leaves a
 * tombstone, and a delayed start under that id is refused. Ids of ended attempts and tombstones are
 * kept for the retention time. When the registry is full of ids that must still be kept, new ids
 * are refused: forgetting one could run a request twice.
 *
 * <pre>{@code
 * switch (registry.offer(id, attempt, nowNanos)) { case ACCEPTED -> enqueue(attempt); ... }
 * }</pre>
 *
 * <p>Invariant: {@link Offer#ACCEPTED} is returned at most once for an id within the retention time
 * after its end; at most {@code capacity} ids are held. Thread safety: none; the caller holds the
 * lock.
 *
 * @param <T> state of a live attempt
 * @since 0.1
 */
public final class AttemptRegistry<T> {

  private final int capacity;
  private final long retentionNanos;
  private final Map<String, Entry<T>> entries = new HashMap<>();
  private final Deque<Entry<T>> ended = new ArrayDeque<>();

  /** Creates an empty registry. */
  public AttemptRegistry(int capacity, Duration retention) {
    this.capacity = capacity;
    this.retentionNanos = retention.toNanos();
  }

  /** Result of offering an id. */
  public enum Offer {
    /** The id is new and now belongs to the offered attempt. */
    ACCEPTED,
    /** The id belongs to an earlier attempt, which {@link #find} returns. */
    DUPLICATE,
    /** The id was cancelled before it arrived; it never ran here. */
    TOMBSTONE,
    /** The attempt under the id ended and was released; it may have run. */
    ENDED,
    /** The registry is full of ids that must still be kept. */
    FULL
  }

  /** Offers {@code attempt} under {@code id}. */
  public Offer offer(String id, T attempt, long nowNanos) {
    expire(nowNanos);
    Entry<T> known = entries.get(id);
    if (known != null) {
      if (known.attempt != null) {
        return Offer.DUPLICATE;
      }
      return known.released ? Offer.ENDED : Offer.TOMBSTONE;
    }
    if (entries.size() >= capacity) {
      return Offer.FULL;
    }
    entries.put(id, new Entry<>(id, attempt));
    return Offer.ACCEPTED;
  }

  /** Returns the attempt under {@code id}; empty for tombstones and unknown ids. */
  public Optional<T> find(String id) {
    Entry<T> known = entries.get(id);
    return known == null ? Optional.empty() : Optional.ofNullable(known.attempt);
  }

  /** Returns true when {@code id} is known, as an attempt or as a tombstone. */
  public boolean known(String id) {
    return entries.containsKey(id);
  }

  /**
   * Leaves a tombstone for {@code id} if it is unknown. Returns true when the id has a tombstone,
   * so that it never ran here and never will; false when there is no room or the id had an attempt.
   */
  public boolean addTombstone(String id, long nowNanos) {
    expire(nowNanos);
    Entry<T> known = entries.get(id);
    if (known != null) {
      return known.attempt == null && !known.released;
    }
    if (entries.size() >= capacity) {
      return false;
    }
    Entry<T> entry = new Entry<>(id, null);
    entries.put(id, entry);
    end(entry, nowNanos);
    return true;
  }

  /** Records that the attempt under {@code id} has ended; its id is kept for the retention time. */
  public void ended(String id, long nowNanos) {
    Entry<T> entry = entries.get(id);
    if (entry != null && !entry.ended) {
      end(entry, nowNanos);
    }
  }

  /** Drops the attempt under {@code id} but keeps the id. */
  public void release(String id) {
    Entry<T> entry = entries.get(id);
    if (entry != null && entry.attempt != null) {
      entry.attempt = null;
      entry.released = true;
    }
  }

  /** Returns how many ids are held. */
  public int size() {
    return entries.size();
  }

  private void end(Entry<T> entry, long nowNanos) {
    entry.ended = true;
    entry.endedAtNanos = nowNanos;
    ended.addLast(entry);
  }

  private void expire(long nowNanos) {
    Entry<T> oldest = ended.peekFirst();
    while (oldest != null && nowNanos - oldest.endedAtNanos > retentionNanos) {
      ended.removeFirst();
      entries.remove(oldest.id);
      oldest = ended.peekFirst();
    }
  }

  private static final class Entry<T> {

    private final String id;
    private T attempt;
    private boolean ended;
    private boolean released;
    private long endedAtNanos;

    Entry(String id, T attempt) {
      this.id = id;
      this.attempt = attempt;
    }
  }
}
