package org.comfreygap.relay;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.testkit.FreePorts;

/**
 * An endpoint that names a request limit in its responses and records when requests arrive.
 *
 * <p>Thread safety: all methods are synchronized on this object.
 */
final class LimitingEndpoint implements AutoCloseable {

  private static final byte[] BODY = "good".getBytes(StandardCharsets.UTF_8);

  private final String instanceId;
  private final Duration work;
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Long> arrivals = new ArrayList<>();
  private Optional<String> limit = Optional.empty();
  private long firstStatedNanos;
  private boolean stated;

  /**
   * Starts an endpoint without a limit.
   *
   * @param work time that each request takes
   */
  LimitingEndpoint(String instanceId, Duration work) throws IOException {
    this.instanceId = instanceId;
    this.work = work;
    server = HttpServer.create(FreePorts.address(), 0);
    server.setExecutor(threads);
    server.createContext("/", this::serve);
    server.start();
  }

  /** Returns this endpoint's line in the list. */
  String listed() {
    return instanceId + " " + Addresses.text(server.getAddress()) + "\n";
  }

  /** Names a limit from now on, as the text of a header; none when empty. */
  synchronized void limit(Optional<String> text) {
    limit = text;
  }

  /** Returns the number of requests since {@code sinceNanos}. */
  synchronized int arrivedSince(long sinceNanos) {
    return (int) arrivals.stream().filter(at -> at - sinceNanos >= 0).count();
  }

  /**
   * Returns the largest number of requests within any window that begins {@code grace} after the
   * endpoint first named a limit, or later.
   */
  synchronized int mostWithin(Duration window, Duration grace) {
    if (!stated) {
      return 0;
    }
    long from = firstStatedNanos + grace.toNanos();
    List<Long> counted = arrivals.stream().filter(at -> at - from >= 0).toList();
    int most = 0;
    for (int i = 0; i < counted.size(); i++) {
      long end = counted.get(i) + window.toNanos();
      int within = 0;
      for (int j = i; j < counted.size() && counted.get(j) - end <= 0; j++) {
        within++;
      }
      most = Math.max(most, within);
    }
    return most;
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  private void serve(HttpExchange exchange) throws IOException {
    Optional<String> named;
    synchronized (this) {
      long now = System.nanoTime();
      arrivals.add(now);
      named = limit;
      if (named.isPresent() && !stated) {
        stated = true;
        firstStatedNanos = now;
      }
    }
    exchange.getRequestBody().readAllBytes();
    pause();

    exchange
        .getResponseHeaders()
        .set(HeaderDialect.REQUEST, exchange.getRequestHeaders().getFirst(HeaderDialect.REQUEST));
    exchange.getResponseHeaders().set(HeaderDialect.ENDPOINT, instanceId);
    named.ifPresent(text -> exchange.getResponseHeaders().set(HeaderDialect.LIMIT, text));
    exchange.sendResponseHeaders(200, BODY.length);
    exchange.getResponseBody().write(BODY);
    exchange.close();
  }

  private void pause() {
    try {
      Thread.sleep(work.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
