package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.comfreygap.relay.EndlessEndpoint.Flood;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
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
  @EnumSource(mode = EnumSource.Mode.MATCH_NONE, names = "(INTERIM|OTHER_RESPONSES?|REFUSAL)")
  void endsEndlessResponse(Flood flood) throws Exception {
    EndlessEndpoint endpoint = add(flood);
    fleet.open(1);
    start.countDown();

    HttpResponse<String> response = fleet.send(0, "POST", "/endless/1", "prompt");

    assertThat(response.statusCode()).isEqualTo(BAD_GATEWAY);
    GatewayFleet.await(() -> endpoint.closed() == 1);
    assertThat(endpoint.requests()).isEqualTo(1);
    assertThat(endpoint.written()).isLessThan(MAX_WRITTEN_BYTES);
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
