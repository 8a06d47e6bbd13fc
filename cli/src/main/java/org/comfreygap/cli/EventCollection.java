package org.comfreygap.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Events of several processes, ordered by hybrid logical clock, from log files or from the timeline
 * endpoints of the processes.
 *
 * <p>Each event is an object with {@code process}, {@code hlc}, {@code number}, {@code name} and
 * {@code fields}. Thread safety: immutable.
 *
 * @param missing processes that did not respond
 */
record EventCollection(List<JsonNode> events, List<String> missing) {

  private static final List<String> TOP_LEVEL_FIELDS = List.of("process", "hlc", "number");

  EventCollection {
    events =
        events.stream()
            .sorted(Comparator.comparingLong(event -> event.path("hlc").asLong()))
            .toList();
    missing = List.copyOf(missing);
  }

  /** Fetches the timelines of all processes that are registered with control. */
  static EventCollection fromProcesses(AdminClient client, String query) throws CommandException {
    List<String> missing = new ArrayList<>();
    List<JsonNode> events = new ArrayList<>();
    for (Map.Entry<String, String> process : processes(client).entrySet()) {
      try {
        JsonNode timeline =
            client.getFromProcess("http://" + process.getValue() + "/timeline" + query);
        timeline.forEach(events::add);
      } catch (IOException e) {
        missing.add(process.getKey() + " (" + e.getMessage() + ")");
      }
    }
    return new EventCollection(events, missing);
  }

  /** Reads log files; skips lines without events and any prefix added by a log collector. */
  static EventCollection fromLogs(List<Path> files) throws CommandException {
    List<JsonNode> events = new ArrayList<>();
    for (Path file : files) {
      try (Stream<String> lines = Files.lines(file)) {
        lines.flatMap(line -> parseEvent(line).stream()).forEach(events::add);
      } catch (IOException e) {
        throw new CommandException(ExitCode.USAGE, "cannot read the log file " + file, e);
      }
    }
    return new EventCollection(events, List.of());
  }

  /** Parses one log line; returns empty if it contains no event. */
  static Optional<JsonNode> parseEvent(String line) {
    int start = line.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    JsonNode logEntry;
    try {
      logEntry = AdminClient.MAPPER.readTree(line.substring(start));
    } catch (JsonProcessingException e) {
      // Other programs may write to the same files; lines that are not JSON are skipped.
      return Optional.empty();
    }
    ObjectNode event = AdminClient.MAPPER.createObjectNode();
    ObjectNode fields = AdminClient.MAPPER.createObjectNode();
    for (JsonNode pair : logEntry.path("kvpList")) {
      pair.fields()
          .forEachRemaining(
              field ->
                  (TOP_LEVEL_FIELDS.contains(field.getKey()) ? event : fields)
                      .set(field.getKey(), field.getValue()));
    }
    event.set("name", logEntry.path("formattedMessage"));
    event.set("fields", fields);
    return event.has("number") ? Optional.of(event) : Optional.empty();
  }

  private static Map<String, String> processes(AdminClient client) throws CommandException {
    Map<String, String> addresses = new TreeMap<>();
    for (JsonNode process : client.get("/status").path("processes")) {
      String address = process.path("adminAddress").asText("");
      if (!address.isEmpty()) {
        addresses.put(process.path("processId").asText(), address);
      }
    }
    return addresses;
  }
}
