package org.comfreygap.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.ConnectException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.testkit.FakeEngine;
import org.junit.jupiter.api.Test;

/** Tests what a gateway receives over a kept connection while the sidecar's server stops. */
class PlannedStopTest {

  private static final int OK = 200;
  private static final int WARM_CALLS = 10;

  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(10)).build();

  /**
   * Guards against a server that passes an attempt on after it has said 503, on which gateways rely
   * when they send the attempt to another endpoint.
   */
  @Test
  void attemptsAreRefusedWith503WhileTheServerStops() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("engine-1").loadMillis(20).start();
        SidecarFixture fixture = SidecarFixture.engine(engine, 2, 2)) {
      for (int i = 0; i < WARM_CALLS; i++) {
        assertThat(post(fixture, TestGateway.attempt("a", 1)).statusCode()).isEqualTo(OK);
      }
      CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture.sidecar::close);
      awaitNoListener(fixture.attemptPort());
      int runs = engine.record().runs().size();
      int status = post(fixture, TestGateway.attempt("a", 1)).statusCode();
      stop.get(30, TimeUnit.SECONDS);

      assertThat(status).isEqualTo(503);
      assertThat(engine.record().runs()).hasSize(runs);
    }
  }

  private static void awaitNoListener(int port) throws Exception {
    while (true) {
      try (Socket probe = new Socket("127.0.0.1", port)) {
        TimeUnit.MILLISECONDS.sleep(1);
      } catch (ConnectException e) {
        return;
      }
    }
  }

  private HttpResponse<byte[]> post(SidecarFixture fixture, AttemptRequest attempt)
      throws Exception {
    byte[] body = new TSerializer(new TCompactProtocol.Factory()).serialize(attempt);
    URI uri = URI.create("http://127.0.0.1:" + fixture.attemptPort() + AttemptServlet.PATH);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header(
                SharedKey.SIGNATURE_HEADER, SidecarFixture.KEY.signHttp(AttemptServlet.PATH, body))
            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
  }
}
