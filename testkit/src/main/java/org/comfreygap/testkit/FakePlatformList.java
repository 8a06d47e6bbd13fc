package org.comfreygap.testkit;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A fake of the platform's instance list that applies each {@link #set} after a delay.
 *
 * <p>Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
public final class FakePlatformList implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final RawHttpServer server;
  private final long lagNanos;
  private final Map<String, String> served = new LinkedHashMap<>();
  private final Deque<Update> updates = new ArrayDeque<>();

  /**
   * Starts the list server on 127.0.0.1.
   *
   * @param port port; 0 chooses a free one
   * @param lagMillis delay after which a change becomes visible
   * @throws IOException when the port cannot be bound
   */
  public FakePlatformList(int port, long lagMillis) throws IOException {
    this.lagNanos = lagMillis * 1_000_000;
    this.server =
        new RawHttpServer(
            new InetSocketAddress("127.0.0.1", port),
            (request, response) ->
                response.send(
                    200,
                    Map.of("content-type", "application/json"),
                    JSON.writeValueAsBytes(list(System.nanoTime()))));
  }

  /** Returns the URL of the list. */
  public String url() {
    return "http://127.0.0.1:" + server.port() + "/instances";
  }

  /** Returns the listening port. */
  public int port() {
    return server.port();
  }

  /** Sets the state of an instance: live, leaving, or gone, which removes it. */
  public synchronized void set(String address, String state) {
    updates.addLast(new Update(System.nanoTime(), address, state));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private synchronized Map<String, Object> list(long nowNanos) {
    while (!updates.isEmpty() && nowNanos - updates.peekFirst().atNanos() >= lagNanos) {
      Update update = updates.pollFirst();
      if (update.state().equals("gone")) {
        served.remove(update.address());
      } else {
        served.put(update.address(), update.state());
      }
    }
    List<Map<String, String>> instances = new ArrayList<>();
    served.forEach((address, state) -> instances.add(Map.of("address", address, "state", state)));
    return Map.of("instances", instances);
  }

  private record Update(long atNanos, String address, String state) {}
}
