package org.comfreygap.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.comfreygap.runtime.SharedKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the real programs of comfreygap, each in its own process.
 *
 * <p>Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
final class ProductFleet {

  private static final Logger LOG = LoggerFactory.getLogger(ProductFleet.class);

  private static final String OPERATOR_TOKEN = "measure-operator-token";
  private static final String SHARED_KEY = "measure-shared-key-0123456789abcdef";
  private static final Duration READY_LIMIT = Duration.ofSeconds(60);
  private static final Duration STATUS_LIMIT = Duration.ofMillis(500);
  private static final String CONTROL_OPTIONS = "-Xmx128m -Xss512k -XX:+UseSerialGC";
  private static final String GATEWAY_OPTIONS = "-Xmx512m -Xss512k -XX:+UseSerialGC";

  // Using only the first compiler tier halves the start time of sixteen sidecars on one machine.
  private static final String SIDECAR_OPTIONS =
      "-Xmx64m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1";

  private final Layout layout;
  private final Path root;
  private final Path folder;
  private final Map<String, RunningProgram> programs = new ConcurrentHashMap<>();
  private final AdminClient admin;
  private final HttpClient client = HttpClient.newHttpClient();

  ProductFleet(Layout layout, Path root, Path folder) throws IOException {
    this.layout = layout;
    this.root = root;
    this.folder = folder;
    Files.writeString(folder.resolve("shared-key"), SHARED_KEY);
    this.admin =
        new AdminClient(
            layout.controls.stream().map(ports -> "http://127.0.0.1:" + ports.http()).toList(),
            OPERATOR_TOKEN);
  }

  AdminClient admin() {
    return admin;
  }

  /** Starts the processes of all programs: control first, then gateways and sidecars. */
  void start() throws IOException, InterruptedException {
    for (int i = 0; i < Layout.INSTANCES; i++) {
      startControl(i);
    }
    for (int i = 0; i < Layout.INSTANCES; i++) {
      startGateway(i);
    }
    for (Layout.Runner runner : layout.runners) {
      startSidecar(runner);
    }
  }

  void startControl(int i) throws IOException {
    launch("comfreygap-control", "control-" + (i + 1), controlYaml(i), CONTROL_OPTIONS);
  }

  void startGateway(int i) throws IOException {
    launch("comfreygap-gateway", "gateway-" + (i + 1), gatewayYaml(i), GATEWAY_OPTIONS);
  }

  void startSidecar(Layout.Runner runner) throws IOException {
    launch("comfreygap-sidecar", "sidecar-" + runner.name(), sidecarYaml(runner), SIDECAR_OPTIONS);
  }

  /** Waits until control has a leader; fails when a program has exited. */
  void awaitLeader() throws IOException, InterruptedException {
    long deadline = System.nanoTime() + READY_LIMIT.toNanos();
    String leader = "";
    while (leader.isEmpty() || leader.equals("null")) {
      checkAlive();
      if (System.nanoTime() > deadline) {
        throw new IOException("control has no leader within " + READY_LIMIT);
      }
      try {
        leader = admin.status(STATUS_LIMIT).path("leader").asText();
      } catch (IOException e) {
        LOG.debug("no control instance responds yet", e);
      }
    }
  }

  /** Writes the settings of the profile through the administration API. */
  void createSettings(Profile.Store store) throws IOException, InterruptedException {
    Profile profile = layout.profile;
    Map<String, String> documents = new LinkedHashMap<>();
    documents.put("/platform/store", FakesProcess.storeDocument(store));
    Profile.ZONES.forEach(zone -> documents.put("/platform/zones/" + zone, "{\"state\":\"in\"}"));
    String team = "/teams/" + Layout.TEAM;
    documents.put(team, "{\"displayName\":\"0\"}");
    for (int i = 0; i < Profile.CUSTOMER_SHARES.size(); i++) {
      String customer = team + "/customers/" + customerName(i);
      documents.put(customer, "{\"defaultPriority\":\"normal\"}");
      documents.put(
          customer + "/limits",
          "{\"tokensPerSecond\":%d,\"burstTokens\":%d}"
              .formatted(profile.tokensPerSecond(i), profile.burstTokens(i)));
      for (int rank = 0; rank < Workload.adapterCount(i); rank++) {
        String adapter = team + "/adapters/" + Workload.adapterName(i, rank);
        documents.put(
            adapter, "{\"baseModel\":\"base\",\"customers\":[\"" + customerName(i) + "\"]}");
        documents.put(adapter + "/versions/v1", "{\"source\":\"store\"}");
      }
    }
    documents.put(
        team + "/services/" + profile.fleet().service(),
        "{\"open\":false,\"customers\":[\"*\"],\"idempotentMethods\":[\"GET\"]}");
    layout.runners.forEach(
        runner -> documents.put("/platform/endpoints/" + runner.name(), endpointDocument(runner)));
    admin.putAll(documents, READY_LIMIT);
  }

