package org.comfreygap.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Callers that send one request each at the same time, with the ids {@code order-0}, {@code
 * order-1} and so on.
 *
 * <p>Thread safety: each request has a thread; the methods are for the test's thread.
 */
final class ParallelCallers {

  private static final long WAIT_SECONDS = 9;

  private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
  private final List<CompletableFuture<Void>> callers = new ArrayList<>();

  private ParallelCallers() {}

  /** Sends requests to the only gateway of a fleet, with further headers. */
  static ParallelCallers send(
      GatewayFleet fleet, String path, int count, Map<String, String> headers) {
    ParallelCallers started = new ParallelCallers();
    for (int i = 0; i < count; i++) {
      String id = "order-" + i;
      started.callers.add(
          CompletableFuture.runAsync(
              () -> started.sendOne(fleet, path, id, headers), ParallelCallers::startThread));
    }
    return started;
  }

  /** Waits for all responses and returns their statuses by request; fails when one is missing. */
  Map<String, Integer> await() throws Exception {
    CompletableFuture.allOf(callers.toArray(CompletableFuture[]::new))
        .get(WAIT_SECONDS, TimeUnit.SECONDS);
    return statuses;
  }

  private void sendOne(GatewayFleet fleet, String path, String id, Map<String, String> headers) {
    try {
      Map<String, String> all = new HashMap<>(headers);
      all.put(HeaderDialect.REQUEST, id);
      statuses.put(id, fleet.send(0, "POST", path, "order", all).statusCode());
    } catch (IOException e) {
      throw new IllegalStateException("no answer to " + id, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void startThread(Runnable run) {
    Thread thread = new Thread(run, "caller");
    thread.setDaemon(true);
    thread.start();
  }
}
