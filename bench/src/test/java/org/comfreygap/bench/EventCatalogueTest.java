package org.comfreygap.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.comfreygap.consensus.ConsensusEvent;
import org.comfreygap.control.ControlEvent;
import org.comfreygap.gateway.GatewayEvent;
import org.comfreygap.relay.RelayEvent;
import org.comfreygap.relay.residency.ResidencyEvent;
import org.comfreygap.runtime.Event;
import org.comfreygap.runtime.RuntimeEvent;
import org.comfreygap.sidecar.SidecarEvent;
import org.junit.jupiter.api.Test;

/** Guards against events that are missing or outdated in the catalogue, or share a number. */
class EventCatalogueTest {

  private static final Path CATALOGUE = Path.of("..", "docs", "events.md");

  @Test
  void theCatalogueListsExactlyTheEventsOfAllPrograms() throws IOException {
    List<String> documented =
        Files.readAllLines(CATALOGUE).stream().filter(line -> line.matches("\\| \\d.*")).toList();

    assertThat(documented).containsExactlyElementsOf(expectedRows());
  }

  @Test
  void numbersAreUnique() {
    assertThat(events()).extracting(Event::number).doesNotHaveDuplicates();
  }

  private static List<String> expectedRows() {
    return events().stream().map(EventCatalogueTest::row).toList();
  }

  private static String row(Event event) {
    return "| %d | `%s` | %s | %s |"
        .formatted(
            event.number(),
            event.name(),
            event.level().name().toLowerCase(Locale.ROOT),
            event.description());
  }

  private static List<Event> events() {
    List<Event> all = new ArrayList<>();
    Stream.<Event[]>of(
            RuntimeEvent.values(),
            ControlEvent.values(),
            ConsensusEvent.values(),
            GatewayEvent.values(),
            SidecarEvent.values(),
            RelayEvent.values(),
            ResidencyEvent.values())
        .forEach(events -> all.addAll(List.of(events)));
    all.sort(Comparator.comparingInt(Event::number));
    return all;
  }
}
