package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Requests that arrive, with the end of their callers, while the gateway's event loop is stalled.
 */
class LoopPauseTest {

  private static final int CALLERS = 40;
  private static final int PAUSE_MILLIS = 1_500;
  private static final int SHORT_PAUSES = 10;
  private static final int SHORT_PAUSE_MILLIS = 300;

  /** The platform's bound on the arrival of a request after its caller left. */
  private static final Duration MAX_LATENESS = Duration.ofMillis(500);

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private ScriptedEndpoint endpoint;
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    endpoint = closer.register(new ScriptedEndpoint("endpoint-1"));
    fleet = closer.register(new GatewayFleet(folder, endpoint::listed));
    fleet.open(1);
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against requests that are sent although their callers' end has arrived with them. */
  @Test
  void sendsNoRequestWhoseCallerLeftOnAnOpenConnection() throws Exception {
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(connect());
      write(callers.get(i), "before-" + i, 0);
      callers.get(i).getInputStream().read(new byte[4_096]);
    }
    pauseLoop();
    for (int i = 0; i < CALLERS; i++) {
      write(callers.get(i), "left-" + i, 0);
      callers.get(i).close();
    }
    awaitLater();

    assertThat(ids()).filteredOn(id -> id.startsWith("left-")).isEmpty();
  }

  /** Guards against the same on connections that wait to be accepted. */
  @Test
  void sendsNoRequestWhoseCallerLeftOnANewConnection() throws Exception {
    pauseLoop();
    for (int i = 0; i < CALLERS; i++) {
      try (Socket caller = connect()) {
        write(caller, "left-" + i, 0);
      }
    }
    awaitLater();

    assertThat(ids()).filteredOn(id -> id.startsWith("left-")).isEmpty();
  }

  /** Guards against the same in a process that runs often, but briefly each time. */
  @Test
  void sendsNoRequestLateWhileTheLoopRunsBriefly() throws Exception {
    Map<String, Long> arrivals = new ConcurrentHashMap<>();
    Map<String, Long> leaves = new HashMap<>();
    Thread watch = new Thread(() -> watchArrivals(arrivals));
    watch.setDaemon(true);
    watch.start();
    Socket blocking = closer.register("blocking caller", connect());
    // Pipelined requests: each blocks one turn of the loop.
    for (int i = 0; i < SHORT_PAUSES; i++) {
      write(blocking, "blocking-" + i, SHORT_PAUSE_MILLIS);
    }
    for (int i = 0; i < CALLERS; i++) {
      try (Socket caller = connect()) {
        write(caller, "left-" + i, 0);
      }
      leaves.put("left-" + i, System.nanoTime());
      Thread.sleep(50);
    }
    Thread.sleep(SHORT_PAUSES * SHORT_PAUSE_MILLIS - CALLERS * 50 + 1_000);
    watch.interrupt();

    assertThat(leaves)
        .allSatisfy(
            (id, left) ->
                assertThat(arrivals.getOrDefault(id, left) - left)
                    .as(id)
                    .isLessThan(MAX_LATENESS.toNanos()));
  }

  /** Guards against requests that are lost because the event loop stalled. */
  @Test
  void servesEveryRequestWhoseCallerStays() throws Exception {
    pauseLoop();
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(connect());
      write(callers.get(i), "stays-" + i, 0);
    }
    for (Socket caller : callers) {
      byte[] answer = new byte[4_096];
      int length = caller.getInputStream().read(answer);
      assertThat(new String(answer, 0, length, StandardCharsets.US_ASCII)).contains("200 OK");
      caller.close();
    }
  }

  /** Blocks the event loop; requests that are written from here on are read after that. */
  private void pauseLoop() throws Exception {
    Socket blocking = connect();
    write(blocking, "blocking", PAUSE_MILLIS);
    closer.register("blocking caller", blocking);
    Thread.sleep(200);
  }

  /** Waits until a request that is sent after the pause has its answer. */
  private void awaitLater() throws Exception {
    for (int i = 0; i < 3; i++) {
      assertThat(fleet.send(0, "POST", "/unsafe/a", "").statusCode()).isEqualTo(200);
      Thread.sleep(200);
    }
  }

  /** Records when each request is first seen at the endpoint. */
  private void watchArrivals(Map<String, Long> arrivals) {
    while (!Thread.currentThread().isInterrupted()) {
      ids().forEach(id -> arrivals.putIfAbsent(id, System.nanoTime()));
      LockSupport.parkNanos(5_000_000);
    }
  }

  private List<String> ids() {
    return endpoint.requests().stream().map(RawRequest::id).toList();
  }

  private Socket connect() throws IOException {
    Socket caller = new Socket();
    caller.connect(fleet.address(0));
    caller.setSoTimeout(10_000);
    return caller;
  }

  private static void write(Socket caller, String id, int stuckMillis) throws IOException {
    String request =
        "POST /unsafe/a HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 0\r\n"
            + HeaderDialect.STUCK_MILLIS
            + ": "
            + stuckMillis
            + "\r\n"
            + HeaderDialect.REQUEST
            + ": "
            + id
            + "\r\n\r\n";
    caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }
}
