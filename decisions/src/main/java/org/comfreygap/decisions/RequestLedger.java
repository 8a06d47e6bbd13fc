package org.comfreygap.decisions;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Prevents a request from running twice: it is entered under its customer and idempotency key
 * before it is dispatched, and a repeat receives the state of the first request.
 *
 * <pre>{@code
 * RequestLedger.BeginResult begin =
 *     ledger.begin(customer, key, fingerprint, owner, requestId, now);
 * if (begin.state() == RequestLedger.State.STARTED) { dispatch(); }
 * }</pre>
 *
 * <p>Invariants: between STARTED and the end of the entry's age, no other request with the same
 * customer and key is STARTED, unless the first one was closed as not run. An entry is never
 * dropped before its age to make room; a full ledger refuses new entries instead. Only stored
 * responses are dropped early. Time is in nanoseconds of a clock that does not jump. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class RequestLedger {

  private final Bounds bounds;
  private final Map<EntryKey, Entry> unfinished = new LinkedHashMap<>();
  // In order of the time at which they ended, so that expiry looks only at the oldest.
  private final Map<EntryKey, Entry> ended = new LinkedHashMap<>();
  private final Map<String, Integer> countByCustomer = new HashMap<>();
  private long responseBytes;

  /** Creates an empty ledger. */
  public RequestLedger(Bounds bounds) {
    this.bounds = bounds;
  }

  /** State of a request, as returned to a repeat of it. */
  public enum State {
    STARTED,
    IN_PROGRESS,
    DONE,
    UNKNOWN,
    KEY_REUSED,
    FULL
  }

  /**
   * Bounds of the ledger.
   *
   * @param entries most entries
   * @param entriesPerCustomer most entries of one customer, so that one cannot fill the ledger
   * @param responseBytes most bytes of all stored responses
   * @param maxResponseBytes size in bytes of the largest response that is stored
   * @param ageNanos how long an entry is kept after it ended
   */
  public record Bounds(
      int entries,
      int entriesPerCustomer,
      long responseBytes,
      int maxResponseBytes,
      long ageNanos) {

    /** Bounds that keep the ledger under 12 MB: about 300 bytes an entry, 4 MB of responses. */
    public static final Bounds DEFAULT =
        new Bounds(20_000, 5_000, 4L << 20, 64 << 10, 600_000_000_000L);
  }

  /** The start of the gateway process that dispatches a request. */
  public record Owner(String gatewayId, String startId) {}

  /** A response as the caller receives it. */
  public record StoredResponse(int status, Map<String, String> headers, byte[] body) {

    int bytes() {
      int size = body.length;
      for (Map.Entry<String, String> header : headers.entrySet()) {
        size += header.getKey().length() + header.getValue().length();
      }
      return size;
    }
  }

  /** Result of {@link #begin}. */
  public record BeginResult(State state, Optional<StoredResponse> response) {}

  /**
   * One entry, as written to a snapshot.
   *
   * @param changedNanos time of the last change of state
   * @param answer the stored response, or null
   */
  public record Entry(
      String customer,
      String idempotencyKey,
      String fingerprint,
      Owner owner,
      String requestId,
      State state,
      long changedNanos,
      StoredResponse answer) {

    Entry closed(State newState, StoredResponse newAnswer, long now) {
      return new Entry(
          customer, idempotencyKey, fingerprint, owner, requestId, newState, now, newAnswer);
    }
  }

  /** Enters a request before its dispatch. A resend of the same request is STARTED again. */
  public BeginResult begin(
      String customer, String key, String fingerprint, Owner owner, String requestId, long now) {
    expire(now);
    EntryKey entryKey = new EntryKey(customer, key);
    Entry present = find(entryKey);
    if (present != null) {
      return repeat(present, fingerprint, owner, requestId);
    }
    if (size() >= bounds.entries
        || countByCustomer.getOrDefault(customer, 0) >= bounds.entriesPerCustomer) {
      return new BeginResult(State.FULL, Optional.empty());
    }
    put(new Entry(customer, key, fingerprint, owner, requestId, State.IN_PROGRESS, now, null));
    return new BeginResult(State.STARTED, Optional.empty());
  }

  /**
   * Closes the entry of a request; a call for another request than the one that was STARTED has no
   * effect. A late result for an UNKNOWN entry is accepted.
   */
  public void finish(
      String customer,
      String key,
      String requestId,
      Outcome outcome,
      Optional<StoredResponse> answer,
      long now) {
    expire(now);
    EntryKey entryKey = new EntryKey(customer, key);
    Entry present = find(entryKey);
    if (present == null || !present.requestId.equals(requestId) || present.state == State.DONE) {
      return;
    }
    remove(entryKey);
    switch (outcome) {
      case NOT_RUN -> {
        // The entry stays removed, so that a repeat may run.
      }
      case RAN -> put(present.closed(State.DONE, storable(answer), now));
      default -> put(present.closed(State.UNKNOWN, null, now));
    }
    trimResponses();
  }

  /** Closes as UNKNOWN the entries in progress of a gateway process that is gone. */
  public int ownerGone(Owner owner, long now) {
    List<Entry> orphans =
        unfinished.values().stream().filter(entry -> entry.owner.equals(owner)).toList();
    for (Entry orphan : orphans) {
      remove(key(orphan));
      put(orphan.closed(State.UNKNOWN, null, now));
    }
    return orphans.size();
  }

  /** Returns the owners of entries in progress. */
  public Set<Owner> owners() {
    Set<Owner> owners =
        new TreeSet<>(
            java.util.Comparator.comparing(Owner::gatewayId).thenComparing(Owner::startId));
    unfinished.values().forEach(entry -> owners.add(entry.owner));
    return owners;
  }

  /** Drops ended entries past their age. */
  public void expire(long now) {
    Iterator<Entry> oldest = ended.values().iterator();
    while (oldest.hasNext()) {
      Entry entry = oldest.next();
      if (now - entry.changedNanos < bounds.ageNanos) {
        return;
      }
      oldest.remove();
      forget(entry);
    }
  }

  /** Returns the number of entries. */
  public int size() {
    return unfinished.size() + ended.size();
  }

  /** Returns the bytes of the stored responses. */
  public long responseBytes() {
    return responseBytes;
  }

  /** Returns all entries, for a snapshot. */
  public Collection<Entry> entries() {
    List<Entry> all = new ArrayList<>(ended.values());
    all.addAll(unfinished.values());
    return all;
  }

  /** Adds an entry of a snapshot, in the order of {@link #entries}. */
  public void restore(Entry entry) {
    put(entry);
  }

  private static BeginResult repeat(
      Entry present, String fingerprint, Owner owner, String requestId) {
    if (!present.fingerprint.equals(fingerprint)) {
      return new BeginResult(State.KEY_REUSED, Optional.empty());
    }
    boolean resent = present.requestId.equals(requestId) && present.owner.equals(owner);
    if (present.state == State.IN_PROGRESS && resent) {
      return new BeginResult(State.STARTED, Optional.empty());
    }
    return new BeginResult(present.state, Optional.ofNullable(present.answer));
  }

  private StoredResponse storable(Optional<StoredResponse> answer) {
    return answer.filter(a -> a.bytes() <= bounds.maxResponseBytes).orElse(null);
  }

  private void trimResponses() {
    if (responseBytes <= bounds.responseBytes) {
      return;
    }
    for (Map.Entry<EntryKey, Entry> oldest : ended.entrySet()) {
      Entry entry = oldest.getValue();
      if (entry.answer != null) {
        responseBytes -= entry.answer.bytes();
        oldest.setValue(entry.closed(entry.state, null, entry.changedNanos));
      }
      if (responseBytes <= bounds.responseBytes) {
        return;
      }
    }
  }

  private Entry find(EntryKey key) {
    Entry entry = unfinished.get(key);
    return entry != null ? entry : ended.get(key);
  }

  private void put(Entry entry) {
    (entry.state == State.IN_PROGRESS ? unfinished : ended).put(key(entry), entry);
    countByCustomer.merge(entry.customer, 1, Integer::sum);
    responseBytes += entry.answer == null ? 0 : entry.answer.bytes();
  }

  private void remove(EntryKey key) {
    Entry entry = unfinished.remove(key);
    if (entry == null) {
      entry = ended.remove(key);
    }
    forget(entry);
  }

  private void forget(Entry entry) {
    countByCustomer.computeIfPresent(
        entry.customer, (customer, count) -> count == 1 ? null : count - 1);
    responseBytes -= entry.answer == null ? 0 : entry.answer.bytes();
  }

  private static EntryKey key(Entry entry) {
    return new EntryKey(entry.customer, entry.idempotencyKey);
  }

  private record EntryKey(String customer, String key) {}
}
