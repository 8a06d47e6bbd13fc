package org.comfreygap.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.comfreygap.testkit.EndpointRecord.EventKind;

/**
 * A fake inference engine that speaks the endpoint protocol of the design page, section 6.
 *
 * <pre>{@code
 * try (FakeEngine engine = FakeEngine.builder("engine-1").slots(4).maxBatch(8).start()) {
 *   engine.fault(EndpointFault.FAIL_LOADS, 1);
 * }
 * }</pre>
 *
 * <p>The request body may set {@code priority} (lower runs earlier) and {@code cache_salt} (the
 * namespace of cached prefixes). The {@code "load": {"running", "waiting"}} field of {@code GET
 * /engine/state} is delayed; all other fields are current. Thread safety: one lock guards all
 * state; all methods may be called from any thread.
 *
 * @since 0.1
 */
public final class FakeEngine extends FakeEndpoint {

  private static final int MAX_KEPT_RUNS = 1_000;
  private static final int PREFILL_TOKENS_PER_STEP = 512;
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int MAX_CACHE_BLOCKS = 4_096;
  private static final String BASE_MODEL = "base";

  private final Builder options;
  private final Object lock = new Object();
  private final Set<String> resident = new LinkedHashSet<>();
  private final Set<String> loading = new LinkedHashSet<>();
  private final List<EngineRun> running = new ArrayList<>();
  private final List<EngineRun> waiting = new ArrayList<>();
  private final Map<String, EngineRun> runsByAttempt = new LinkedHashMap<>();
  private final PrefixCache prefixCache = new PrefixCache(MAX_CACHE_BLOCKS);
  private final Deque<LoadSample> loadSamples = new ArrayDeque<>();
  private final ResponseWriter writer = new ResponseWriter(this);
  private final Thread stepThread;
  private long fencing;
  private volatile boolean closed;

  private FakeEngine(Builder options) throws IOException {
    super(options.name, "engine", options.coldStart, options.maxBatch, options.warm);
    this.options = options;
    this.stepThread = new Thread(this::stepLoop, options.name + "-steps");
    stepThread.setDaemon(true);
    listen(options.address);
    stepThread.start();
  }

  /** Returns a builder for an engine with the given name. */
  public static Builder builder(String name) {
    return new Builder(name);
  }

  /** Returns the names of the resident adapters. */
  public Set<String> resident() {
    synchronized (lock) {
      return new LinkedHashSet<>(resident);
    }
  }

