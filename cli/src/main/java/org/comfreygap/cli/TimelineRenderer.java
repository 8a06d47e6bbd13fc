package org.comfreygap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import org.comfreygap.runtime.HybridClock;

/**
 * Renders timeline events as text lines and as an HTML chart with one lane per process.
 *
 * <p>Invariant: values from events are escaped in HTML. Thread safety: stateless.
 */
final class TimelineRenderer {

  private static final int LANE_HEIGHT = 28;
  private static final int LABEL_WIDTH = 160;
  private static final int CHART_WIDTH = 1_400;

  private TimelineRenderer() {}

  /** Returns the event as one line. */
  static String line(JsonNode event) {
    return Instant.ofEpochMilli(millis(event)) + " " + lineWithoutTime(event);
  }

  /** Returns the event as one line without its time. */
  static String lineWithoutTime(JsonNode event) {
    StringBuilder line = new StringBuilder();
    line.append(event.path("process").asText()).append(' ');
    line.append(event.path("number").asText()).append(' ');
    line.append(event.path("name").asText());
    event
        .path("fields")
        .fields()
        .forEachRemaining(
            field ->
                line.append(' ')
                    .append(field.getKey())
                    .append('=')
                    .append(field.getValue().asText()));
    return line.toString();
  }

  /** Returns a self-contained HTML page. */
  static String html(List<JsonNode> events, List<String> missing) {
    List<String> lanes =
        new ArrayList<>(
            new TreeSet<>(events.stream().map(e -> e.path("process").asText()).toList()));
    long first = events.isEmpty() ? 0 : millis(events.get(0));
    long last = events.isEmpty() ? 1 : Math.max(first + 1, millis(events.get(events.size() - 1)));
    StringBuilder page = new StringBuilder();
    page.append("<!doctype html><meta charset=\"utf-8\"><title>comfreygap timeline</title>");
    page.append("<style>body{font:13px sans-serif}td{padding:1px 8px;vertical-align:top}");
    page.append("circle{fill:#2a6}line{stroke:#ccc}</style>");
    page.append("<h1>Timeline</h1><p>").append(Instant.ofEpochMilli(first)).append(" to ");
    page.append(Instant.ofEpochMilli(last)).append("</p>");
    appendChart(page, events, lanes, first, last);
    if (!missing.isEmpty()) {
      page.append("<p>No answer from ")
          .append(HtmlEscaper.escape(String.join(", ", missing)))
          .append("</p>");
    }
    page.append("<table>");
    events.forEach(
        event ->
            page.append("<tr><td>").append(HtmlEscaper.escape(line(event))).append("</td></tr>\n"));
    return page.append("</table>\n").toString();
  }

  private static void appendChart(
      StringBuilder page, List<JsonNode> events, List<String> lanes, long first, long last) {
    int height = LANE_HEIGHT * (lanes.size() + 1);
    page.append(
        String.format(
            Locale.ROOT,
            "<svg width=\"%d\" height=\"%d\">",
            LABEL_WIDTH + CHART_WIDTH + 20,
            height));
    for (int i = 0; i < lanes.size(); i++) {
      int y = LANE_HEIGHT * (i + 1);
      page.append(
          String.format(
              Locale.ROOT,
              "<text x=\"0\" y=\"%d\">%s</text><line x1=\"%d\" x2=\"%d\" y1=\"%d\" y2=\"%d\"/>",
              y + 4,
              HtmlEscaper.escape(lanes.get(i)),
              LABEL_WIDTH,
              LABEL_WIDTH + CHART_WIDTH,
              y,
              y));
    }
    for (JsonNode event : events) {
      double x = LABEL_WIDTH + (double) CHART_WIDTH * (millis(event) - first) / (last - first);
      int y = LANE_HEIGHT * (lanes.indexOf(event.path("process").asText()) + 1);
      page.append(
          String.format(
              Locale.ROOT,
              "<circle cx=\"%.1f\" cy=\"%d\" r=\"4\"><title>%s</title></circle>",
              x,
              y,
              HtmlEscaper.escape(line(event))));
    }
    page.append("</svg>");
  }

  private static long millis(JsonNode event) {
    return HybridClock.millis(event.path("hlc").asLong());
  }
}
