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
import java.util.stream.StreamSupport;
import org.comfreygap.protocol.generated.BeginReply;
import org.comfreygap.protocol.generated.BeginRequest;
import org.comfreygap.protocol.generated.LedgerState;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.ControlClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs three instances of the whole program in one process, with replicated logs on disk. */
class ControlProgramTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  @TempDir private Path folder;
  private final HttpClient http = HttpClient.newHttpClient();
  private final List<Instance> instances = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    Files.writeString(folder.resolve("key"), "0123456789abcdef");
    for (int i = 1; i <= 3; i++) {
      instances.add(new Instance("c" + i));
    }
    String members = members();
    for (Instance instance : instances) {
      instance.start(members);
    }
    awaitVoters(3);
  }

  @AfterEach
  void stop() throws Exception {
    List<Thread> stops = new ArrayList<>();
    for (Instance instance : instances) {
      Thread thread = new Thread(instance::stopQuietly);
      thread.start();
      stops.add(thread);
    }
    for (Thread thread : stops) {
      thread.join();
    }
  }

  /**
   * Guards against a planned stop that interrupts service, a resend that is applied twice after
   * restarts, and settings or ledger entries lost with the leader (I11, I13, I14).
   */
  @Test
  void serviceAndStateSurviveRestartsOfEachInstance() throws Exception {
    String first = put("op-1", "/teams/a/customers/c", 0);
    try (ControlClient client = client()) {
      assertThat(begin(client, "g1", "r1").getState()).isEqualTo(LedgerState.STARTED);
      for (int round = 0; round < 2; round++) {
        Instance leader = leader();
        leader.stop();
        assertThat(put("op-1", "/teams/a/customers/c", 0)).isEqualTo(first);
        leader.start(members());
        put("round-" + round, "/teams/a/customers/r" + round, 0);
      }
      assertThat(begin(client, "g2", "r2").getState()).isEqualTo(LedgerState.IN_PROGRESS);
    }
    HttpResponse<String> listed = call("GET", "/settings/teams/a?prefix=true", null);
    assertThat(Codec.MAPPER.readTree(listed.body()).path("entries")).hasSize(3);
  }

  /**
   * Guards against members that cannot be replaced, a new member that does not catch up, and a
   * follower that serves operators instead of redirecting them.
   */
  @Test
  void aMemberIsReplacedThroughTheApi() throws Exception {
    put("op-1", "/teams/a/customers/c", 0);
    Instance leader = leader();
    Instance follower = instances.stream().filter(i -> i != leader).findFirst().orElseThrow();
    HttpResponse<String> response = send(follower, "GET", "/status?x=1", null, "op");
    assertThat(response.statusCode()).isEqualTo(307);
    assertThat(response.headers().firstValue("Location"))
        .contains("http://" + leader.http + "/status?x=1");
    Instance added = new Instance("c4");
    instances.add(added);
    added.start("");
    String body =
        "{\"replicaId\": \"c4\", \"address\": \""
            + added.replication
            + "\", \"adminAddress\": \""
            + added.http
            + "\"}";
    assertThat(call("POST", "/members", body).statusCode()).isEqualTo(200);
    Instance removed =
        instances.stream().filter(i -> i != leader() && i != added).findFirst().get();
    removed.stop();
    // 404: an earlier attempt removed it, but the response was lost.
    assertThat(call("DELETE", "/members/" + removed.id, null).statusCode()).isIn(200, 404);
    JsonNode members = Codec.MAPPER.readTree(call("GET", "/members", null).body()).path("members");
    assertThat(members)
        .extracting(m -> m.path("replicaId").asText())
        .hasSize(3)
        .contains("c4")
        .doesNotContain(removed.id);
    leader().stop();
    put("op-2", "/teams/a/customers/d", 0);
  }

  /**
   * Waits for {@code count} voters: the first instance starts alone and adds the others one by one,
   * first as learners.
   */
  private void awaitVoters(int count) throws Exception {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    long voters = 0;
    while (voters < count) {
      assertThat(end - System.nanoTime()).as("%s of %s voters", voters, count).isPositive();
      JsonNode members =
          Codec.MAPPER.readTree(call("GET", "/members", null).body()).path("members");
      voters =
          StreamSupport.stream(members.spliterator(), false)
              .filter(member -> !member.path("role").asText().equals("learner"))
              .count();
    }
  }

  private String put(String operation, String path, long ifMatch) throws Exception {
    HttpResponse<String> response = call("PUT", "/settings" + path, "{}", operation, ifMatch);
    assertThat(response.statusCode()).isEqualTo(200);
    return response.body();
  }

  private HttpResponse<String> call(String method, String path, String body) throws Exception {
    return call(method, path, body, "unnamed-" + System.nanoTime(), -1);
  }

  /** Calls the leader; retries after a redirect, a 503 or a connection failure. */
  private HttpResponse<String> call(
      String method, String path, String body, String operation, long ifMatch) throws Exception {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (true) {
      for (Instance instance : instances) {
        if (instance.running.isPresent()) {
          try {
            HttpResponse<String> response = send(instance, method, path, body, operation);
            if (response.statusCode() != 307 && response.statusCode() != 503) {
              return response;
            }
          } catch (IOException e) {
            assertThat(end - System.nanoTime()).as(e.toString()).isPositive();
          }
        }
      }
      assertThat(end - System.nanoTime()).as("no leader responded to " + path).isPositive();
      Thread.sleep(50);
    }
  }

  private HttpResponse<String> send(
      Instance instance, String method, String path, String body, String operation)
      throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + instance.http + path))
            .timeout(TIMEOUT)
            .header("Authorization", "Bearer " + ControlFixture.ROOT_TOKEN)
            .header("Comfreygap-Operation-Id", operation)
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private Instance leader() {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (end - System.nanoTime() > 0) {
      for (Instance instance : instances) {
        if (instance.running.isPresent()) {
          try {
            if (send(instance, "GET", "/status", null, "op").statusCode() == 200) {
              return instance;
            }
            Thread.sleep(20);
          } catch (Exception ignored) {
            // Tries the next instance.
          }
        }
      }
    }
    throw new AssertionError("no instance leads");
  }

  private ControlClient client() {
    return new ControlClient(
        instances.stream().map(i -> Addresses.parse(i.rpc)).toList(), ControlFixture.SECURITY);
  }

  private static BeginReply begin(ControlClient client, String gateway, String request)
      throws Exception {
    BeginRequest begin = new BeginRequest("a/c", "key", "print", gateway, "s1", request);
    return client.callLeader(TIMEOUT, c -> c.beginRequest(begin));
  }

  private String members() {
    StringBuilder members = new StringBuilder("initialMembers:\n");
    for (Instance instance : instances.subList(0, 3)) {
      members.append(
          "  - {replicaId: %s, address: \"%s\", adminAddress: \"%s\"}\n"
              .formatted(instance.id, instance.replication, instance.http));
    }
    return members.toString();
  }

  /** One instance of the program. */
  private final class Instance {

    private final String id;
    private final String admin = ControlFixture.freeAddress();
    private final String rpc = ControlFixture.freeAddress();
    private final String replication = ControlFixture.freeAddress();
    private final String http = ControlFixture.freeAddress();
    private Optional<AutoCloseable> running = Optional.empty();

    Instance(String id) throws IOException {
      this.id = id;
    }

    void start(String members) throws Exception {
      Path file = folder.resolve(id + ".yaml");
      Files.writeString(
          file,
          """
          processId: %s
          zone: z1
          adminAddress: %s
          control: ["%s"]
          security: {sharedKeyFile: "%s"}
          replicaId: %s
          rpcAddress: %s
          replicationAddress: %s
          httpAddress: %s
          dataFolder: "%s"
          operators: [{name: root, tokenSha256: %s, subtree: /}]
          %s
          """
              .formatted(
                  id,
                  admin,
                  rpc,
                  folder.resolve("key"),
                  id,
                  rpc,
                  replication,
                  http,
                  folder.resolve(id),
                  Operators.sha256(ControlFixture.ROOT_TOKEN),
                  members));
      running = Optional.of(ControlMain.start(file));
    }

    void stopQuietly() {
      try {
        stop();
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    }

    void stop() throws Exception {
      if (running.isPresent()) {
        running.get().close();
        running = Optional.empty();
      }
    }
  }
}
