package org.comfreygap.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the exit codes, retries and leader redirects that operators' scripts depend on. */
class CliMainTest {

  @TempDir Path folder;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private FakeAdminApi admin;
  private Path token;

  @BeforeEach
  void start() throws IOException {
    admin = new FakeAdminApi();
    token = Files.writeString(folder.resolve("token"), "operator-token\n");
  }

  @AfterEach
  void stop() {
    admin.close();
  }

  @ParameterizedTest
  @CsvSource({
    "400, INVALID",
    "401, FORBIDDEN",
    "403, FORBIDDEN",
    "404, NOT_FOUND",
    "409, CONFLICT",
    "422, INVALID",
    "500, UNAVAILABLE"
  })
  void mapsEachRefusalToItsExitCode(int status, ExitCode expected) {
    admin.enqueueResponse(status, "{\"error\": {\"code\": \"x\", \"message\": \"the reason\"}}");

    assertThat(run("settings", "get", "/teams/a")).isEqualTo(expected);
    assertThat(text(err)).contains("the reason");
  }

  @Test
  void printsEveryFaultAndTheConflictingChange() {
    admin.enqueueResponse(
        409,
        """
        {"error": {"code": "conflict", "message": "lost", "currentRevision": 9, "changedBy": "eve",
         "faults": [{"path": "/a:x", "given": "1", "expected": "2"},
                    {"path": "/a:y", "given": "3", "expected": "4"}]}}""");

    run("settings", "put", "/teams/a", "{}", "--if-revision", "3");

    assertThat(text(err))
        .contains("revision 9 was set by eve")
        .contains("/a:x: given 1, expected 2")
        .contains("/a:y: given 3, expected 4");
  }

  @Test
  void resendsAChangeUnderTheSameOperationIdWhenThereIsNoLeader() {
    admin.enqueueResponse(503, "").enqueueResponse(200, "{\"revision\": 4}");

    assertThat(run("settings", "put", "/teams/a", "{}")).isEqualTo(ExitCode.OK);
    assertThat(admin.calls()).hasSize(2);
    assertThat(admin.calls().get(0).operationId())
        .isNotEmpty()
        .isEqualTo(admin.calls().get(1).operationId());
  }

  @Test
  void followsAFollowersRedirectToTheLeader() throws IOException {
    try (FakeAdminApi leader = new FakeAdminApi()) {
      leader.enqueueResponse(200, "{\"revision\": 4}");
      admin.enqueueRedirect(leader.url() + "/zones/north");

      assertThat(run("zones", "out", "north")).isEqualTo(ExitCode.OK);
      assertThat(leader.calls()).hasSize(1);
      assertThat(leader.calls().get(0).body()).isEqualTo("{\"state\":\"out\"}");
    }
  }

  @Test
  void reportsLaggardsWithAnExitCodeOfTheirOwn() {
    admin.enqueueResponse(
        200, "{\"revision\": 4, \"inForce\": false, \"laggards\": [\"gateway-2\"]}");

    assertThat(run("keys", "withdraw", "a/b", "k1", "--wait")).isEqualTo(ExitCode.NOT_IN_FORCE);
    assertThat(text(out)).contains("gateway-2");
    assertThat(admin.calls().get(0).uri()).isEqualTo("/keys/a/b/k1?wait=true&timeoutMillis=15000");
  }

  @Test
  void keepsThePrefixWhenASubtreeIsDeletedWithWait() {
    admin.enqueueResponse(200, "{\"revision\": 4, \"inForce\": true}");

    run("settings", "delete", "/teams/a", "--prefix", "--wait", "--timeout", "3");

    assertThat(admin.calls().get(0).uri())
        .isEqualTo("/settings/teams/a?prefix=true&wait=true&timeoutMillis=3000");
  }

