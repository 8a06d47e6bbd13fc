package org.comfreygap.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that log files alone, often all an on-call engineer has, explain a request's outcome. */
class ExplainCommandTest {

  @TempDir Path folder;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @Test
  void explainsRefusalByMissingCredit() throws IOException {
    Path log =
        log(
            line("gateway.a", 1_000, 3540, "TABLES_IN_FORCE", "revision", "7"),
            line(
                "gateway.a",
                1_200,
                3501,
                "REQUEST_REJECTED",
                "request",
                "r1",
                "reason",
                "over-limit",
                "customer",
                "acme",
                "credit",
                "held:0"),
            line("gateway.b", 1_200, 3540, "TABLES_IN_FORCE", "revision", "7"));

    assertThat(run("explain", "r1", "--log", log.toString())).isEqualTo(ExitCode.OK);

    assertThat(text(out))
        .contains("-200 ms  gateway.a 3540 TABLES_IN_FORCE")
        .contains("cause: refused: customer acme had no credit left (held:0")
        .doesNotContain("gateway.b");
  }

  @Test
  void explainsFailureByEndpointCrash() throws IOException {
    Path log =
        log(
            line("gateway.a", 5_000, 3507, "REQUEST_SENT", "request", "r2", "endpoint", "i-1"),
            line("sidecar.x", 5_900, 4501, "ENGINE_STARTED", "endpoint", "i-1"),
            line("sidecar.y", 5_900, 4501, "ENGINE_STARTED", "endpoint", "i-2"),
            "a line of another program",
            line(
                "gateway.a",
                5_500,
                3503,
                "REQUEST_FAILED",
                "request",
                "r2",
                "endpoint",
                "i-1",
                "reason",
                "the connection was reset"));

    assertThat(run("explain", "r2", "--log", log.toString(), "--output", "json"))
        .isEqualTo(ExitCode.OK);

    assertThat(text(out))
        .contains("the connection was reset")
        .contains("sidecar.x")
        .doesNotContain("sidecar.y");
  }

  /** Guards against a request that counts as served although its caller lacks the end. */
  @Test
  void explainsResponseThatWasServedAndNotDelivered() throws IOException {
    Path log =
        log(
            line("gateway.a", 5_000, 3506, "REQUEST_SERVED", "request", "r4", "status", "200"),
            line(
                "gateway.a",
                5_400,
                3546,
                "RESPONSE_NOT_DELIVERED",
                "request",
                "r4",
                "reason",
                "nothing moved on the connection"));

    assertThat(run("explain", "r4", "--log", log.toString())).isEqualTo(ExitCode.OK);

    assertThat(text(out)).contains("before all of it was written: nothing moved on the connection");
  }

  @Test
  void explainsQuarantineByEarlierCrashes() throws IOException {
    Path log =
        log(
            line("gateway.a", 5_000, 3525, "ENDPOINT_CRASHED", "fingerprints", "[f0, f1]"),
            line("gateway.b", 9_000, 3502, "ATTEMPT_ENDED", "request", "r1", "fingerprint", "f1"),
            line("gateway.b", 9_060, 3525, "ENDPOINT_CRASHED", "fingerprints", "[f2]"),
            line("control", 9_070, 2040, "REQUEST_QUARANTINED", "fingerprint", "f1"),
            line(
                "gateway.c",
                60_000,
                3501,
                "REQUEST_REJECTED",
                "request",
                "r3",
                "reason",
                "quarantined",
                "fingerprint",
                "f1",
                "retryMillis",
                "849000"));

    assertThat(run("explain", "r3", "--log", log.toString())).isEqualTo(ExitCode.OK);

    assertThat(text(out))
        .contains("3525 ENDPOINT_CRASHED fingerprints=[f0, f1]")
        .contains("3502 ATTEMPT_ENDED request=r1")
        .contains("2040 REQUEST_QUARANTINED")
        .contains("fingerprint f1; quarantined for another 849000 ms")
        .doesNotContain("[f2]");
  }

  /** Guards against a ban of a part of prompts whose crashes do not appear. */
  @Test
  void explainsBanOfAPartByItsCrashes() throws IOException {
    Path log =
        log(
            line("gateway.a", 5_000, 3525, "ENDPOINT_CRASHED", "parts", "[5c1e, fa7a1]"),
            line("gateway.b", 9_060, 3525, "ENDPOINT_CRASHED", "parts", "[5c1e]"),
            line("control", 9_070, 2042, "PART_BANNED", "parts", "[fa7a1]"),
            line(
                "gateway.c",
                60_000,
                3501,
                "REQUEST_REJECTED",
                "request",
                "r4",
                "reason",
                "part-banned",
                "parts",
                "[fa7a1]",
                "retryMillis",
                "849000"));

    assertThat(run("explain", "r4", "--log", log.toString())).isEqualTo(ExitCode.OK);

    assertThat(text(out))
        .contains("3525 ENDPOINT_CRASHED parts=[5c1e, fa7a1]")
        .contains("2042 PART_BANNED parts=[fa7a1]")
        .contains("whose prompt holds [fa7a1]; banned for another 849000 ms")
        .doesNotContain("parts=[5c1e]");
  }

