package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collections;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.comfreygap.relay.ScriptedEndpoint.Reply;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests requests that a gateway holds, or has just read, near the end of its planned stop.
 *
 * <p>Guards against connections that are closed without an answer.
 */
class PlannedStopTest {

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private ScriptedEndpoint endpoint;
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    endpoint = closer.register(new ScriptedEndpoint("endpoint"));
    fleet = closer.register(new GatewayFleet(folder, endpoint::listed));
    fleet.control().put("/routing/routes/slow", GatewayFleet.route("slow", "unsafe", 10_000));
    fleet.open(1);
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  @Test
  void answersRequestThatRunsWhenTheStopEnds() throws Exception {
    endpoint.setNext(Collections.nCopies(80, Reply.PAUSE));
    CompletableFuture<HttpResponse<String>> response = send("/slow/1");
    GatewayFleet.await(() -> !endpoint.requests().isEmpty());

    fleet.stopFirst(1);

    // It may have run, so that no status may promise that it has not.
    assertThat(response.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
  }

  /** The rest of the request arrives when its timeout would end after the stop. */
  @Test
  void refusesRequestThatMayOutliveTheStop() throws Exception {
    endpoint.setNext(Collections.nCopies(80, Reply.PAUSE));
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      write(caller, "POST /unsafe/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: late\r\n");
      write(caller, "Content-Length: 5\r\n\r\nor");
      Thread.sleep(100);
      CompletableFuture<Void> stop = CompletableFuture.runAsync(this::stopGateway);
      Thread.sleep(900);
      write(caller, "der");

      String status = new String(new BufferedInputStream(caller.getInputStream()).readNBytes(12));

      assertThat(status).isEqualTo("HTTP/1.1 503");
      assertThat(endpoint.requests()).isEmpty();
      stop.get(10, TimeUnit.SECONDS);
    }
  }

  /** Guards against a close without an answer while the rest of a request is due. */
  @Test
  void refusesRequestWhoseRestIsDueWhenTheStopEnds() throws Exception {
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      write(caller, "POST /unsafe/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: partial\r\n");
      write(caller, "Transfer-Encoding: chunked\r\n\r\n2\r\nor\r\n");
      Thread.sleep(100);

      fleet.stopFirst(1);
      String status = new String(new BufferedInputStream(caller.getInputStream()).readNBytes(12));

      assertThat(status).isEqualTo("HTTP/1.1 503");
      assertThat(endpoint.requests()).isEmpty();
    }
  }

  private void stopGateway() {
    try {
      fleet.stopFirst(1);
    } catch (Exception e) {
      throw new IllegalStateException("the gateway could not be stopped", e);
    }
  }

  private CompletableFuture<HttpResponse<String>> send(String path) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return fleet.send(0, "POST", path, "order");
          } catch (IOException | InterruptedException e) {
            throw new IllegalStateException("the request got no answer", e);
          }
        });
  }

  private static void write(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    caller.getOutputStream().flush();
  }
}
