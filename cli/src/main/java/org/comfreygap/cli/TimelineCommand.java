package org.comfreygap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;

/**
 * Merges the events of all processes, ordered by hybrid logical clock.
 *
 * <p>Thread safety: not thread-safe.
 *
 * @since 0.1
 */
@Command(
    name = "timeline",
    description = "Merge the events of all processes in chronological order")
public final class TimelineCommand extends OperatorCommand {

  @Option(
      name = {"--since"},
      title = "TIME",
      description =
          "Start: a duration before now such as 10m, or a time such as 2026-12-04T02:00:00Z."
              + " Default: 10m.")
  private String since = "10m";

  @Option(
      name = {"--request"},
      title = "ID",
      description = "Only events of this request")
  private String request;

  @Option(
      name = {"--team"},
      title = "TEAM",
      description = "Only events of this team")
  private String team;

  @Option(
      name = {"--html"},
      title = "FILE",
      description = "Also write a self-contained HTML chart to this file")
  private String html;

  @Override
  ExitCode run(AdminClient client, PrintStream out) throws CommandException {
    EventCollection collected = EventCollection.fromProcesses(client, query());
    List<JsonNode> events = collected.events();
    List<String> missing = collected.missing();
    print(out, events, missing);
    if (html != null) {
      writeHtml(events, missing);
    }
    return ExitCode.OK;
  }

  /** Returns the start of the timeline in milliseconds since the epoch. */
  static long startMillis(String since, long nowMillis) throws CommandException {
    try {
      if (since.matches("\\d+[smhd]")) {
        String iso = since.endsWith("d") ? "P" + since : "PT" + since;
        return nowMillis - Duration.parse(iso.toUpperCase(java.util.Locale.ROOT)).toMillis();
      }
      return Instant.parse(since).toEpochMilli();
    } catch (DateTimeParseException e) {
      throw new CommandException(
          ExitCode.USAGE,
          "given --since "
              + since
              + ", expected a duration such as 10m or a time such as"
              + " 2026-12-04T02:00:00Z",
          e);
    }
  }

  private String query() throws CommandException {
    StringBuilder query =
        new StringBuilder("?since=").append(startMillis(since, System.currentTimeMillis()));
    if (request != null) {
      query.append("&request=").append(URLEncoder.encode(request, StandardCharsets.UTF_8));
    }
    if (team != null) {
      query.append("&team=").append(URLEncoder.encode(team, StandardCharsets.UTF_8));
    }
    return query.toString();
  }

  private void print(PrintStream out, List<JsonNode> events, List<String> missing) {
    if (format() == OutputFormat.JSON) {
      ObjectNode result = newObject();
      ArrayNode list = result.putArray("events");
      events.forEach(list::add);
      ArrayNode missingNode = result.putArray("missing");
      missing.forEach(missingNode::add);
      print(out, result);
      return;
    }
    events.forEach(event -> out.println(TimelineRenderer.line(event)));
    if (!missing.isEmpty()) {
      out.println("no answer from: " + String.join(", ", missing));
    }
  }

  private void writeHtml(List<JsonNode> events, List<String> missing) throws CommandException {
    try {
      Files.writeString(Path.of(html), TimelineRenderer.html(events, missing));
    } catch (IOException e) {
      throw new CommandException(ExitCode.UNAVAILABLE, "cannot write " + html, e);
    }
  }
}
