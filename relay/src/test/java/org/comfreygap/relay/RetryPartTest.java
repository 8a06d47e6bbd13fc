package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import org.comfreygap.decisions.KnownFleet;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.testkit.FakeControl;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against gateways without contact to control that go on with their part of the retries. */
class RetryPartTest {

  private static final Duration WINDOW = Duration.ofMillis(500);
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration SLACK = Duration.ofSeconds(5);

  @TempDir private Path folder;
  private final HttpClient http = HttpClient.newHttpClient();

  @Test
  void takesItsPartOnlyWhileControlReportsTheFleet() throws Exception {
    try (GatewayFleet fleet = new GatewayFleet(folder, () -> "")) {
      long start = System.nanoTime();
      fleet.open(1, "retryWindowMillis: " + WINDOW.toMillis(), "retryExtra: 40");
      assertThat(untilPartIs(fleet, "40.0", start))
          .isBetween(
              KnownFleet.REPORT_LIFETIME.plus(WINDOW),
              KnownFleet.REPORT_LIFETIME.plus(WINDOW).plus(SLACK));

      fleet.control().fault(FakeControl.Fault.NOT_LEADER);

      long cut = System.nanoTime();
      assertThat(untilPartIs(fleet, "0.0", cut)).isLessThan(KnownFleet.REPORT_LIFETIME.plus(SLACK));
      fleet.control().fault(FakeControl.Fault.NONE);
    }
  }

  private Duration untilPartIs(GatewayFleet fleet, String part, long since) throws Exception {
    Duration bound = KnownFleet.REPORT_LIFETIME.plus(SLACK.multipliedBy(2));
    while (!lastPart(fleet).equals(part)) {
      Duration passed = Duration.ofNanos(System.nanoTime() - since);
      assertThat(passed).as("time until the part is %s", part).isLessThan(bound);
      Thread.sleep(50);
    }
    return Duration.ofNanos(System.nanoTime() - since);
  }

  /** Returns the part that the gateway logged last; empty before the first. */
  private String lastPart(GatewayFleet fleet) throws Exception {
    URI timeline = URI.create("http://" + Addresses.text(fleet.adminAddress(0)) + "/timeline");
    HttpResponse<String> response =
        http.send(HttpRequest.newBuilder(timeline).build(), HttpResponse.BodyHandlers.ofString());
    String last = "";
    for (JsonNode entry : MAPPER.readTree(response.body())) {
      if (entry.path("name").asText().equals(RelayEvent.RETRY_PART_CHANGED.name())) {
        last = entry.path("fields").path("part").asText();
      }
    }
    return last;
  }
}
