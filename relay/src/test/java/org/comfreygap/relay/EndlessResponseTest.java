package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
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
import org.junit.jupiter.params.provider.EnumSource.Mode;

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
  private static final int OBSERVED = 20;
  private static final int ENDLESS_STREAMS = 8;
  private static final int SMALL_EVENT_BYTES = 8;
  private static final int EVENTS_BYTES = 2 * 1024 * 1024;

  /** What the users' platform allows beyond a request's timeout. */
  private static final Duration MAX_ANSWER_TIME = Duration.ofMillis(500);

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
  @EnumSource(mode = Mode.EXCLUDE, names = "SMALL_EVENTS")
  void endsEndlessResponse(Flood flood) throws Exception {
    EndlessEndpoint endpoint = add(flood);
    fleet.open(1);
    start.countDown();

    if (flood.beginsStream()) {
      assertThatThrownBy(() -> fleet.send(0, "POST", "/endless/1", "prompt"))
          .isInstanceOf(IOException.class);
    } else {
      HttpResponse<String> response = fleet.send(0, "POST", "/endless/1", "prompt");
      assertThat(response.statusCode()).isEqualTo(flood == Flood.REFUSAL ? 503 : BAD_GATEWAY);
    }
    GatewayFleet.await(() -> endpoint.closed() == 1);
    assertThat(endpoint.requests()).isEqualTo(1);
    assertThat(endpoint.written()).isLessThan(MAX_WRITTEN_BYTES);
  }

  /** Guards against endless responses that are each within a limit and together use up memory. */
  @Test
  void servesOthersDuringEndlessResponses() throws Exception {
    for (int i = 0; i < ENDLESS / REQUESTS_AT_ONE; i++) {
      add(Arrays.stream(Flood.values()).filter(flood -> !flood.hasEvents()).toArray(Flood[]::new));
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

  /**
   * Guards against a gateway that does not answer while responses come in small chunks: the work
   * for each chunk kept its event loop from other connections.
   */
  @Test
  void answersOthersInTimeWhileResponsesComeInSmallChunks() throws Exception {
    EndlessEndpoint endpoint = add(Flood.SMALL_EVENTS);
    fleet.open(1);
    List<RawCaller> reading = new ArrayList<>();
    for (int i = 0; i < ENDLESS_STREAMS; i++) {
      reading.add(closer.register(RawCaller.post(fleet.address(0), "/endless/" + i, "raw-" + i)));
    }
    GatewayFleet.await(() -> endpoint.requests() == ENDLESS_STREAMS);
    add();
    GatewayFleet.await(() -> status("/endless/sound") == OK);
    start.countDown();
    GatewayFleet.await(() -> reading.stream().allMatch(caller -> caller.received() > 0));
    int late = 0;
    for (int i = 0; i < OBSERVED; i++) {
      long sent = System.nanoTime();
      int status = status("/endless/sound");
      boolean inTime = System.nanoTime() - sent < MAX_ANSWER_TIME.toNanos();
      late += status == OK && inTime ? 0 : 1;
    }
    assertThat(late).as("late answers of " + OBSERVED).isZero();
  }

  /** Guards against a write to the caller for each small chunk of a response. */
  @Test
  void sendsChunksThatArriveTogetherOnTogether() throws Exception {
    EndlessEndpoint endpoint = add(Flood.SMALL_EVENTS);
    fleet.open(1);
    start.countDown();
    try (RawCaller caller = RawCaller.post(fleet.address(0), "/endless/1", "raw")) {
      GatewayFleet.await(() -> caller.received() > EVENTS_BYTES);
      assertThat(endpoint.requests()).isEqualTo(1);
      // An event in a chunk of its own takes up to 5 bytes more than the 8 of the event.
      assertThat(caller.chunkLines() * SMALL_EVENT_BYTES).isLessThan(caller.received() / 4);
    }
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
