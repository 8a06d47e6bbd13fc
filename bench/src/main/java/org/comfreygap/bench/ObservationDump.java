package org.comfreygap.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes the observations of a run next to its settings files, for diagnosis.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
final class ObservationDump {

  private static final ObjectMapper JSON = new ObjectMapper();

  private ObservationDump() {}

  static void write(Path folder, String system, RunObservations observations) throws IOException {
    StringBuilder lines = new StringBuilder();
    for (CallResult result : observations.results()) {
      lines.append(JSON.writeValueAsString(result)).append('\n');
    }
    Files.writeString(folder.resolve("results-" + system + ".jsonl"), lines);
    lines.setLength(0);
    for (FleetRecord.Endpoint endpoint : observations.record().endpoints()) {
      lines.append(JSON.writeValueAsString(endpoint)).append('\n');
    }
    Files.writeString(folder.resolve("record-" + system + ".jsonl"), lines);
  }
}
