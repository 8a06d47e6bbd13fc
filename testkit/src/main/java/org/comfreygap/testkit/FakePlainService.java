package org.comfreygap.testkit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.comfreygap.testkit.EndpointRecord.EventKind;

/**
 * A fake plain HTTP service that counts its runs per idempotency key.
 *
 * <pre>{@code
 * try (FakePlainService orders = FakePlainService.builder("orders-1").serviceMillis(5).start()) {
 *   orders.record().runsPerIdempotencyKey();
 * }
 * }</pre>
 *
 * <p>It does not deduplicate: each admitted request is a run. Every response carries the service's
 * name, the caller's nonce and the number of completed requests. Thread safety: all methods may be
 * called from any thread.
 *
 * @since 0.1
 */
public final class FakePlainService extends FakeEndpoint {

  private final Builder options;
  private final Object lock = new Object();
  private int running;
  private int completed;

  private FakePlainService(Builder options) throws IOException {
    super(options.name, "service", options.coldStart, options.maxConcurrent, options.warm);
    this.options = options;
    listen(options.address);
  }

  /** Returns a builder for a service with the given endpoint name. */
  public static Builder builder(String name) {
    return new Builder(name);
  }

  @Override
  void stopWork() {
    synchronized (lock) {
      running = 0;
    }
  }

  @Override
  void handle(RawHttpServer.Request request, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    if (request.path().equals("/health")) {
      reply(response, 200, Map.of("bootId", bootId(), "uptimeMillis", uptimeMillis()), "");
      return;
    }
    String body = new String(request.body(), StandardCharsets.UTF_8);
    String text = body + " " + request.target();
    String attempt = request.header("x-request-id");
    synchronized (lock) {
      int allowed = currentLimit();
      if (running >= allowed) {
        EventKind kind = allowed < fullLimit() ? EventKind.COLD_OVERLOAD : EventKind.OVER_BOUND;
        record.addEvent(kind, "carried " + running + " allowed " + allowed);
        reply(response, 503, errorBody("overloaded", name()), attempt);
        return;
      }
      running++;
    }
    EndpointRecord.Run run =
        record.addRun(
            new EndpointRecord.Run(
                attempt.isEmpty() ? request.path() : attempt,
                options.service,
                options.service,
                extractNonce(text),
                request.header("idempotency-key"),
                0));
    record.addStep(running);
    if (text.contains(CRASH_MARKER)) {
      record.finishRun(run, "crashed", 0);
      crash(attempt);
      throw new IOException("service crashed on a request with the crash marker");
    }
    String boot = bootId();
    Thread.sleep(options.serviceMillis);
    awaitThaw();
    synchronized (lock) {
      if (!boot.equals(bootId())) {
        record.finishRun(run, "crashed", 0);
        throw new IOException("service restarted during the request");
      }
      running--;
      completed++;
    }
    record.finishRun(run, "finished", 1);
    respond(run, request, response);
  }

  private void respond(
      EndpointRecord.Run run, RawHttpServer.Request request, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    if (faults.consume(EndpointFault.LOST_RUN_ACK)) {
      throw new IOException("injected fault: response dropped");
    }
    if (faults.consume(EndpointFault.LATE)) {
      Thread.sleep(faults.millis(EndpointFault.LATE));
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("service", options.service);
    body.put("endpoint", name());
    body.put("nonce", faults.consume(EndpointFault.CROSSED) ? "other" : run.nonce);
    body.put("method", request.method());
    body.put("count", completed);
    body.put("end", true);
    byte[] bytes = JSON.writeValueAsBytes(body);
    boolean abrupt = faults.consume(EndpointFault.TRUNCATE);
    boolean clean = !abrupt && faults.consume(EndpointFault.TRUNCATE_CLEAN);
    response.beginChunked(200, headers("application/json", request.header("x-request-id")));
    int sent = abrupt || clean ? bytes.length / 2 : bytes.length;
    response.sendChunk(java.util.Arrays.copyOf(bytes, sent));
    if (abrupt) {
      throw new IOException("injected fault: response truncated");
    }
    response.endChunked();
  }

  /** Builds a service. Thread safety: not thread-safe. */
  public static final class Builder {

    private final String name;
    private InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);
    private String service;
    private int maxConcurrent = 16;
    private long serviceMillis = 5;
    private boolean warm = true;
    private ColdStart coldStart = ColdStart.none();

    private Builder(String name) {
      this.name = name;
      this.service = name;
    }

    /** Sets the port on 127.0.0.1; 0, the default, chooses a free one. */
    public Builder port(int port) {
      address = new InetSocketAddress("127.0.0.1", port);
      return this;
    }

    /** Sets the service name in responses; defaults to the endpoint's name. */
    public Builder service(String serviceName) {
      service = serviceName;
      return this;
    }

    /** Sets how many requests run concurrently; further ones fail. */
    public Builder maxConcurrent(int count) {
      maxConcurrent = count;
      return this;
    }

    /** Sets the duration of a request. */
    public Builder serviceMillis(long millis) {
      serviceMillis = millis;
      return this;
    }

    /** Sets the limits that apply after a start. */
    public Builder coldStart(ColdStart start) {
      coldStart = start;
      return this;
    }

    /** Sets whether the service starts with its ramp already completed. */
    public Builder warm(boolean isWarm) {
      warm = isWarm;
      return this;
    }

    /**
     * Starts the service.
     *
     * @throws IOException when its port cannot be bound
     */
    public FakePlainService start() throws IOException {
      return new FakePlainService(this);
    }
  }
}
