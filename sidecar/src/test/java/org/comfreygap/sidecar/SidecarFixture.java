package org.comfreygap.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.testkit.FakeEndpoint;
import org.comfreygap.testkit.FakeEngine;
import org.comfreygap.testkit.FakePlainService;
import org.comfreygap.testkit.FreePorts;

/** A sidecar with a control stub, a test gateway and a fake endpoint. */
final class SidecarFixture implements AutoCloseable {

  static final String KEY_TEXT = "a shared key for tests";
  static final SharedKey KEY = SharedKey.of(KEY_TEXT.getBytes(StandardCharsets.UTF_8));
  private static final PeerSecurity SECURITY = PeerSecurity.of(KEY);

  final StubControl control = new StubControl(SECURITY);
  final FakeEndpoint endpoint;
  final String name;
  Sidecar sidecar;
  TestGateway gateway;
  private int attemptPort;
  private int starts;

  private SidecarFixture(FakeEndpoint endpoint, String name) throws Exception {
    this.endpoint = endpoint;
    this.name = name;
  }

  /**
   * Starts a sidecar in front of an engine; {@code coldStart} is the value of {@code
   * initialConcurrency} followed by further JSON fields of {@code coldStart}.
   */
  static SidecarFixture engine(FakeEngine engine, int slots, int maxBatch, String coldStart)
      throws Exception {
    SidecarFixture fixture = new SidecarFixture(engine, "engine-1");
    fixture.settings();
    fixture.control.put(
        "/platform/endpoints/engine-1",
        document("engine", "\"baseModel\":\"base\"", slots, maxBatch, coldStart, "in"));
    fixture.start();
    return fixture;
  }

  /** Starts a sidecar in front of a warm engine with the given slots and batch. */
  static SidecarFixture engine(FakeEngine engine, int slots, int maxBatch) throws Exception {
    return engine(engine, slots, maxBatch, "1,\"rampSeconds\":0");
  }

  /** Starts a sidecar in front of a plain service. */
  static SidecarFixture service(FakePlainService service, int maxConcurrent, String coldStart)
      throws Exception {
    SidecarFixture fixture = new SidecarFixture(service, "service-1");
    fixture.settings();
    fixture.control.put(
        "/platform/endpoints/service-1",
        document("service", "\"service\":\"blue/orders\"", 0, maxConcurrent, coldStart, "in"));
    fixture.start();
    return fixture;
  }

  static String document(
      String kind, String target, int slots, int maxBatch, String coldStart, String state) {
    return "{\"zone\":\"z1\",\"kind\":\"%s\",%s,\"sidecar\":\"127.0.0.1:1\",\"slots\":%d,"
            .formatted(kind, target, slots)
        + "\"maxBatch\":%d,\"checksFencing\":true,\"state\":\"%s\",".formatted(maxBatch, state)
        + "\"coldStart\":{\"initialConcurrency\":"
        + coldStart
        + "}}";
  }

  /** Waits until {@code condition} holds. */
  static void await(String description, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TestGateway.TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError(
            "not satisfied within " + TestGateway.TIMEOUT_SECONDS + " s: " + description);
      }
      Thread.sleep(5);
    }
  }

  int attemptPort() {
    return attemptPort;
  }

  static int freePort() throws IOException {
    return FreePorts.address().getPort();
  }

  /** Starts a sidecar and waits until it is ready. */
  Sidecar start() throws Exception {
    Sidecar started = startUnready();
    await("the sidecar is ready", started::ready);
    return started;
  }

  /** Starts a sidecar without waiting and makes it the sidecar of this fixture. */
  Sidecar startUnready() throws Exception {
    int port = freePort();
    SidecarSettings settings =
        new SidecarSettings(
            "sidecar-" + ++starts,
            "z1",
            name,
            new InetSocketAddress("127.0.0.1", port),
            new InetSocketAddress("127.0.0.1", freePort()),
            URI.create(endpoint.url()),
            List.of(control.address()));
    attemptPort = port;
    sidecar = Sidecar.start(settings, SECURITY);
    gateway = new TestGateway(port, KEY);
    return sidecar;
  }

  @Override
  public void close() throws IOException {
    gateway.close();
    // Closed before the sidecar, so that no call of the sidecar waits for a reply.
    control.close();
    sidecar.kill();
    endpoint.close();
  }

  private void settings() {
    control.put("/platform/zones/z1", "{\"state\":\"in\"}");
    control.put("/teams/blue", "{}");
    for (String customer : List.of("press", "flood", "small")) {
      control.put("/teams/blue/customers/" + customer, "{}");
      control.put(
          "/teams/blue/customers/" + customer + "/keys/k1",
          "{\"sha256\":\"" + "ab".repeat(32) + "\",\"state\":\"active\"}");
    }
    for (char adapter = 'a'; adapter <= 'j'; adapter++) {
      control.put(
          "/teams/blue/adapters/" + adapter, "{\"baseModel\":\"base\",\"customers\":[\"*\"]}");
    }
    control.put("/teams/blue/services/orders", "{\"customers\":[\"*\"]}");
  }
}