  /** Guards against a refused take-up whose software version does not appear. */
  @Test
  void namesTheVersionThatAStreamNeeds() throws IOException {
    Path log =
        log(
            line(
                "gateway.c",
                59_999,
                3519,
                "STREAM_NOT_CONTINUED",
                "request",
                "r5",
                "version",
                "v1",
                "begunBy",
                "r4"),
            line(
                "gateway.c",
                60_000,
                3501,
                "REQUEST_REJECTED",
                "request",
                "r5",
                "reason",
                "version-gone"));

    assertThat(run("explain", "r5", "--log", log.toString())).isEqualTo(ExitCode.OK);

    assertThat(text(out))
        .contains("3519 STREAM_NOT_CONTINUED")
        .contains("version=v1")
        .contains("only at the software version that began it");
  }

  /** Guards against a broken response whose end and distrusted copies do not appear. */
  @Test
  void tellsHowAResponseBrokeOff() throws IOException {
    Path log =
        log(
            line(
                "gateway.c",
                59_990,
                3509,
                "RESPONSE_DISTRUSTED",
                "request",
                "r7",
                "match",
                "stray"),
            line(
                "gateway.c",
                59_999,
                3502,
                "ATTEMPT_ENDED",
                "request",
                "r7",
                "framing",
                "connection"),
            line(
                "gateway.c",
                60_000,
                3503,
                "REQUEST_FAILED",
                "request",
                "r7",
                "endpoint",
                "i-1",
                "lastEvent",
                "42",
                "reason",
                "the response ended together with its endpoint"));

    assertThat(run("explain", "r7", "--log", log.toString())).isEqualTo(ExitCode.OK);

    assertThat(text(out))
        .contains("match=stray")
        .contains("framing=connection")
        .contains("broken off: endpoint i-1 refused connections")
        .contains("event 42");
  }

  /** Guards against a held back request whose endpoint and limit do not appear. */
  @Test
  void namesTheLimitThatHeldARequestBack() throws IOException {
    Path log =
        log(
            line(
                "gateway.a",
                4_000,
                3516,
                "ENDPOINT_LIMIT_CHANGED",
                "endpoint",
                "e1",
                "perSecond",
                "1.5"),
            line(
                "gateway.a",
                5_000,
                3508,
                "SEND_HELD_BACK",
                "request",
                "r1",
                "endpoint",
                "e1",
                "perSecond",
                "1.5"),
            line(
                "gateway.a",
                5_001,
                3501,
                "REQUEST_REJECTED",
                "request",
                "r1",
                "reason",
                "endpoints-limited",
                "retryMillis",
                "640"));

    assertThat(run("explain", "r1", "--log", log.toString())).isEqualTo(ExitCode.OK);

    assertThat(text(out))
        .contains("3516 ENDPOINT_LIMIT_CHANGED")
        .contains("3508 SEND_HELD_BACK")
        .contains("request limits of all endpoints")
        .contains("retry after 640 ms");
  }

  @Test
  void reportsRequestWithoutEvents() throws IOException {
    Path log = log(line("gateway.a", 5_000, 3507, "REQUEST_SENT", "request", "r2"));

    assertThat(run("explain", "r9", "--log", log.toString())).isEqualTo(ExitCode.NOT_FOUND);
    assertThat(text(err)).contains("no event of request r9 among 1 events");
  }

  private Path log(String... lines) throws IOException {
    return Files.write(folder.resolve("all.log"), List.of(lines));
  }

  /** Returns a line as a log collector stores it, with a prefix before the JSON object. */
  private static String line(
      String process, long millis, int number, String name, String... fields) {
    StringBuilder pairs = new StringBuilder();
    for (int i = 0; i < fields.length; i += 2) {
      pairs.append(",{\"%s\":\"%s\"}".formatted(fields[i], fields[i + 1]));
    }
    return " 1.5 host-7 {\"level\":\"INFO\",\"kvpList\": [{\"process\":\"%s\"},{\"hlc\":\"%d\"}"
            .formatted(process, millis << 16)
        + ",{\"number\":\"%d\"}%s],\"formattedMessage\":\"%s\"}".formatted(number, pairs, name);
  }

  private ExitCode run(String... args) {
    return CliMain.run(
        args,
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  private static String text(ByteArrayOutputStream stream) {
    return stream.toString(StandardCharsets.UTF_8);
  }
}
