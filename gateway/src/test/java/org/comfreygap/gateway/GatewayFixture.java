package org.comfreygap.gateway;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.comfreygap.protocol.generated.MemberState;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.testkit.FakeControl;
import org.comfreygap.testkit.FakeSidecar;
import org.comfreygap.testkit.FreePorts;

/** Runs a gateway with a fake control instance and fake sidecars in one process. */
final class GatewayFixture implements AutoCloseable {

  static final String KEY = "sk-test-5f1c9d7be2a84c33";
  static final String OTHER_KEY = "sk-test-0a77c1e59b2d4f60";
  static final String CHAT =
      "{\"model\":\"lexicon@1\",\"max_tokens\":8,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
  static final PeerSecurity SECURITY =
      PeerSecurity.of(SharedKey.of("shared-key-for-tests".getBytes(StandardCharsets.UTF_8)));

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  final FakeControl control;
  final Map<String, FakeSidecar> sidecars = new LinkedHashMap<>();
  final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(10))
          .build();
  Gateway gateway;
  GatewaySettings settings;
  private final Closer closer = new Closer();

  private GatewayFixture() throws IOException {
    control = closer.register(FakeControl.start(SECURITY));
    control.put("/teams/blue", "{}");
    control.put("/teams/blue/customers/press", "{}");
    control.put("/teams/blue/customers/radio", "{}");
    key("press", "k1", KEY, "active");
    key("radio", "k1", OTHER_KEY, "active");
    control.put(
        "/teams/blue/adapters/lexicon", "{\"baseModel\":\"base\",\"customers\":[\"press\"]}");
    control.put("/teams/blue/adapters/lexicon/versions/1", "{\"source\":\"s3://w/1\"}");
    control.put("/teams/blue/adapters/lexicon/versions/2", "{\"source\":\"s3://w/2\"}");
    control.put(
        "/teams/blue/services/orders",
        "{\"customers\":[\"press\"],\"idempotentMethods\":[\"GET\",\"HEAD\"]}");
    control.put("/teams/blue/services/public", "{\"open\":true,\"idempotentMethods\":[\"GET\"]}");
  }

  /** Starts a gateway with engines spread over the zones a, b and c, and no services. */
  static GatewayFixture start(int engines) throws Exception {
    return start(engines, 0);
  }

  /** Starts a gateway with engines and with endpoints for each service. */
  static GatewayFixture start(int engines, int services) throws Exception {
    return start(engines, services, UnaryOperator.identity());
  }

  /** Starts a gateway with settings modified by {@code change}. */
  static GatewayFixture start(int engines, int services, UnaryOperator<GatewaySettings> change)
      throws Exception {
    GatewayFixture fixture = new GatewayFixture();
    for (int i = 1; i <= engines; i++) {
      fixture.endpoint("engine-" + i, zone(i), "engine", "\"baseModel\":\"base\"");
    }
    for (int i = 1; i <= services; i++) {
      for (String service : List.of("orders", "public")) {
        fixture.endpoint(
            service + "-" + i, zone(i), "service", "\"service\":\"blue/" + service + "\"");
      }
    }
    fixture.startGateway(change);
    return fixture;
  }

  FakeSidecar sidecar(String endpoint) {
    return sidecars.get(endpoint);
  }

  /** Returns the number of attempts started at all endpoints. */
  int startedAttempts() {
    return sidecars.values().stream().mapToInt(FakeSidecar::startedAttempts).sum();
  }

  void key(String customer, String id, String key, String state) {
    control.put(
        "/teams/blue/customers/" + customer + "/keys/" + id,
        "{\"sha256\":\"" + Hashes.sha256(key) + "\",\"state\":\"" + state + "\"}");
  }

  void limits(String customer, long rate, long burst) {
    long revision =
        control.put(
            "/teams/blue/customers/" + customer + "/limits",
            "{\"tokensPerSecond\":" + rate + ",\"burstTokens\":" + burst + "}");
    awaitRevision(revision);
  }

  /** Waits until the gateway has recorded that {@code revision} is in force. */
  void awaitRevision(long revision) {
    await(() -> revisionInForce() >= revision);
  }

  private long revisionInForce() {
    return gateway.events().timeline().eventsSince(0, Optional.empty(), Optional.empty()).stream()
        .filter(entry -> entry.name().equals("SETTINGS_IN_FORCE"))
        .mapToLong(entry -> Long.parseLong(entry.fields().get("revision")))
        .max()
        .orElse(0);
  }

  URI uri(String path) {
    return URI.create("http://127.0.0.1:" + settings.httpAddress().getPort() + path);
  }

  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(uri(path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + KEY);
  }

  HttpResponse<String> chat(String body) throws Exception {
    return send(request("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  CompletableFuture<HttpResponse<String>> chatLater(String body) {
    return http.sendAsync(
        request("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body)).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> callOrders(String method, String idempotencyKey, String body)
      throws Exception {
    HttpRequest.Builder request =
        request("/services/orders/new").method(method, HttpRequest.BodyPublishers.ofString(body));
    if (idempotencyKey != null) {
      request.header("Idempotency-Key", idempotencyKey);
    }
    return send(request);
  }

  HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  static String outcome(HttpResponse<?> response) {
    return response.headers().firstValue(CallerResponse.OUTCOME_HEADER).orElse("none");
  }

  static String streamRequest(String extra) {
    return "{\"model\":\"lexicon@1\",\"max_tokens\":8,\"stream\":true,"
        + extra
        + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
  }

  /** Waits for {@code condition}; the timeout is long enough for very busy machines. */
  static void await(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new AssertionError("the condition was not met within " + TIMEOUT);
      }
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  /** Waits until {@code event} is recorded; a separate thread writes events. */
  void awaitEvent(GatewayEvent event) {
    await(
        () ->
            gateway.events().timeline().eventsSince(0, Optional.empty(), Optional.empty()).stream()
                .anyMatch(entry -> entry.number() == event.number()));
  }

  @Override
  public void close() {
    control.endLongPolls();
    closer.close();
  }

  static int freePort() throws IOException {
    return FreePorts.address().getPort();
  }

  private static String zone(int number) {
    return String.valueOf((char) ('a' + (number - 1) % 3));
  }

  private void endpoint(String name, String zone, String kind, String target) throws IOException {
    FakeSidecar sidecar;
    try {
      sidecar = closer.register(FakeSidecar.start(name, SECURITY.sharedKey()));
    } catch (Exception e) {
      throw new IOException("cannot start the sidecar of " + name, e);
    }
    sidecars.put(name, sidecar);
    control.put(
        "/platform/endpoints/" + name,
        "{\"zone\":\""
            + zone
            + "\",\"kind\":\""
            + kind
            + "\","
            + target
            + ",\"sidecar\":\"127.0.0.1:"
            + sidecar.address().getPort()
            + "\",\"slots\":8,\"maxBatch\":16,"
            + "\"coldStart\":{\"initialConcurrency\":2,\"rampSeconds\":1}}");
    control.addSidecar(name, zone, MemberState.LIVE);
  }

  private void startGateway(UnaryOperator<GatewaySettings> change) throws Exception {
    for (int attempt = 0; gateway == null; attempt++) {
      settings = change.apply(settings(freePort(), freePort()));
      try {
        gateway = closer.register(Gateway.start(settings));
      } catch (Exception e) {
        // Another process may bind the free port before the gateway does.
        if (!(rootCause(e) instanceof BindException) || attempt > 5) {
          throw e;
        }
      }
    }
    await(() -> gateway.ready());
    awaitRevision(control.revision());
  }

  private GatewaySettings settings(int httpPort, int adminPort) {
    return new GatewaySettings(
        "gateway-1",
        "a",
        new InetSocketAddress("127.0.0.1", httpPort),
        new InetSocketAddress("127.0.0.1", adminPort),
        List.of(control.address()),
        SECURITY,
        64 * 1024,
        Duration.ofMillis(50),
        64,
        Duration.ofSeconds(60),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10),
        16,
        1);
  }

  private static Throwable rootCause(Throwable error) {
    Throwable cause = error;
    while (cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }
}
