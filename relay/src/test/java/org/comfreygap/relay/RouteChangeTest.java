package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests requests whose route changes between their arrival and an attempt.
 *
 * <p>Guards against attempts that follow what the route said before.
 */
class RouteChangeTest {

  private static final long WORK_MILLIS = 500;
  private static final int REQUESTS = 12;

  /** More than a change takes to reach the gateway. */
  private static final Duration CHANGE_TIME = Duration.ofMillis(150);

  private static final Duration GRANTS_BEGIN = Duration.ofSeconds(3);

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private GatewayFleet fleet;

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against a second run of a request that must not be repeated by the newest settings. */
  @Test
  void doesNotRepeatRequestWhoseRouteHasBecomeUnsafe() throws Exception {
    List<SlowEndpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      endpoints.add(closer.register(new SlowEndpoint("endpoint-" + i, WORK_MILLIS)));
      endpoints.get(i).breakOff();
    }
    open(endpoints.get(0).listed() + endpoints.get(1).listed() + endpoints.get(2).listed());
    putRoute("safe", GatewayFleet.POOL);

    ParallelCallers callers = sendAll();
    Thread.sleep(WORK_MILLIS / 2);
    putRoute("unsafe", GatewayFleet.POOL);

    assertThat(callers.await()).hasSize(REQUESTS).containsValue(502);
    assertThat(endpoints.stream().flatMap(one -> one.requests().stream()).map(RawRequest::id))
        .hasSize(REQUESTS)
        .doesNotHaveDuplicates();
  }

  /** Guards against requests to a pool that the route has left while they waited to be sent. */
  @Test
  void sendsNothingToAPoolThatTheRouteHasLeft() throws Exception {
    LimitingEndpoint endpoint = closer.register(new LimitingEndpoint("endpoint", Duration.ZERO));
    endpoint.limit(Optional.of("5"));
    open(endpoint.listed());
    fleet.control().put("/routing/pools/other", "{\"healthPath\":\"/\",\"maxConnections\":50}");
    putRoute("unsafe", GatewayFleet.POOL);
    fleet.send(0, "POST", "/changing/1", "names the limit");
    // The limiter grants nothing until a gateway that granted before it can do so no longer.
    Thread.sleep(GRANTS_BEGIN.toMillis());

    ParallelCallers callers = sendAll();
    Thread.sleep(100);
    putRoute("unsafe", "other");
    Thread.sleep(CHANGE_TIME.toMillis());
    long since = System.nanoTime();

    assertThat(callers.await()).hasSize(REQUESTS).containsValue(503);
    assertThat(endpoint.arrivedSince(since)).isZero();
  }

  /** Guards against a stream that its caller gets only when it has ended. */
  @Test
  void passesEventsOnAsTheyComeWhereTheRouteHasBecomeAStream() throws Exception {
    StreamingEndpoint endpoint =
        closer.register(new StreamingEndpoint("endpoint", "v1").eventMillis(100));
    List<String> listed = new ArrayList<>();
    fleet = closer.register(new GatewayFleet(folder, () -> String.join("", listed)));
    putRoute("unsafe", GatewayFleet.POOL);
    fleet.open(1);

    try (RawCaller caller = RawCaller.post(fleet.address(0), "/changing/1", "stream-1")) {
      Thread.sleep(100);
      putRoute("stream", GatewayFleet.POOL);
      Thread.sleep(CHANGE_TIME.toMillis());
      assertThat(endpoint.requests()).isEmpty();
      listed.add(endpoint.listed());
      GatewayFleet.await(() -> caller.received() > 0);
      long first = System.nanoTime();
      GatewayFleet.await(() -> caller.chunkLines() >= StreamingEndpoint.EVENTS);

      assertThat(Duration.ofNanos(System.nanoTime() - first)).isGreaterThan(Duration.ofMillis(500));
    }
  }

  private void open(String listed) throws Exception {
    fleet = closer.register(new GatewayFleet(folder, () -> listed));
    fleet.open(1);
  }

  private void putRoute(String kind, String pool) {
    String route =
        GatewayFleet.route("changing", kind, 5_000)
            .replace("\"targetLatencyMillis\":300", "\"targetLatencyMillis\":2000")
            .replace("\"maxAttempts\":1", "\"maxAttempts\":2,\"rank\":0")
            .replace("\"pool\":\"" + GatewayFleet.POOL, "\"pool\":\"" + pool);
    fleet.control().put("/routing/routes/changing", route);
  }

  private ParallelCallers sendAll() {
    return ParallelCallers.send(fleet, "/changing/1", REQUESTS, Map.of());
  }
}