  /** Creates the keys: one for each customer, and {@code temporary} for the second. */
  Map<String, String> createKeys() throws IOException, InterruptedException {
    Map<String, String> keys = new LinkedHashMap<>();
    for (int i = 0; i < Profile.CUSTOMER_SHARES.size(); i++) {
      keys.put(
          customerName(i),
          admin.createKey(Layout.TEAM + "/" + customerName(i), "main", READY_LIMIT));
    }
    String second = Layout.TEAM + "/" + customerName(1);
    keys.put("temporary", admin.createKey(second, "temporary", READY_LIMIT));
    return keys;
  }

  /** Waits until every gateway and sidecar reports that it is ready. */
  void awaitReady() throws IOException, InterruptedException {
    List<Integer> ports = new ArrayList<>();
    layout.gateways.forEach(gateway -> ports.add(gateway.admin()));
    layout.runners.forEach(runner -> ports.add(runner.adminPort()));
    long deadline = System.nanoTime() + READY_LIMIT.toNanos();
    for (int port : ports) {
      while (!isReady(port)) {
        checkAlive();
        if (System.nanoTime() > deadline) {
          throw new IOException("admin port " + port + " is not ready within " + READY_LIMIT);
        }
        Thread.sleep(50);
      }
    }
  }

  boolean gatewayReady(int index) throws InterruptedException {
    return isReady(layout.gateways.get(index).admin());
  }

  List<String> gatewayUrls() {
    return layout.gateways.stream().map(ports -> "http://127.0.0.1:" + ports.http()).toList();
  }

  /** Returns the name of the leader's process, as control reports it. */
  String leader() throws IOException, InterruptedException {
    JsonNode status = admin.status(READY_LIMIT);
    return status.path("leader").asText();
  }

  RunningProgram program(String id) {
    return programs.get(id);
  }

  double cpuSeconds() {
    return programs.values().stream().mapToDouble(RunningProgram::cpuSeconds).sum();
  }

  /** Returns the resident memory of the programs whose id starts with {@code prefix}. */
  long residentBytes(String prefix) {
    return programs.values().stream()
        .filter(program -> program.id().startsWith(prefix))
        .mapToLong(RunningProgram::residentBytes)
        .sum();
  }

  /** Kills all processes, gateways and sidecars first, and waits for their end. */
  void stop() throws InterruptedException {
    for (String prefix : List.of("gateway", "sidecar", "control")) {
      programs.values().stream()
          .filter(program -> program.id().startsWith(prefix))
          .forEach(RunningProgram::kill);
    }
    for (RunningProgram program : programs.values()) {
      program.awaitEnd();
    }
  }

  static SharedKey sharedKey() {
    return SharedKey.of(SHARED_KEY.getBytes(StandardCharsets.UTF_8));
  }

  static String customerName(int index) {
    return "c" + (index + 1);
  }

  private void launch(String name, String id, String settings, String options) throws IOException {
    String gcLogOption = " -Xlog:gc,safepoint:file=" + folder.resolve("gc-" + id + ".txt");
    programs.put(id, RunningProgram.start(root, name, id, folder, settings, options + gcLogOption));
  }

  private void checkAlive() throws IOException {
    for (RunningProgram program : programs.values()) {
      if (!program.alive()) {
        throw new IOException(program.id() + " has exited; see " + folder + "/*.log");
      }
    }
  }

