package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.relay.ScriptedEndpoint.Reply;
import org.comfreygap.runtime.Closer;
import org.comfreygap.testkit.FakeControl.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.slf4j.LoggerFactory;

/**
 * Tests how long the planned stop of a gateway takes whose caller stays until the end.
 *
 * <p>Guards against a process that is killed at the end of its grace time, with lines unwritten.
 */
class StopTimeTest {

  private static final Duration GRACE = Duration.ofMillis(2_000);

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private ScriptedEndpoint endpoint;
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    endpoint = closer.register(new ScriptedEndpoint("endpoint"));
    fleet = closer.register(new GatewayFleet(folder, endpoint::listed));
    fleet.control().put("/routing/routes/slow", GatewayFleet.route("slow", "unsafe", 10_000));
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against a stop that waits for calls to a control that hangs or has no leader. */
  @ParameterizedTest
  @EnumSource(Fault.class)
  void endsWithinItsGraceTimeWhateverControlDoes(Fault fault) throws Exception {
    fleet.open(1);
    CompletableFuture<HttpResponse<String>> response = sendSlow();
    setFault(fault);

    assertThat(stopTime()).isLessThan(GRACE);
    assertThat(response.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
  }

  /** The watch call and the heartbeat of each run are at another point when the stop begins. */
  @RepeatedTest(3)
  void endsWithinItsGraceTimeWhenControlHangsAndUsageIsCounted() throws Exception {
    fleet.open(1, "usageWindowMillis: 1000");
    setFault(Fault.SILENT);

    assertThat(stopTime()).isLessThan(GRACE);
  }

  /** Guards against a stop that gives up half way, with its tasks still calling control. */
  @Test
  void closesItsResourcesWhenTheEventLoopIsStuck() throws Exception {
    fleet.open(1);
    CompletableFuture.runAsync(() -> sendStuck(Duration.ofSeconds(4)));
    Thread.sleep(300);

    assertThat(stopTime()).isLessThan(GRACE);

    assertHeartbeatsHaveEnded();
  }

  /** Guards against a stop that ends with an exception and closes nothing. */
  @Test
  void closesItsResourcesWhenTheEventLoopGetsStuckWhileItDrains() throws Exception {
    fleet.open(1);
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      String request = post("/unsafe/1", 4_000);
      write(caller, request.substring(0, request.length() - 1));
      Thread.sleep(100);
      CompletableFuture<Void> stuck =
          CompletableFuture.runAsync(
              () -> write(caller, "r"),
              CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS));

      assertThat(stopTime()).isLessThan(GRACE);

      stuck.get(10, TimeUnit.SECONDS);
      assertHeartbeatsHaveEnded();
    }
  }

  private void assertHeartbeatsHaveEnded() throws InterruptedException {
    Optional<HeartbeatRequest> last = fleet.control().lastHeartbeat("gateway-0");
    Thread.sleep(1_200);
    assertThat(fleet.control().lastHeartbeat("gateway-0").orElseThrow())
        .isSameAs(last.orElseThrow());
  }

  /** Guards against an end of the event loop before requests behind the ended one are refused. */
  @Test
  void waitsForRefusalsOfRequestsBehindTheOneThatItEnds() throws Exception {
    fleet.open(1);
    endpoint.setNext(Collections.nCopies(80, Reply.PAUSE));
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      StringBuilder requests = new StringBuilder(post("/slow/1", 0));
      for (int i = 0; i < 8; i++) {
        requests.append(post("/unsafe/" + i, 15));
      }
      write(caller, requests.toString());
      GatewayFleet.await(() -> !endpoint.requests().isEmpty());

      assertThat(stopTime()).isLessThan(GRACE);

      String answers =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertThat(answers.split("HTTP/1.1 502", -1)).hasSize(1 + 1);
      assertThat(answers.split("HTTP/1.1 503", -1)).hasSize(1 + 8);
    }
  }

  private static void write(Socket caller, String text) {
    try {
      caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String post(String path, int stuckMillis) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: "
        + path
        + "\r\nStuck-Millis: "
        + stuckMillis
        + "\r\nContent-Length: 5\r\n\r\norder";
  }

  /** Guards against a stop of which no line tells whether the process ended itself. */
  @Test
  void logsHowLongTheCloseOfItsResourcesTook() throws Exception {
    fleet.open(1);
    // The caller stays until the end.
    sendSlow();
    Logger log = (Logger) LoggerFactory.getLogger("comfreygap.events");
    ListAppender<ILoggingEvent> lines = new ListAppender<>();
    lines.start();
    log.addAppender(lines);
    try {
      fleet.stopFirst(1);
    } finally {
      log.detachAppender(lines);
    }

    ILoggingEvent last = lines.list.get(lines.list.size() - 1);
    assertThat(last.getMessage()).isEqualTo("RESOURCES_CLOSED");
    assertThat(last.getKeyValuePairs())
        .extracting(pair -> pair.key)
        .contains("millis", "longest", "longestMillis", "stopMillis", "graceMillis")
        .doesNotContain("unfinished", "cause");
    ILoggingEvent stopped = lines.list.get(lines.list.size() - 2);
    assertThat(stopped.getMessage()).isEqualTo("PROCESS_STOPPED");
    assertThat(stopped.getKeyValuePairs()).extracting(pair -> pair.key).doesNotContain("failed");
  }

  private Duration stopTime() throws Exception {
    long begin = System.nanoTime();
    fleet.stopFirst(1);
    return Duration.ofNanos(System.nanoTime() - begin);
  }

  /** Sets the fault and waits until calls to control are in progress. */
  private void setFault(Fault fault) throws InterruptedException {
    fleet.control().fault(fault);
    Thread.sleep(600);
  }

  private CompletableFuture<HttpResponse<String>> sendSlow() throws Exception {
    endpoint.setNext(Collections.nCopies(80, Reply.PAUSE));
    CompletableFuture<HttpResponse<String>> response =
        CompletableFuture.supplyAsync(() -> send("/slow/1", Map.of()));
    GatewayFleet.await(() -> !endpoint.requests().isEmpty());
    return response;
  }

  private void sendStuck(Duration time) {
    send("/unsafe/1", Map.of(HeaderDialect.STUCK_MILLIS, String.valueOf(time.toMillis())));
  }

  private HttpResponse<String> send(String path, Map<String, String> headers) {
    try {
      return fleet.send(0, "POST", path, "order", headers);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException("the request got no answer", e);
    }
  }
}
