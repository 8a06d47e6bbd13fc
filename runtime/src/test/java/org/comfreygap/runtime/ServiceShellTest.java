package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Checks the administration endpoints on which operators and the load balancer depend. */
class ServiceShellTest {

  private final HttpClient client = HttpClient.newHttpClient();

  @Test
  void servesMetricsReadinessHealthAndTimeline() throws Exception {
    InetSocketAddress admin = freeAddress();
    AtomicBoolean ready = new AtomicBoolean(true);
    try (Closer closer = new Closer()) {
      EventLog events =
          closer.register(
              new EventLog("p", new HybridClock(System::currentTimeMillis), new Timeline(10)));
      ServiceShell shell =
          closer.register(
              ServiceShell.builder("test")
                  .http(freeAddress())
                  .admin(admin)
                  .events(events)
                  .ready(ready::get)
                  .start());
      shell.metrics().counter("comfreygap.test").increment();
      events.record(RuntimeEvent.PROCESS_STARTED, Field.of("request", "r1"));

      assertThat(get(admin, "/metrics").body()).contains("comfreygap_test_total 1.0");
      assertThat(get(admin, "/healthcheck").statusCode()).isEqualTo(200);
      assertThat(get(admin, "/ready").statusCode()).isEqualTo(200);
      ready.set(false);
      assertThat(get(admin, "/ready").statusCode()).isEqualTo(503);
      assertThat(get(admin, "/healthcheck").statusCode()).isEqualTo(500);
      assertThat(get(admin, "/timeline?since=x").statusCode()).isEqualTo(400);
      assertThat(timeline(admin, "r1")).contains("PROCESS_STARTED");
      assertThat(get(admin, "/timeline?request=r2").body()).isEqualTo("[]");
    }
  }

  /** Guards against a planned stop that cuts the response to a request in progress. */
  @Test
  void answersRequestThatRunsWhenTheServerStops() throws Exception {
    Pages pages = new Pages();
    InetSocketAddress http = freeAddress();
    try (Closer closer = new Closer()) {
      ServiceShell shell = start(closer, http, pages);
      CompletableFuture<HttpResponse<String>> call =
          CompletableFuture.supplyAsync(() -> getUnchecked(http, "/slow"));
      pages.begun.await();
      shell.close();

      assertThat(call.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
    }
  }

  /**
   * Guards against a planned stop that drops the rest of a response whose caller pauses for longer
   * than the idle timeout of 1 s that the server sets when it stops.
   */
  @Test
  void deliversWholeResponseToCallerThatPausesDuringTheStop() throws Exception {
    InetSocketAddress http = freeAddress();
    try (Closer closer = new Closer();
        Socket socket = new Socket()) {
      ServiceShell shell = start(closer, http, new Pages());
      socket.setReceiveBufferSize(16 * 1024);
      socket.connect(http);
      socket.setSoTimeout(10_000);
      socket
          .getOutputStream()
          .write("GET /big HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      int head = socket.getInputStream().readNBytes(1_000).length;
      CompletableFuture<Void> stop = CompletableFuture.runAsync(shell::close);
      TimeUnit.MILLISECONDS.sleep(2_500);
      int rest = socket.getInputStream().readNBytes(Pages.BIG_BYTES).length;

      assertThat(head + rest).isGreaterThan(Pages.BIG_BYTES);
      stop.get(40, TimeUnit.SECONDS);
    }
  }

  private static ServiceShell start(Closer closer, InetSocketAddress http, Pages pages)
      throws Exception {
    EventLog events =
        closer.register(
            new EventLog("p", new HybridClock(System::currentTimeMillis), new Timeline(10)));
    return closer.register(
        ServiceShell.builder("test")
            .http(http)
            .admin(freeAddress())
            .events(events)
            .resources(environment -> environment.jersey().register(pages))
            .start());
  }

  private HttpResponse<String> getUnchecked(InetSocketAddress address, String path) {
    try {
      return get(address, path);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** A resource that responds late, and one with a large response. */
  @Path("/")
  public static final class Pages {

    static final int BIG_BYTES = 16 * 1024 * 1024;

    private final CountDownLatch begun = new CountDownLatch(1);

    /** Responds after a while. */
    @GET
    @Path("slow")
    public String slow() throws InterruptedException {
      begun.countDown();
      TimeUnit.MILLISECONDS.sleep(1_500);
      return "done";
    }

    /** Responds with more than the socket's buffers hold. */
    @GET
    @Path("big")
    public byte[] big() {
      return new byte[BIG_BYTES];
    }
  }

  private String timeline(InetSocketAddress admin, String request) throws Exception {
    String body = "[]";
    for (int i = 0; i < 200 && body.equals("[]"); i++) {
      body = get(admin, "/timeline?request=" + request).body();
      Thread.sleep(10);
    }
    return body;
  }

  private HttpResponse<String> get(InetSocketAddress address, String path) throws Exception {
    URI uri = URI.create("http://" + Addresses.text(address) + path);
    return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }
}