  @Test
  void appliesAFileInOneTransaction() throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("tree.yaml"), "/teams/a: {displayName: A}\n/teams/b: {}\n");
    admin.enqueueResponse(200, "{\"revision\": 4}");

    assertThat(run("settings", "apply", file.toString())).isEqualTo(ExitCode.OK);
    assertThat(admin.calls()).hasSize(1);
    assertThat(admin.calls().get(0).body())
        .contains("{\"path\":\"/teams/a\",\"document\":{\"displayName\":\"A\"}}")
        .contains("{\"path\":\"/teams/b\",\"document\":{}}");
  }

  @Test
  void showsOnlyWhatAFileWouldChange() throws IOException {
    Path file =
        Files.writeString(folder.resolve("tree.yaml"), "/teams/a: {}\n/teams/b: {displayName: B}");
    admin.enqueueResponse(
        200,
        "{\"revision\": 4, \"entries\": [{\"path\": \"/teams/a\", \"document\": {}},"
            + "{\"path\": \"/teams/b\", \"document\": {}}]}");

    run("settings", "diff", file.toString());

    assertThat(text(out)).contains("/teams/b").doesNotContain("/teams/a ");
  }

  @Test
  void refusesToReplaceAReplicaUnderItsOldId() {
    ExitCode code =
        run(
            "members",
            "replace",
            "c1",
            "--replica-id",
            "c1",
            "--address",
            "127.0.0.1:1",
            "--admin-address",
            "127.0.0.1:2");

    assertThat(code).isEqualTo(ExitCode.USAGE);
    assertThat(admin.calls()).isEmpty();
  }

  @Test
  void mergesTimelinesInOrderAndNamesUnreachableProcesses() throws IOException {
    try (FakeAdminApi other = new FakeAdminApi()) {
      String second = event("gateway-1", 30, "B");
      String first = event("sidecar-1", 20, "A<script>");
      admin.enqueueResponse(
          200,
          "{\"processes\": [{\"processId\": \"gateway-1\", \"adminAddress\": \""
              + admin.address()
              + "\"}, {\"processId\": \"gone-1\", \"adminAddress\": \"127.0.0.1:1\"},"
              + "{\"processId\": \"sidecar-1\", \"adminAddress\": \""
              + other.address()
              + "\"}]}");
      admin.enqueueResponse(200, "[" + second + "]");
      other.enqueueResponse(200, "[" + first + "]");
      Path html = folder.resolve("timeline.html");

      run("timeline", "--since", "1h", "--html", html.toString());

      List<String> lines = text(out).lines().toList();
      assertThat(lines).hasSize(3);
      assertThat(lines.get(0)).contains("sidecar-1");
      assertThat(lines.get(1)).contains("gateway-1");
      assertThat(lines.get(2)).contains("gone-1");
      assertThat(Files.readString(html)).contains("A&lt;script&gt;").doesNotContain("A<script>");
    }
  }

  @Test
  void printsJsonThatParses() throws IOException {
    admin.enqueueResponse(200, "{\"revision\": 4}");

    run("status", "--output", "json");

    JsonNode result = AdminClient.MAPPER.readTree(text(out));
    assertThat(result.path("revision").asInt()).isEqualTo(4);
  }

  @Test
  void reportsUsageErrorsAndPrintsHelp() {
    assertThat(run("zones", "sideways")).isEqualTo(ExitCode.USAGE);
    assertThat(text(err)).contains("comfreygap help");
    assertThat(run("settings", "put", "--help")).isEqualTo(ExitCode.OK);
    assertThat(text(out)).contains("--if-revision");
  }

  private ExitCode run(String... args) {
    List<String> all = new ArrayList<>(List.of(args));
    if (!all.contains("--help")) {
      all.addAll(List.of("--server", admin.url(), "--token-file", token.toString()));
    }
    return CliMain.run(
        all.toArray(new String[0]),
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  private static String event(String process, long millis, String name) {
    return "{\"process\": \"%s\", \"hlc\": %d, \"number\": 1, \"name\": \"%s\", \"fields\": {}}"
        .formatted(process, millis << 16, name);
  }

  private static String text(ByteArrayOutputStream stream) {
    return stream.toString(StandardCharsets.UTF_8);
  }
}
