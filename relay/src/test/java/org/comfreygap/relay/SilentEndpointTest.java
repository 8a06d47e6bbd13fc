package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.comfreygap.decisions.EndpointSilence;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.testkit.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Engines of which nothing is heard although their sockets take what is sent. */
class SilentEndpointTest {

  private static final Duration REQUEST_PERIOD = Duration.ofMillis(25);

  /** Time for which a caller waits, well above the time of a sound engine. */
  private static final Duration PATIENCE = Duration.ofMillis(300);

  /** Time from the last sign of an engine until each gateway holds it for silent, at most. */
  private static final Duration DETECTION = Duration.ofMillis(1_200);

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private final List<PausableEngine> engines = new ArrayList<>();
  private int sidecarPort;
  private GatewayFleet fleet;
  private int sent;
  private volatile boolean firstOnly;

  @BeforeEach
  void start() throws Exception {
    sidecarPort = FreePorts.address().getPort();
    SharedKey key = SharedKey.of(GatewayFleet.SHARED_KEY.getBytes(StandardCharsets.UTF_8));
    for (int i = 0; i < 2; i++) {
      engines.add(
          closer.register(
              new PausableEngine("engine-" + i, "127.0.0." + (11 + i), sidecarPort, key)));
    }
    fleet = closer.register(new GatewayFleet(folder, this::listed));
    fleet
        .control()
        .put(
            "/routing/pools/" + GatewayFleet.POOL,
            "{\"healthPath\":\"/health\",\"maxConnections\":50,\"engine\":"
                + "{\"slots\":8,\"kvTokens\":100000,\"adapterSlots\":4,\"models\":[]}}");
    fleet.open(2, "sidecarPort: " + sidecarPort);
    GatewayFleet.await(
        () -> engines.stream().allMatch(one -> send(20) && !one.requests().isEmpty()));
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /**
   * Guards against requests that are sent to an engine whose machine is suspended, which reads them
   * when their callers have long left.
   */
  @Test
  void sendsNothingToAnEngineThatStandsStill() throws Exception {
    engines.get(0).pause();
    sendFor(DETECTION);
    int first = sent;
    sendFor(Duration.ofSeconds(4));
    int last = sent;
    engines.get(0).resume();
    // What the engine took while it was suspended is read before what is sent now.
    GatewayFleet.await(
        () -> send(1) && numbers(engines.get(0)).stream().anyMatch(number -> number >= last));

    assertThat(numbers(engines.get(0))).noneMatch(number -> number >= first && number < last);
  }

  /** Guards against an engine out of use because only its sidecar has ended. */
  @Test
  void usesAnEngineWhoseSidecarEnded() throws Exception {
    engines.get(0).stopSidecar();
    sendFor(DETECTION);
    int first = sent;
    sendFor(Duration.ofSeconds(2));

    assertThat(numbers(engines.get(0))).anyMatch(number -> number >= first);
  }

  /** Guards against an engine out of use although it answers, because its sidecar hangs. */
  @Test
  @Tag("known-red")
  void usesAnEngineThatAnswersWhileItsSidecarIsSilent() throws Exception {
    engines.get(0).silenceSidecar();
    sendFor(DETECTION);
    int first = sent;
    sendFor(Duration.ofSeconds(3));

    assertThat(numbers(engines.get(0))).anyMatch(number -> number >= first);
  }

  /** Guards against an engine that never comes back into use while its sidecar hangs. */
  @Test
  void triesAnUnusedEngineAgainWhileItsSidecarIsSilent() throws Exception {
    firstOnly = true;
    engines.get(0).silenceSidecar();
    Thread.sleep(DETECTION.toMillis());
    int first = sent;
    sendFor(EndpointSilence.TRIAL_PERIOD.plus(DETECTION));

    assertThat(numbers(engines.get(0))).anyMatch(number -> number >= first);
  }

  private String listed() {
    return engines.get(0).listed() + (firstOnly ? "" : engines.get(1).listed());
  }

  private void sendFor(Duration span) throws InterruptedException {
    long end = System.nanoTime() + span.toNanos();
    while (System.nanoTime() - end < 0) {
      send(1);
      Thread.sleep(REQUEST_PERIOD.toMillis());
    }
  }

  /** Sends requests to both gateways in turn, whose callers leave after their patience. */
  private boolean send(int count) {
    for (int i = 0; i < count; i++) {
      String id = "request-" + sent;
      int gateway = sent++;
      Thread caller = new Thread(() -> call(gateway, id));
      caller.setDaemon(true);
      caller.start();
    }
    return true;
  }

  private void call(int gateway, String id) {
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(gateway % fleet.size()));
      caller.setSoTimeout((int) PATIENCE.toMillis());
      String request =
          "POST /unsafe/a HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 0\r\n"
              + HeaderDialect.REQUEST
              + ": "
              + id
              + "\r\n\r\n";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      caller.getInputStream().read();
    } catch (IOException e) {
      // The caller leaves.
      return;
    }
  }

  private static Set<Integer> numbers(PausableEngine engine) {
    Set<Integer> numbers = new TreeSet<>();
    engine.requests().forEach(id -> numbers.add(Integer.parseInt(id.substring(8))));
    return numbers;
  }
}
