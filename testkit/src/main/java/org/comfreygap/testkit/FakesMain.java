package org.comfreygap.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.comfreygap.runtime.Closer;

/**
 * Starts a set of fakes in one process from a YAML file and prints {@code ready}.
 *
 * <pre>{@code
 * controlPort: 9000
 * store: {loadsPerSecond: 5, fullSpeedLoads: 2, maxInFlight: 16}
 * platformList: {port: 9001, lagMillis: 2000}
 * engines:
 *   - {name: engine-1, port: 9010, slots: 4, maxBatch: 8, coldInitial: 1, coldRampMillis: 2000}
 * services:
 *   - {name: orders-1, service: orders, port: 9020, maxConcurrent: 16, serviceMillis: 5}
 * }</pre>
 *
 * <p>{@code POST /fault} on the control port takes {@code {"target": name or "*", "fault", "count",
 * "millis", "text"}}; {@code POST /platform} takes {@code {"address", "state"}}; {@code POST
 * /store} takes the fields of {@code store}. {@code GET /record} returns the records of all
 * endpoints. Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
public final class FakesMain implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

  private final Map<String, FakeEndpoint> endpoints = new LinkedHashMap<>();
  private final Closer closer = new Closer();
  private WeightStore store;
  private FakePlatformList platformList;
  private RawHttpServer controlServer;

  private FakesMain() {}

  /** Starts the fakes described by the file given as the only argument and runs until killed. */
  public static void main(String[] args) throws Exception {
    if (args.length != 1) {
      System.err.println("usage: comfreygap-fakes FAKES.yaml");
      System.exit(2);
    }
    start(Files.readString(Path.of(args[0])));
    System.out.println("ready");
    System.out.flush();
    Thread.currentThread().join();
  }

  /**
   * Starts the fakes described by {@code yaml}.
   *
   * @throws IOException when the text is not YAML or a port cannot be bound
   */
  public static FakesMain start(String yaml) throws IOException {
    JsonNode root = YAML.readTree(yaml);
    FakesMain fakes = new FakesMain();
    JsonNode limits = root.path("store");
    fakes.store =
        limits.isMissingNode()
            ? WeightStore.unlimited()
            : new WeightStore(
                limits.path("loadsPerSecond").asDouble(),
                limits.path("fullSpeedLoads").asInt(),
                limits.path("maxInFlight").asInt());
    for (JsonNode engine : root.path("engines")) {
      fakes.add(startEngine(engine, fakes.store));
    }
    for (JsonNode service : root.path("services")) {
      fakes.add(startService(service));
    }
    JsonNode list = root.path("platformList");
    if (!list.isMissingNode()) {
      fakes.platformList =
          new FakePlatformList(list.path("port").asInt(), list.path("lagMillis").asLong());
      fakes.closer.register(fakes.platformList);
    }
    fakes.controlServer =
        new RawHttpServer(
            new InetSocketAddress("127.0.0.1", root.path("controlPort").asInt()),
            fakes::handleCommand);
    fakes.closer.register(fakes.controlServer);
    return fakes;
  }

  /** Returns the port of the HTTP interface that controls the fakes. */
  public int controlPort() {
    return controlServer.port();
  }

  /** Returns the endpoint with the given name. */
  public FakeEndpoint endpoint(String name) {
    return endpoints.get(name);
  }

  @Override
  public void close() {
    closer.close();
  }

  private void add(FakeEndpoint endpoint) {
    endpoints.put(endpoint.name(), closer.register(endpoint));
  }

  private void handleCommand(RawHttpServer.Request request, RawHttpServer.Response response)
      throws IOException {
    Map<String, String> headers = Map.of("content-type", "application/json");
    switch (request.method() + " " + request.path()) {
      case "POST /fault" -> {
        String error = applyFault(JSON.readTree(request.body()));
        response.send(
            error.isEmpty() ? 200 : 400, headers, JSON.writeValueAsBytes(Map.of("error", error)));
      }
      case "POST /platform" -> {
        JsonNode body = JSON.readTree(request.body());
        platformList.set(body.path("address").asText(), body.path("state").asText());
        response.send(200, headers, "{}".getBytes(StandardCharsets.US_ASCII));
      }
      case "POST /store" -> {
        JsonNode body = JSON.readTree(request.body());
        store.setLimits(
            body.path("loadsPerSecond").asDouble(),
            body.path("fullSpeedLoads").asInt(),
            body.path("maxInFlight").asInt());
        response.send(200, headers, "{}".getBytes(StandardCharsets.US_ASCII));
      }
      case "GET /record" -> response.send(200, headers, records());
      default ->
          response.send(
              404,
              headers,
              "{\"error\":\"unknown method or path\"}".getBytes(StandardCharsets.UTF_8));
    }
  }

  private String applyFault(JsonNode body) {
    EndpointFault fault;
    try {
      fault = EndpointFault.parse(body.path("fault").asText());
    } catch (IllegalArgumentException e) {
      return "fault: given "
          + body.path("fault")
          + ", expected a name from EndpointFault in lower case with hyphens";
    }
    String target = body.path("target").asText("*");
    if (!target.equals("*") && !endpoints.containsKey(target)) {
      return "target: given " + target + ", expected the name of an endpoint or *";
    }
    for (FakeEndpoint endpoint : endpoints.values()) {
      if (target.equals("*") || target.equals(endpoint.name())) {
        endpoint.fault(
            fault,
            body.path("count").asInt(1),
            body.path("millis").asLong(0),
            body.path("text").asText(""));
      }
    }
    return "";
  }

  private byte[] records() throws IOException {
    StringBuilder all = new StringBuilder("{\"endpoints\":[");
    String separator = "";
    for (FakeEndpoint endpoint : endpoints.values()) {
      all.append(separator);
      all.append(new String(endpoint.record().toJson(), StandardCharsets.UTF_8));
      separator = ",";
    }
    return all.append("]}").toString().getBytes(StandardCharsets.UTF_8);
  }

  private static FakeEngine startEngine(JsonNode node, WeightStore store) throws IOException {
    return FakeEngine.builder(node.path("name").asText())
        .port(node.path("port").asInt())
        .slots(node.path("slots").asInt(4))
        .maxBatch(node.path("maxBatch").asInt(8))
        .maxWaiting(node.path("maxWaiting").asInt(0))
        .loadMillis(node.path("loadMillis").asLong(250))
        .stepMicros(
            node.path("stepMicros").asLong(5_000), node.path("stepMicrosPerRun").asLong(100))
        .reportLagMillis(node.path("reportLagMillis").asLong(200))
        .checksFencing(node.path("checksFencing").asBoolean(true))
        .coldStart(coldStart(node))
        .warm(node.path("warm").asBoolean(true))
        .store(store)
        .start();
  }

  private static FakePlainService startService(JsonNode node) throws IOException {
    String name = node.path("name").asText();
    return FakePlainService.builder(name)
        .service(node.path("service").asText(name))
        .port(node.path("port").asInt())
        .maxConcurrent(node.path("maxConcurrent").asInt(16))
        .serviceMillis(node.path("serviceMillis").asLong(5))
        .coldStart(coldStart(node))
        .warm(node.path("warm").asBoolean(true))
        .start();
  }

  private static ColdStart coldStart(JsonNode node) {
    return new ColdStart(node.path("coldInitial").asInt(1), node.path("coldRampMillis").asLong(0));
  }
}