  /** Returns the number of requests in the current batch. */
  public int runningBatch() {
    synchronized (lock) {
      return running.size();
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    stepThread.interrupt();
    super.close();
  }

  @Override
  void stopWork() {
    synchronized (lock) {
      running.forEach(run -> finish(run, "crashed"));
      waiting.forEach(run -> finish(run, "crashed"));
      running.clear();
      waiting.clear();
      resident.clear();
      loading.clear();
      runsByAttempt.clear();
      prefixCache.clear();
      fencing = 0;
      lock.notifyAll();
    }
  }

  @Override
  void handle(RawHttpServer.Request request, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    String path = URLDecoder.decode(request.path(), StandardCharsets.UTF_8);
    if (path.equals("/engine/state")) {
      reply(response, 200, state(), "");
    } else if (path.equals("/engine/adapters")) {
      loadAdapter(parseJson(request.body()), response);
    } else if (path.startsWith("/engine/adapters/")) {
      long number = Long.parseLong(request.query("fencing", "0"));
      unloadAdapter(path.substring("/engine/adapters/".length()), number, response);
    } else if (path.equals("/v1/chat/completions") || path.equals("/v1/completions")) {
      handleCompletion(
          EngineRequest.parse(request.header("x-request-id"), path, request.body()), response);
    } else if (path.startsWith("/engine/requests/")) {
      handleAttempt(path.substring("/engine/requests/".length()), request, response);
    } else if (path.startsWith("/engine/kv/")) {
      handleCacheTransfer(path.substring("/engine/kv/".length()), request, response);
    } else {
      reply(response, 404, errorBody("not_found", path), "");
    }
  }

  private Map<String, Object> state() {
    synchronized (lock) {
      Map<String, Object> state = new LinkedHashMap<>();
      state.put("bootId", bootId());
      state.put("uptimeMillis", uptimeMillis());
      state.put("fencing", fencing);
      state.put("slots", options.slots);
      state.put("maxBatch", options.maxBatch);
      state.put("resident", new ArrayList<>(resident));
      List<Map<String, String>> runs = new ArrayList<>();
      for (EngineRun run : running) {
        runs.add(Map.of("attempt", run.recordEntry.attempt, "adapter", run.recordEntry.adapter));
      }
      for (EngineRun run : waiting) {
        runs.add(Map.of("attempt", run.recordEntry.attempt, "adapter", run.recordEntry.adapter));
      }
      state.put("running", runs);
      state.put("load", delayedLoad(System.nanoTime()));
      return state;
    }
  }

  private Map<String, Integer> delayedLoad(long nowNanos) {
    loadSamples.addLast(new LoadSample(nowNanos, running.size(), waiting.size()));
    LoadSample delayed = loadSamples.peekFirst();
    while (loadSamples.size() > 1
        && nowNanos - loadSamples.peekFirst().atNanos() >= options.reportLagMillis * 1_000_000L) {
      delayed = loadSamples.pollFirst();
    }
    return Map.of("running", delayed.running(), "waiting", delayed.waiting());
  }

  private void loadAdapter(JsonNode command, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    String adapter = command.path("name").asText();
    long number = command.path("fencing").asLong(0);
    String boot = bootId();
    synchronized (lock) {
      if (rejectStaleFencing(number, "load " + adapter)) {
        reply(
            response, 412, errorBody("stale_fencing", "given " + number + ", seen " + fencing), "");
        return;
      }
      if (resident.contains(adapter)) {
        reply(response, 200, Map.of("name", adapter), "");
        return;
      }
      if (loading.contains(adapter) || resident.size() + loading.size() >= options.slots) {
        reply(response, 409, errorBody("full", "all " + options.slots + " slots are in use"), "");
        return;
      }
      loading.add(adapter);
    }
    long startMillis = System.currentTimeMillis();
    int inFlight = options.store.load(options.loadMillis);
    awaitThaw();
    boolean failed = faults.consume(EndpointFault.FAIL_LOADS);
    boolean current;
    synchronized (lock) {
      current = boot.equals(bootId()) && !isDown();
      if (current) {
        loading.remove(adapter);
      }
      if (current && !failed) {
        resident.add(adapter);
      }
    }
    boolean done = current && !failed;
    long endMillis = System.currentTimeMillis();
    record.addLoad(new EndpointRecord.Load(adapter, true, startMillis, endMillis, inFlight, done));
    if (!current || faults.consume(EndpointFault.LOST_LOAD_ACK)) {
      throw new IOException("injected fault: load acknowledgement dropped");
    }
    reply(
        response,
        done ? 200 : 500,
        done ? Map.of("name", adapter) : errorBody("load_failed", adapter),
        "");
  }

  private void unloadAdapter(String adapter, long number, RawHttpServer.Response response)
      throws IOException {
    synchronized (lock) {
      if (rejectStaleFencing(number, "unload " + adapter)) {
        reply(
            response, 412, errorBody("stale_fencing", "given " + number + ", seen " + fencing), "");
        return;
      }
      if (!resident.remove(adapter)) {
        reply(response, 404, errorBody("not_resident", adapter), "");
        return;
      }
      List<EngineRun> users = new ArrayList<>(running);
      users.addAll(waiting);
      users.removeIf(run -> !run.recordEntry.adapter.equals(adapter));
      for (EngineRun run : users) {
        record.addEvent(EventKind.EVICTED_IN_USE, adapter + " " + run.recordEntry.attempt);
        finish(run, "failed");
      }
      running.removeAll(users);
      waiting.removeAll(users);
    }
    long now = System.currentTimeMillis();
    record.addLoad(new EndpointRecord.Load(adapter, false, now, now, 0, true));
    reply(response, 200, Map.of("name", adapter), "");
  }

  private boolean rejectStaleFencing(long number, String command) {
    if (number < fencing) {
      record.addEvent(EventKind.STALE_FENCING, command + " given " + number + " seen " + fencing);
      return options.checksFencing;
    }
    fencing = number;
    return false;
  }

  private void handleCompletion(EngineRequest request, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    if (request.body().contains(CRASH_MARKER)) {
      EndpointRecord.Run entry = recordRunStart(request, request.model());
      record.finishRun(entry, "crashed", 0);
      crash(request.attempt());
      throw new IOException("engine crashed on a request with the crash marker");
    }
    EngineRun run;
    synchronized (lock) {
      Refusal refusal = checkAdmission(request);
      if (refusal != null) {
        reply(response, refusal.status, errorBody(refusal.code, name()), request.attempt());
        return;
      }
      run = accept(request);
    }
    if (faults.consume(EndpointFault.LOST_RUN_ACK)) {
      throw new IOException("injected fault: response dropped");
    }
    if (faults.consume(EndpointFault.LATE)) {
      Thread.sleep(faults.millis(EndpointFault.LATE));
    }
    if (faults.consume(EndpointFault.CROSSED)) {
      writer.writeCrossed(request, response);
      return;
    }
    writer.write(run, 0, response);
  }

  private Refusal checkAdmission(EngineRequest request) {
    if (!resident.contains(request.model()) && !faults.isArmed(EndpointFault.BASE_FALLBACK)) {
      record.addEvent(EventKind.NOT_RESIDENT, request.model());
      return Refusal.NOT_RESIDENT;
    }
    int inFlight = running.size() + waiting.size();
    int limit = currentLimit();
    if (limit < fullLimit() && inFlight >= limit) {
      record.addEvent(EventKind.COLD_OVERLOAD, "carried " + inFlight + " allowed " + limit);
      return Refusal.OVERLOADED;
    }
    if (inFlight >= fullLimit() + options.maxWaiting) {
      record.addEvent(EventKind.OVER_BOUND, "carried " + inFlight + " bound " + fullLimit());
      return Refusal.OVERLOADED;
    }
    return null;
  }

  private EngineRun accept(EngineRequest request) {
    String adapter = resident.contains(request.model()) ? request.model() : BASE_MODEL;
    int cached = prefixCache.lookUp(request.namespace(), adapter, request.prompt());
    int uncached = Math.max(0, request.promptTokens() - cached / CHARACTERS_PER_TOKEN);
    EndpointRecord.Run entry = recordRunStart(request, adapter);
    EngineRun run = new EngineRun(entry, request, uncached / PREFILL_TOKENS_PER_STEP);
    enqueue(run);
    return run;
  }

  private void enqueue(EngineRun run) {
    if (running.size() < fullLimit()) {
      running.add(run);
    } else {
      int at = 0;
      while (at < waiting.size() && waiting.get(at).priority <= run.priority) {
        at++;
      }
      waiting.add(at, run);
    }
    runsByAttempt.put(run.recordEntry.attempt, run);
    if (runsByAttempt.size() > MAX_KEPT_RUNS) {
      runsByAttempt.remove(runsByAttempt.keySet().iterator().next());
    }
    lock.notifyAll();
  }

  private EndpointRecord.Run recordRunStart(EngineRequest request, String adapter) {
    return record.addRun(
        new EndpointRecord.Run(
            request.attempt(),
            request.model(),
            adapter,
            request.nonce(),
            "",
            request.promptTokens()));
  }

  private void handleAttempt(
      String rest, RawHttpServer.Request request, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    boolean cancel = rest.endsWith("/cancel");
    String id = cancel ? rest.substring(0, rest.length() - "/cancel".length()) : rest;
    EngineRun run;
    synchronized (lock) {
      run = runsByAttempt.get(id);
    }
    if (run == null) {
      reply(response, 404, errorBody("unknown_attempt", id), id);
    } else if (cancel) {
      cancel(run, response);
    } else {
      writer.write(run, Integer.parseInt(request.query("offset", "0")), response);
    }
  }

  private void cancel(EngineRun run, RawHttpServer.Response response) throws IOException {
    synchronized (lock) {
      if (!run.ended()) {
        finish(run, "cancelled");
        running.remove(run);
        waiting.remove(run);
      }
    }
    Map<String, Object> body =
        Map.of(
            "attempt",
            run.recordEntry.attempt,
            "state",
            run.recordEntry.state,
            "tokens",
            run.generatedTokens());
    reply(response, 200, body, run.recordEntry.attempt);
  }

  private void handleCacheTransfer(
      String id, RawHttpServer.Request request, RawHttpServer.Response response)
      throws IOException {
    if (request.method().equals("PUT")) {
      importCache(id, parseJson(request.body()), response);
      return;
    }
    EngineRun run;
    synchronized (lock) {
      run = runsByAttempt.get(id);
    }
    if (run == null) {
      reply(response, 404, errorBody("unknown_attempt", id), id);
      return;
    }
    Map<String, Object> exported = new LinkedHashMap<>();
    exported.put("attempt", id);
    exported.put("adapter", run.recordEntry.adapter);
    exported.put("chat", run.chat);
    exported.put("body", run.body);
    exported.put("position", run.generatedTokens());
    reply(response, 200, exported, id);
  }

  private void importCache(String id, JsonNode exported, RawHttpServer.Response response)
      throws IOException {
    String path = exported.path("chat").asBoolean() ? "/v1/chat/completions" : "/v1/completions";
    byte[] body = exported.path("body").asText().getBytes(StandardCharsets.UTF_8);
    EngineRequest request = EngineRequest.parse(id, path, body);
    synchronized (lock) {
      Refusal refusal = checkAdmission(request);
      if (refusal != null) {
        reply(response, refusal.status, errorBody(refusal.code, name()), id);
        return;
      }
      EngineRun run = accept(request);
      run.skipTo(exported.path("position").asInt());
    }
    reply(response, 200, Map.of("attempt", id), id);
  }

  private void finish(EngineRun run, String state) {
    record.finishRun(run.recordEntry, state, run.generatedTokens());
    run.end();
  }

  private void stepLoop() {
    try {
      while (!closed) {
        awaitThaw();
        int batch;
        synchronized (lock) {
          while (running.isEmpty() && !closed) {
            lock.wait();
          }
          batch = running.size();
        }
        long micros = options.stepMicros + options.stepMicrosPerRun * batch;
        Thread.sleep(micros / 1_000, (int) (micros % 1_000) * 1_000);
        step(batch);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void step(int batch) {
    synchronized (lock) {
      record.addStep(batch);
      List<EngineRun> ended = new ArrayList<>();
      for (EngineRun run : running) {
        // The run's lock keeps readers from seeing the end of the response before it is recorded.
        synchronized (run) {
          if (run.step()) {
            record.finishRun(
                run.recordEntry, run.complete() ? "finished" : "failed", run.generatedTokens());
            ended.add(run);
          }
        }
      }
      running.removeAll(ended);
      while (running.size() < fullLimit() && !waiting.isEmpty()) {
        running.add(waiting.remove(0));
      }
    }
  }

  private enum Refusal {
    NOT_RESIDENT(404, "adapter_not_resident"),
    OVERLOADED(503, "overloaded");

    private final int status;
    private final String code;

    Refusal(int status, String code) {
      this.status = status;
      this.code = code;
    }
  }

  private record LoadSample(long atNanos, int running, int waiting) {}

  /** Builds an engine. Thread safety: not thread-safe. */
  public static final class Builder {

    private final String name;
    private InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);
    private int slots = 4;
    private int maxBatch = 8;
    private int maxWaiting;
    private long loadMillis = 250;
    private long stepMicros = 5_000;
    private long stepMicrosPerRun = 100;
    private long reportLagMillis = 200;
    private boolean checksFencing = true;
    private boolean warm = true;
    private ColdStart coldStart = ColdStart.none();
    private WeightStore store = WeightStore.unlimited();

    private Builder(String name) {
      this.name = name;
    }

    /** Sets the port on 127.0.0.1; 0, the default, chooses a free one. */
    public Builder port(int port) {
      address = new InetSocketAddress("127.0.0.1", port);
      return this;
    }

    /** Sets the number of adapter slots. */
    public Builder slots(int count) {
      slots = count;
      return this;
    }

    /** Sets the maximum batch size. */
    public Builder maxBatch(int count) {
      maxBatch = count;
      return this;
    }

    /** Sets how many requests beyond the maximum batch are queued, not refused; default 0. */
    public Builder maxWaiting(int count) {
      maxWaiting = count;
      return this;
    }

    /** Sets the load time while the store is not overloaded. */
    public Builder loadMillis(long millis) {
      loadMillis = millis;
      return this;
    }

    /** Sets the duration of a step: {@code base} plus {@code perRun} per request in the batch. */
    public Builder stepMicros(long base, long perRun) {
      stepMicros = base;
      stepMicrosPerRun = perRun;
      return this;
    }

    /** Sets the age of the load reported in {@code /engine/state}. */
    public Builder reportLagMillis(long millis) {
      reportLagMillis = millis;
      return this;
    }

    /** Sets whether commands with a stale fencing number are rejected; default true. */
    public Builder checksFencing(boolean checks) {
      checksFencing = checks;
      return this;
    }

    /** Sets the limits that apply after a start. */
    public Builder coldStart(ColdStart start) {
      coldStart = start;
      return this;
    }

    /** Sets whether the engine starts with its ramp already completed. */
    public Builder warm(boolean isWarm) {
      warm = isWarm;
      return this;
    }

    /** Sets the weight store shared by the fleet. */
    public Builder store(WeightStore shared) {
      store = shared;
      return this;
    }

    /**
     * Starts the engine.
     *
     * @throws IOException when its port cannot be bound
     */
    public FakeEngine start() throws IOException {
      return new FakeEngine(this);
    }
  }
}
