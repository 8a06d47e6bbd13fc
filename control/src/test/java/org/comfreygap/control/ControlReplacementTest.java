package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.StreamSupport;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.RepeatingTask;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Replaces each of three real processes by an empty one at another address while operators change
 * the settings.
 */
class ControlReplacementTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  /** Bound on the time from the first answer of a new instance until the group is whole. */
  private static final Duration CATCH_UP = Duration.ofSeconds(6);

  /** Bound on the time until only present addresses are named. */
  private static final Duration NAMES_SETTLE = Duration.ofSeconds(15);

  /** Kept after the test; names contain the id of the test process. */
  private static final Path LOGS = Path.of("target", "control-replacement");

  private static final int FIRST_PORT = 7_600;
  private static final int HTTP_PORT = 7_650;

  @TempDir private Path folder;
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  private final List<Instance> instances = new CopyOnWriteArrayList<>();
  private final Queue<String> acknowledged = new ConcurrentLinkedQueue<>();
  private int written;

  @AfterEach
  void stop() {
    instances.forEach(instance -> instance.process.destroyForcibly());
  }

  /**
   * Guards against acknowledged changes that are lost, a group that does not become whole in time,
   * and instances that know only addresses that are gone.
   */
  @Test
  void eachInstanceIsReplacedUnderLoadAndNothingAcknowledgedIsLost() throws Exception {
    Files.createDirectories(LOGS);
    Files.writeString(folder.resolve("key"), "0123456789abcdef");
    List<String> first = List.of(host(1), host(2), host(3));
    for (String host : first) {
      instances.add(new Instance(host, first, true));
    }
    awaitGroup(first, TIMEOUT);
    try (RepeatingTask load = RepeatingTask.continuous("operator", this::write)) {
      // First the leader is lost, then an instance stops as planned, then the last one is lost.
      Instance leader = leader();
      replace(leader, host(4), false);
      Instance planned = instances.stream().filter(i -> first.contains(i.host)).findFirst().get();
      replace(planned, host(5), true);
      Instance last = instances.stream().filter(i -> first.contains(i.host)).findFirst().get();
      replace(last, host(6), false);
      int before = acknowledged.size();
      await(TIMEOUT, "changes at the new group", () -> acknowledged.size() > before + 10);
    }
    List<String> now = List.of(host(4), host(5), host(6));
    awaitNamedAddresses(now);
    // Those that remain were started with addresses that are gone by now.
    Instance killed = leader();
    killed.process.destroyForcibly().waitFor();
    killed.start();
    TimeUnit.SECONDS.sleep(5);
    awaitGroup(now, TIMEOUT);
    JsonNode entries = read("/settings/teams/a?prefix=true").orElseThrow().path("entries");
    List<String> kept = new ArrayList<>();
    entries.forEach(entry -> kept.add(entry.path("path").asText()));
    assertThat(acknowledged).hasSizeGreaterThan(30);
    assertThat(kept).containsAll(acknowledged);
  }

  private void replace(Instance old, String host, boolean planned) throws Exception {
    List<String> seeds = instances.stream().map(instance -> instance.host).toList();
    if (!planned) {
      old.process.destroyForcibly().waitFor();
      instances.remove(old);
    }
    Instance fresh = new Instance(host, seeds, false);
    instances.add(fresh);
    if (planned) {
      awaitGroup(instances.stream().map(i -> i.host).toList(), TIMEOUT);
      old.process.destroy();
      instances.remove(old);
    }
    await(TIMEOUT, "the new instance", () -> send(fresh, "GET", "/status", null).isPresent());
    long begin = System.nanoTime();
    awaitGroup(instances.stream().map(i -> i.host).toList(), CATCH_UP);
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
    System.out.printf("replaced %s by %s, whole after %d ms%n", old.host, host, millis);
  }

  private void write() throws InterruptedException {
    String path = "/teams/a/customers/c" + ++written;
    for (Instance instance : instances) {
      Optional<HttpResponse<String>> response = send(instance, "PUT", "/settings" + path, "{}");
      if (response.filter(r -> r.statusCode() == 200).isPresent()) {
        acknowledged.add(path);
        break;
      }
    }
    TimeUnit.MILLISECONDS.sleep(20);
  }

  /** Waits until the voters are exactly the instances at {@code hosts}. */
  private void awaitGroup(List<String> hosts, Duration timeout) throws Exception {
    await(
        timeout,
        "voters at " + hosts,
        () -> {
          Optional<JsonNode> members = read("/members").map(json -> json.path("members"));
          return members.isPresent()
              && members.get().size() == hosts.size()
              && StreamSupport.stream(members.get().spliterator(), false)
                  .allMatch(
                      member ->
                          !member.path("role").asText().equals("learner")
                              && hosts.contains(
                                  member.path("address").asText().replaceAll(":.*", "")));
        });
  }

  private void awaitNamedAddresses(List<String> hosts) throws Exception {
    String[] expected = hosts.stream().map(host -> host + ":" + FIRST_PORT).toArray(String[]::new);
    HeartbeatRequest request =
        new HeartbeatRequest(ControlFixture.process("g1", ProcessKind.GATEWAY, "s1"), 0, false, 0);
    try (ControlClient client =
        new ControlClient(
            List.of(Addresses.parse(expected[0]), Addresses.parse(expected[1])),
            ControlFixture.SECURITY)) {
      List<String> named = List.of();
      long end = System.nanoTime() + NAMES_SETTLE.toNanos();
      while (named.size() != expected.length || !named.containsAll(List.of(expected))) {
        assertThat(end - System.nanoTime()).as("time left, control names " + named).isPositive();
        TimeUnit.MILLISECONDS.sleep(50);
        named = client.callLeader(TIMEOUT, c -> c.heartbeat(request)).getControlAddresses();
      }
    }
  }

  private Instance leader() throws Exception {
    Instance[] found = new Instance[1];
    await(
        TIMEOUT,
        "a leader",
        () -> {
          for (Instance instance : instances) {
            if (send(instance, "GET", "/status", null)
                .filter(response -> response.statusCode() == 200)
                .isPresent()) {
              found[0] = instance;
            }
          }
          return found[0] != null;
        });
    return found[0];
  }

  private Optional<JsonNode> read(String path) throws IOException {
    for (Instance instance : instances) {
      Optional<HttpResponse<String>> response = send(instance, "GET", path, null);
      if (response.filter(r -> r.statusCode() == 200).isPresent()) {
        return Optional.of(Codec.MAPPER.readTree(response.get().body()));
      }
    }
    return Optional.empty();
  }

  private Optional<HttpResponse<String>> send(
      Instance instance, String method, String path, String body) {
    HttpRequest.BodyPublisher publisher =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + instance.host + ":" + HTTP_PORT + path))
            .timeout(Duration.ofSeconds(2))
            .header("Authorization", "Bearer " + ControlFixture.ROOT_TOKEN)
            .header("Comfreygap-Operation-Id", "op-" + path.hashCode())
            .header("Content-Type", "application/json")
            .method(method, publisher)
            .build();
    try {
      return Optional.of(http.send(request, HttpResponse.BodyHandlers.ofString()));
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private static void await(Duration timeout, String description, Condition condition)
      throws Exception {
    long end = System.nanoTime() + timeout.toNanos();
    while (!condition.holds()) {
      assertThat(end - System.nanoTime()).as("time left for " + description).isPositive();
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** Returns an address on loopback that only this test process uses. */
  private static String host(int number) {
    long pid = ProcessHandle.current().pid();
    return "127.%d.%d.%d".formatted(1 + pid % 250, pid / 250 % 250, number);
  }

  @FunctionalInterface
  private interface Condition {

    boolean holds() throws Exception;
  }

  /** A process with its own data folder. */
  private final class Instance {

    private final String host;
    private final Path settings;
    private Process process;

    Instance(String host, List<String> seeds, boolean createLog) throws IOException {
      this.host = host;
      this.settings = folder.resolve(host + ".yaml");
      String seedList =
          String.join(",", seeds.stream().map(s -> "\"" + s + ":" + HTTP_PORT + "\"").toList());
      Files.writeString(
          settings,
          """
          processId: control.%s
          zone: z1
          portBlock: {host: "%s", first: %d, last: %d}
          seeds: [%s]
          createLog: %s
          security: {sharedKeyFile: "%s"}
          httpAddress: "%s:%d"
          dataFolder: "%s"
          toleratedLosses: 1
          operators: [{name: root, tokenSha256: %s, subtree: /}]
          """
              .formatted(
                  host,
                  host,
                  FIRST_PORT,
                  FIRST_PORT + 15,
                  seedList,
                  createLog,
                  folder.resolve("key"),
                  host,
                  HTTP_PORT,
                  folder.resolve(host),
                  Operators.sha256(ControlFixture.ROOT_TOKEN)));
      start();
    }

    void start() throws IOException {
      process =
          new ProcessBuilder(
                  ProcessHandle.current().info().command().orElse("java"),
                  "-Xmx96m",
                  "-XX:+UseSerialGC",
                  "-XX:TieredStopAtLevel=1",
                  "-cp",
                  System.getProperty("java.class.path"),
                  ControlMain.class.getName(),
                  settings.toString())
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(LOGS.resolve(host + ".log").toFile()))
              .start();
    }
  }
}
