package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests a stream whose origin control records late.
 *
 * <p>Guards against a stream that is not read on after it was held back, or loses a part of it.
 */
class HeldBackStreamTest {

  /** More than is held back, in each event. */
  private static final int PADDING_BYTES = 100_000;

  private static final long RECORD_MILLIS = 300;

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    StreamingEndpoint endpoint =
        closer.register(
            new StreamingEndpoint("endpoint", "v1").eventMillis(5).paddingBytes(PADDING_BYTES));
    fleet = closer.register(new GatewayFleet(folder, endpoint::listed));
    fleet.open(1);
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  @Test
  void forwardsWholeStreamThatWasHeldBack() throws Exception {
    CompletableFuture<HttpResponse<String>> response;
    // Control takes no record meanwhile.
    synchronized (fleet.control()) {
      response = CompletableFuture.supplyAsync(this::send);
      Thread.sleep(RECORD_MILLIS);
      assertThat(response).isNotDone();
    }

    String body = response.get(10, TimeUnit.SECONDS).body();
    assertThat(body.lines().filter(line -> line.startsWith("id: ")))
        .hasSize(StreamingEndpoint.EVENTS);
    assertThat(body).hasSizeGreaterThan(StreamingEndpoint.EVENTS * PADDING_BYTES);
  }

  private HttpResponse<String> send() {
    try {
      return fleet.send(0, "POST", "/resumable/1", "prompt");
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
