package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.comfreygap.relay.EndlessEndpoint.Flood;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests endpoints that send bytes that are no response, or no end of one, until they are closed.
 *
 * <p>Guards against a gateway that keeps them and runs out of memory.
 */
class EndlessResponseTest {

  /** Limits of what is read, and what the buffers of both sockets take. */
  private static final long MAX_WRITTEN_BYTES = 24L << 20;

  private static final int BAD_GATEWAY = 502;
  private static final int ENDLESS = 200;
  private static final int SOUND = 200;
  private static final double SERVED = 0.95;
  private static final int OK = 200;
  private static final int REQUESTS_AT_ONE = 10;

  /** As much as the endless responses may hold, each within its limit. */
  private static final long MAX_GROWTH_BYTES = 200L << 20;

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private final CountDownLatch start = new CountDownLatch(1);
  private final List<EndlessEndpoint> endpoints = new CopyOnWriteArrayList<>();
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = closer.register(new GatewayFleet(folder, this::listed));
    // The time of a request must not be what ends its endless response.
    fleet.control().put("/routing/routes/endless", GatewayFleet.route("endless", "stream", 60_000));
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against what is read without a limit, whichever part of a response it is in. */
  @ParameterizedTest
  @EnumSource
  void endsEndlessResponse(Flood flood) throws Exception {
    EndlessEndpoint endpoint = add(flood);
    fleet.open(1);
    start.countDown();

    HttpResponse<String> response = fleet.send(0, "POST", "/endless/1", "prompt");

    assertThat(response.statusCode()).isEqualTo(flood == Flood.REFUSAL ? 503 : BAD_GATEWAY);
    GatewayFleet.await(() -> endpoint.closed() == 1);
    assertThat(endpoint.requests()).isEqualTo(1);
    assertThat(endpoint.written()).isLessThan(MAX_WRITTEN_BYTES);
  }

  /** Guards against endless responses that are each within a limit and together use up memory. */
  @Test
  void servesOthersDuringEndlessResponses() throws Exception {
    for (int i = 0; i < ENDLESS / REQUESTS_AT_ONE; i++) {
      add(Flood.values());
    }
    fleet.open(1);
    ExecutorService callers = Executors.newCachedThreadPool();
    closer.register(callers::shutdownNow);
    List<CompletableFuture<Integer>> endless = new ArrayList<>();
    for (int i = 0; i < ENDLESS; i++) {
      endless.add(CompletableFuture.supplyAsync(() -> status("/endless/1"), callers));
    }
    GatewayFleet.await(
        () -> endpoints.stream().mapToInt(EndlessEndpoint::requests).sum() == ENDLESS);
    add();
    GatewayFleet.await(() -> status("/endless/sound") == OK);
    long heap = usedHeap();
    long direct = usedDirect();

    start.countDown();
    int served = 0;
    long largestHeap = heap;
    long largestDirect = direct;
    for (int i = 0; i < SOUND; i++) {
      served += status("/endless/sound") == OK ? 1 : 0;
      largestHeap = i % 20 == 0 ? Math.max(largestHeap, usedHeap()) : largestHeap;
      largestDirect = Math.max(largestDirect, usedDirect());
    }
    for (CompletableFuture<Integer> status : endless) {
      assertThat(status.get(10, TimeUnit.SECONDS)).isNotEqualTo(OK);
    }

    assertThat(served).isGreaterThanOrEqualTo((int) (SERVED * SOUND));
    assertThat(largestHeap - heap).isLessThan(MAX_GROWTH_BYTES);
    assertThat(largestDirect - direct).isLessThan(MAX_GROWTH_BYTES);
  }

  /** Returns the status of a response, or 0 when there is none. */
  private int status(String path) {
    try {
      return fleet.send(0, "POST", path, "prompt").statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private static long usedHeap() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static long usedDirect() {
    return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
        .filter(pool -> pool.getName().equals("direct"))
        .mapToLong(BufferPoolMXBean::getMemoryUsed)
        .sum();
  }

  private EndlessEndpoint add(Flood... floods) throws IOException {
    endpoints.add(
        closer.register(new EndlessEndpoint("endpoint-" + endpoints.size(), start, floods)));
    return endpoints.get(endpoints.size() - 1);
  }

  private String listed() {
    StringBuilder page = new StringBuilder();
    endpoints.forEach(endpoint -> page.append(endpoint.listed()));
    return page.toString();
  }
}