  private boolean isReady(int adminPort) throws InterruptedException {
    try {
      HttpRequest get =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + adminPort + "/ready"))
              .timeout(Duration.ofSeconds(2))
              .build();
      return client.send(get, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  String endpointDocument(Layout.Runner runner) {
    Profile.Fleet fleet = layout.profile.fleet();
    String target =
        runner.engine()
            ? "\"kind\":\"engine\",\"baseModel\":\"base\",\"slots\":" + fleet.slots()
            : "\"kind\":\"service\",\"service\":\"" + Layout.TEAM + "/" + fleet.service() + "\"";
    return "{\"zone\":\"%s\",%s,\"sidecar\":\"127.0.0.1:%d\",\"maxBatch\":%d,%s%s}"
        .formatted(
            runner.zone(),
            target,
            runner.attemptPort(),
            runner.engine() ? fleet.maxBatch() : Layout.ColdStart.SERVICE_CONCURRENCY,
            "\"checksFencing\":" + runner.engine() + ",\"state\":\"in\",",
            "\"coldStart\":{\"initialConcurrency\":%d,\"rampSeconds\":%d}"
                .formatted(
                    Layout.ColdStart.INITIAL_CONCURRENCY, Layout.ColdStart.SETTINGS_RAMP_SECONDS));
  }

  private String commonYaml(String id, String zone, int adminPort) {
    StringBuilder yaml = new StringBuilder();
    yaml.append("processId: ").append(id).append('\n');
    yaml.append("zone: ").append(zone).append('\n');
    yaml.append("adminAddress: 127.0.0.1:").append(adminPort).append('\n');
    yaml.append("control:\n");
    layout.controls.forEach(c -> yaml.append("  - 127.0.0.1:").append(c.rpc()).append('\n'));
    yaml.append("security: {sharedKeyFile: ").append(folder.resolve("shared-key")).append("}\n");
    yaml.append("logLevel: warn\n");
    return yaml.toString();
  }

  private String controlYaml(int index) throws IOException {
    Layout.ControlPorts ports = layout.controls.get(index);
    Path data = Files.createDirectories(folder.resolve("data-control-" + (index + 1)));
    StringBuilder yaml =
        new StringBuilder(
            commonYaml("control-" + (index + 1), Profile.ZONES.get(index), ports.admin()));
    yaml.append("replicaId: control-").append(index + 1).append('\n');
    yaml.append("rpcAddress: 127.0.0.1:").append(ports.rpc()).append('\n');
    yaml.append("replicationAddress: 127.0.0.1:").append(ports.replication()).append('\n');
    yaml.append("httpAddress: 127.0.0.1:").append(ports.http()).append('\n');
    yaml.append("dataFolder: ").append(data).append('\n');
    yaml.append("initialMembers:\n");
    for (int i = 0; i < layout.controls.size(); i++) {
      Layout.ControlPorts member = layout.controls.get(i);
      yaml.append(
          "  - {replicaId: control-%d, address: \"127.0.0.1:%d\", adminAddress: \"127.0.0.1:%d\"}%n"
              .formatted(i + 1, member.replication(), member.http()));
    }
    yaml.append("operators:\n");
    yaml.append(
        "  - {name: measure, tokenSha256: %s, subtree: /}%n".formatted(sha256(OPERATOR_TOKEN)));
    return yaml.toString();
  }

  private String gatewayYaml(int index) {
    Layout.GatewayPorts ports = layout.gateways.get(index);
    return commonYaml("gateway-" + (index + 1), Profile.ZONES.get(index), ports.admin())
        + "httpAddress: 127.0.0.1:"
        + ports.http()
        + "\nmaxBodyBytes: 1048576\nstopLagMillis: 1000\n";
  }

  private String sidecarYaml(Layout.Runner runner) {
    return commonYaml("sidecar-" + runner.name(), runner.zone(), runner.adminPort())
        + "endpoint: "
        + runner.name()
        + "\nattemptAddress: 127.0.0.1:"
        + runner.attemptPort()
        + "\nendpointUrl: http://127.0.0.1:"
        + runner.endpointPort()
        + "\n";
  }

  private static String sha256(String text) throws IOException {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IOException(e);
    }
  }
}
