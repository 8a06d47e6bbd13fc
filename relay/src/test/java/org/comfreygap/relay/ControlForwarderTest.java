package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.testkit.FakeControl;
import org.comfreygap.testkit.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the control process of an instance without a disk.
 *
 * <p>Guards against: a control process that exits because it has no data folder, an operator's call
 * that it refuses or acknowledges itself, and a connection that is closed before the caller has
 * sent a large configuration.
 */
class ControlForwarderTest {

  private static final String SHARED_KEY = "a shared key for tests only";
  private static final Duration WAIT = Duration.ofSeconds(10);
  private static final int LARGE_BODY_BYTES = 1_000_000;

  @TempDir private Path folder;
  private final HttpClient http = HttpClient.newHttpClient();
  private FakeControl control;
  private int port;
  private AutoCloseable forwarder;

  @BeforeEach
  void start() throws Exception {
    control =
        FakeControl.start(
            PeerSecurity.of(SharedKey.of(SHARED_KEY.getBytes(StandardCharsets.UTF_8))));
    port = FreePorts.address().getPort();
    Path key = Files.writeString(folder.resolve("key"), SHARED_KEY);
    String settings =
        String.join(
            "\n",
            "processId: control-2",
            "zone: a",
            "control: [\"127.0.0.1:" + control.address().getPort() + "\"]",
            "security: {sharedKeyFile: \"" + key + "\"}",
            "httpAddress: \"127.0.0.1:" + port + "\"",
            "adminAddress: \"127.0.0.1:" + FreePorts.address().getPort() + "\"",
            "dataFolder: \"\"",
            "createLog: true",
            "operators: []",
            "duties: {address: \"127.0.0.1:1\", asked: [usage]}",
            "");
    forwarder = ControlForwarder.start(Files.writeString(folder.resolve("control.yaml"), settings));
  }

  @AfterEach
  void stop() throws Exception {
    forwarder.close();
    control.close();
  }

  @Test
  void redirectsLargeConfigurationToTheLeader() throws Exception {
    HttpResponse<String> response = awaitStatus(307, "c".repeat(LARGE_BODY_BYTES));

    assertThat(response.headers().firstValue("Location"))
        .hasValue("http://127.0.0.1:" + port + "/config?x=1");
  }

  @Test
  void asksCallersToRetryWhileNoLeaderResponds() throws Exception {
    awaitStatus(307, "");
    control.fault(FakeControl.Fault.NOT_LEADER);

    HttpResponse<String> response = awaitStatus(503, "");

    assertThat(response.headers().firstValue("Retry-After")).isPresent();
  }

  private HttpResponse<String> awaitStatus(int status, String body) throws Exception {
    long end = System.nanoTime() + WAIT.toNanos();
    HttpResponse<String> response = put(body);
    while (response.statusCode() != status && System.nanoTime() < end) {
      Thread.sleep(20);
      response = put(body);
    }
    assertThat(response.statusCode()).isEqualTo(status);
    return response;
  }

  private HttpResponse<String> put(String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/config?x=1"))
            .PUT(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }
}
