package org.comfreygap.testkit;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Log of the runs, loads and events of one fake endpoint, served as JSON at {@code /record}. Times
 * are milliseconds or microseconds since the epoch by the system clock.
 *
 * <p>Thread safety: all methods are synchronized.
 *
 * @since 0.1
 */
public final class EndpointRecord {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final String endpoint;
  private final String kind;
  private final Set<String> watchedKeys = ConcurrentHashMap.newKeySet();
  private final List<Run> runs = new ArrayList<>();
  private final List<Load> loads = new ArrayList<>();
  private final List<Event> events = new ArrayList<>();
  private long requestBytes;
  private long steps;
  private long stepBatchSum;

  EndpointRecord(String endpoint, String kind) {
    this.endpoint = endpoint;
    this.kind = kind;
  }

  /** Searches all bytes received after this call for {@code key}. */
  public void watchKey(String key) {
    watchedKeys.add(key);
  }

  /** Returns the runs recorded so far. */
  public synchronized List<Run> runs() {
    return new ArrayList<>(runs);
  }

  /** Returns the loads and unloads recorded so far. */
  public synchronized List<Load> loads() {
    return new ArrayList<>(loads);
  }

  /** Returns the recorded events of the given kind. */
  public synchronized List<Event> events(EventKind eventKind) {
    return events.stream().filter(event -> event.kind() == eventKind).toList();
  }

  /** Returns the number of runs per idempotency key. */
  public synchronized Map<String, Integer> runsPerIdempotencyKey() {
    Map<String, Integer> counts = new LinkedHashMap<>();
    for (Run run : runs) {
      if (!run.idempotencyKey.isEmpty()) {
        counts.merge(run.idempotencyKey, 1, Integer::sum);
      }
    }
    return counts;
  }

  /** Returns the mean batch size over all steps; 0 before the first step. */
  public synchronized double meanBatch() {
    return steps == 0 ? 0 : (double) stepBatchSum / steps;
  }

  static long nowMicros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  synchronized void recordReceived(byte[] raw) {
    requestBytes += raw.length;
    if (watchedKeys.isEmpty()) {
      return;
    }
    String text = new String(raw, StandardCharsets.ISO_8859_1);
    for (String key : watchedKeys) {
      if (text.contains(key)) {
        addEvent(EventKind.KEY_SEEN, text.lines().findFirst().orElse("").replace(key, "KEY"));
      }
    }
  }

  synchronized Run addRun(Run run) {
    runs.add(run);
    return run;
  }

  synchronized void finishRun(Run run, String state, int tokens) {
    run.state = state;
    run.tokens = tokens;
    run.endMicros = nowMicros();
  }

  synchronized void addLoad(Load load) {
    loads.add(load);
  }

  synchronized void addEvent(EventKind eventKind, String detail) {
    events.add(new Event(eventKind, System.currentTimeMillis(), detail));
  }

  synchronized void addStep(int batch) {
    steps++;
    stepBatchSum += batch;
  }

  synchronized byte[] toJson() throws JsonProcessingException {
    Map<String, Object> view = new LinkedHashMap<>();
    view.put("endpoint", endpoint);
    view.put("kind", kind);
    view.put("runs", runs);
    view.put("loads", loads);
    view.put("events", events);
    view.put("requestBytes", requestBytes);
    view.put("steps", steps);
    view.put("stepBatchSum", stepBatchSum);
    view.put("runsPerIdempotencyKey", runsPerIdempotencyKey());
    return JSON.writeValueAsBytes(view);
  }

  /** Kinds of recorded events. */
  public enum EventKind {
    /** An adapter was unloaded while requests were using it. */
    EVICTED_IN_USE,
    /** A watched key occurred in the received bytes. */
    KEY_SEEN,
    /** A request exceeded the limit that applied during the cold-start ramp. */
    COLD_OVERLOAD,
    /** A request exceeded the concurrency limit. */
    OVER_BOUND,
    /** A request named an adapter that is not resident. */
    NOT_RESIDENT,
    /** A command carried a stale fencing number. */
    STALE_FENCING,
    /** The endpoint started. */
    START,
    /** A request crashed the endpoint. */
    CRASH
  }

  /**
   * One recorded event.
   *
   * @param kind kind of the event
   * @param atMillis time of the event
   * @param detail human-readable description
   */
  public record Event(EventKind kind, long atMillis, String detail) {}

  /**
   * One load or unload of an adapter.
   *
   * @param adapter immutable adapter name
   * @param load false for an unload
   * @param startMillis time at which the command was received
   * @param endMillis time at which it completed
   * @param inFlight loads in flight across the fleet at its start
   * @param done false if it failed
   */
  public record Load(
      String adapter, boolean load, long startMillis, long endMillis, int inFlight, boolean done) {}

  /** One execution of a request, from admission to end. Guarded by the record's lock. */
  @JsonAutoDetect(fieldVisibility = JsonAutoDetect.Visibility.ANY)
  public static final class Run {

    final String attempt;
    final String named;
    final String adapter;
    final String nonce;
    final String idempotencyKey;
    final int promptTokens;
    final long startMicros = nowMicros();
    volatile long endMicros;
    volatile int tokens;
    volatile String state = "running";

    Run(
        String attempt,
        String named,
        String adapter,
        String nonce,
        String idempotencyKey,
        int promptTokens) {
      this.attempt = attempt;
      this.named = named;
      this.adapter = adapter;
      this.nonce = nonce;
      this.idempotencyKey = idempotencyKey;
      this.promptTokens = promptTokens;
    }

    /** Returns the attempt id; for a plain service without one, the request path. */
    public String attempt() {
      return attempt;
    }

    /** Returns the adapter that the request named. */
    public String named() {
      return named;
    }

    /** Returns the adapter that served the request. */
    public String adapter() {
      return adapter;
    }

    /** Returns the caller's nonce found in the request; empty without one. */
    public String nonce() {
      return nonce;
    }

    /** Returns the state: running, finished, cancelled, crashed or failed. */
    public String state() {
      return state;
    }

    /** Returns the number of tokens generated. */
    public int tokens() {
      return tokens;
    }

    /** Returns the time at which the request was admitted. */
    public long startMillis() {
      return startMicros / 1_000;
    }
  }
}
