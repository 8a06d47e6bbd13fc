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
 * What happened at one fake endpoint, kept by the fake itself and served as JSON at {@code
 * /record}. Times are milliseconds or microseconds of the machine's clock.
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

  /** Searches all bytes received from now on for {@code key}. */
  public void watchKey(String key) {
    watchedKeys.add(key);
  }

  /** Returns the runs so far. */
  public synchronized List<Run> runs() {
    return new ArrayList<>(runs);
  }

  /** Returns the loads and unloads so far. */
  public synchronized List<Load> loads() {
    return new ArrayList<>(loads);
  }

  /** Returns the events of the given kind so far. */
  public synchronized List<Event> events(EventKind wanted) {
    return events.stream().filter(event -> event.kind() == wanted).toList();
  }

  /** Returns how many requests ran under each idempotency key. */
  public synchronized Map<String, Integer> runsPerIdempotencyKey() {
    Map<String, Integer> counts = new LinkedHashMap<>();
    for (Run run : runs) {
      if (!run.idempotencyKey.isEmpty()) {
        counts.merge(run.idempotencyKey, 1, Integer::sum);
      }
    }
    return counts;
  }

  /** Returns the mean batch over the steps so far; 0 without a step. */
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

  /** What a fake notes besides runs and loads. */
  public enum EventKind {
    /** An adapter was unloaded while requests ran on it. */
    EVICTED_IN_USE,
    /** A watched key was among the bytes received. */
    KEY_SEEN,
    /** A request arrived beyond what the endpoint carries after its start. */
    COLD_OVERLOAD,
    /** A request arrived beyond the batch bound. */
    OVER_BOUND,
    /** A request named an adapter that is not resident. */
    NOT_RESIDENT,
    /** A command carried a stale fencing number. */
    STALE_FENCING,
    /** The endpoint started. */
    START,
    /** The endpoint crashed on a request. */
    CRASH
  }

  /**
   * One event.
   *
   * @param kind what happened
   * @param atMillis when
   * @param detail for people
   */
  public record Event(EventKind kind, long atMillis, String detail) {}

  /**
   * One load or unload.
   *
   * @param adapter immutable adapter name
   * @param load false for an unload
   * @param startMillis when the command arrived
   * @param endMillis when it ended
   * @param inFlight loads in flight in the fleet at its start
   * @param done false when it failed
   */
  public record Load(
      String adapter, boolean load, long startMillis, long endMillis, int inFlight, boolean done) {}

  /** One run of a request, from its acceptance to its end. Guarded by the record. */
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

    /** Returns the attempt id, or the path for a plain service. */
    public String attempt() {
      return attempt;
    }

    /** Returns the adapter that the request named. */
    public String named() {
      return named;
    }

    /** Returns the adapter that the request ran on. */
    public String adapter() {
      return adapter;
    }

    /** Returns the caller's mark found in the body; empty without one. */
    public String nonce() {
      return nonce;
    }

    /** Returns running, finished, cancelled, crashed or failed. */
    public String state() {
      return state;
    }

    /** Returns the tokens generated. */
    public int tokens() {
      return tokens;
    }

    /** Returns when the request was accepted. */
    public long startMillis() {
      return startMicros / 1_000;
    }
  }
}
