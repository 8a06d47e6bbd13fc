package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests a request that follows a stream which began before its gateway's planned stop.
 *
 * <p>Guards against a close that was not announced and meets the next request.
 */
class FollowingRequestStopTest {

  private static final int EVENT_MILLIS = 85;

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    StreamingEndpoint endpoint =
        closer.register(new StreamingEndpoint("endpoint", "v1").eventMillis(EVENT_MILLIS));
    fleet = closer.register(new GatewayFleet(folder, endpoint::listed));
    fleet.open(1, "stopLagMillis: 2000", "graceMillis: 4000");
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  @Test
  void answersRequestThatIsWrittenAfterTheStreamEnds() throws Exception {
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      InputStream in = new BufferedInputStream(caller.getInputStream());
      write(caller, request("first"));
      String head = readThrough(in, "\r\n\r\n");
      CompletableFuture<Void> stop = CompletableFuture.runAsync(this::stopGateway);
      readThrough(in, "\r\n0\r\n\r\n");

      write(caller, request("second"));
      String next = readThrough(in, "\r\n\r\n").toLowerCase(Locale.ROOT);

      assertThat(head).startsWith("HTTP/1.1 200").doesNotContain("close");
      assertThat(next).startsWith("http/1.1 ").contains("connection: close");
      stop.get(10, TimeUnit.SECONDS);
    }
  }

  /** Load pattern: a planned stop during a long stream over a kept-alive connection. */
  @Test
  void closesConnectionAfterStreamThatStartedBeforeTheStop() throws Exception {
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      InputStream in = new BufferedInputStream(caller.getInputStream());
      write(caller, request("first"));
      readThrough(in, "\r\n\r\n");
      CompletableFuture<Void> stop = CompletableFuture.runAsync(this::stopGateway);
      readThrough(in, "\r\n0\r\n\r\n");

      assertThat(in.read()).isEqualTo(-1);
      assertThat(stop).as("closed before the stop is over").isNotDone();
      stop.get(10, TimeUnit.SECONDS);
    }
  }

  private void stopGateway() {
    try {
      fleet.stopFirst(1);
    } catch (Exception e) {
      throw new IllegalStateException("the gateway could not be stopped", e);
    }
  }

  private static String readThrough(InputStream in, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf(end) < 0) {
      int next = in.read();
      assertThat(next).as("the connection ended after: " + text).isNotNegative();
      text.append((char) next);
    }
    return text.toString();
  }

  private static String request(String id) {
    return "POST /stream/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: "
        + id
        + "\r\nContent-Length: 6\r\n\r\nprompt";
  }

  private static void write(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    caller.getOutputStream().flush();
  }
}
