package org.comfreygap.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.comfreygap.cli.HtmlEscaper;

/**
 * Renders the rounds of the journal as one self-contained HTML page, {@code bin/report}.
 *
 * <p>For each deployment: the scores over time, the worth of each standard day, the broken rules,
 * and the reason of each round. Unreadable entries are listed at the end.
 *
 * <p>Thread safety: used once.
 *
 * @since 0.3
 */
@Command(
    name = "report",
    description =
        "Renders the rounds of the journal as an HTML page, for example:"
            + " report --output rounds.html")
public final class JournalReport {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int WIDTH = 900;
  private static final int HEIGHT = 220;
  private static final int MARGIN = 40;
  private static final List<String> COLOURS =
      List.of("#1a6e5a", "#b5562b", "#35589a", "#8a3a8a", "#6b6b1f", "#a02c2c", "#2c7fa0");

  @Option(
      name = {"--journal"},
      description = "Folder of the journal entries")
  private String journal = "journal";

  @Option(
      name = {"--output"},
      description = "Output file")
  private String output = "target/report.html";

  /** One round: an entry of the journal with at least one day. */
  private record Round(
      String id, String time, String kind, String site, String why, String commit, JsonNode entry) {

    Optional<Double> score() {
      return kind.equals("score") && entry.path("score").isNumber()
          ? Optional.of(entry.path("score").asDouble())
          : Optional.empty();
    }

    JsonNode days() {
      return entry.path("days");
    }
  }

  /** Writes the page; exits with 2 for wrong usage and with 1 when it cannot be written. */
  public static void main(String[] args) {
    try {
      SingleCommand.singleCommand(JournalReport.class).parse(args).run();
    } catch (ParseException e) {
      System.err.println("report: " + e.getMessage());
      System.exit(2);
    } catch (IOException e) {
      System.err.println("report: " + e);
      System.exit(1);
    }
  }

  private void run() throws IOException {
    List<String> unreadable = new ArrayList<>();
    List<Round> rounds = new ArrayList<>();
    try (Stream<Path> files = Files.list(Path.of(journal))) {
      for (Path file : files.filter(f -> f.toString().endsWith(".json")).sorted().toList()) {
        read(file, rounds, unreadable);
      }
    }
    rounds.sort(Comparator.comparing(Round::time));
    Path page = Path.of(output);
    if (page.getParent() != null) {
      Files.createDirectories(page.getParent());
    }
    Files.writeString(page, renderPage(rounds, unreadable));
    System.out.println(
        page + ": " + rounds.size() + " rounds, " + unreadable.size() + " unreadable");
  }

  private static void read(Path file, List<Round> rounds, List<String> unreadable) {
    try {
      JsonNode entry = MAPPER.readTree(file.toFile());
      if (entry.path("days").isArray() && entry.path("days").size() > 0) {
        rounds.add(
            new Round(
                entry.path("id").asText(),
                entry.path("at").path(0).asText(),
                entry.path("cmd").asText(),
                entry.path("site").asText(),
                entry.path("why").asText(),
                entry.path("head").asText(),
                entry));
      }
    } catch (IOException e) {
      unreadable.add(file.getFileName() + ": " + e.getMessage());
    }
  }

  private static String renderPage(List<Round> rounds, List<String> unreadable) {
    StringBuilder html = new StringBuilder();
    html.append("<!doctype html><meta charset=\"utf-8\"><title>comfreygap rounds</title>");
    html.append("<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;")
        .append("text-align:left;vertical-align:top}.bad{color:#a02c2c}</style>");
    html.append("<h1>Rounds on the users' bench</h1>\n");
    Map<String, List<Round>> bySite = new LinkedHashMap<>();
    rounds.forEach(
        round -> bySite.computeIfAbsent(round.site(), site -> new ArrayList<>()).add(round));
    bySite.forEach((site, siteRounds) -> appendSite(html, site, siteRounds));
    unreadable.forEach(
        line -> html.append("<p class=\"bad\">").append(HtmlEscaper.escape(line)).append("</p>"));
    return html.toString();
  }

  private static void appendSite(StringBuilder html, String site, List<Round> rounds) {
    html.append("<h2>").append(HtmlEscaper.escape(site)).append("</h2>\n");
    Map<String, List<Double>> lines = new LinkedHashMap<>();
    List<Round> scores = rounds.stream().filter(round -> round.score().isPresent()).toList();
    for (Round round : scores) {
      lines.computeIfAbsent("score", name -> new ArrayList<>()).add(round.score().get());
      for (JsonNode day : round.days()) {
        String name = day.path("name").asText();
        if (!name.startsWith("fresh")) {
          lines.computeIfAbsent(name, key -> new ArrayList<>()).add(day.path("G").asDouble());
        }
      }
    }
    if (scores.size() > 1) {
      html.append(plot(lines, scores.stream().map(Round::id).toList()));
    }
    html.append("<table><tr><th>time</th><th>entry</th><th>run</th><th>score</th>")
        .append("<th>day: worth</th><th>broken</th><th>processor s</th><th>MB</th>")
        .append("<th>why</th></tr>\n");
    rounds.forEach(round -> appendRow(html, round));
    html.append("</table>\n");
  }

  private static void appendRow(StringBuilder html, Round round) {
    StringBuilder worth = new StringBuilder();
    StringBuilder broken = new StringBuilder();
    double processor = 0;
    double memory = 0;
    for (JsonNode day : round.days()) {
      String name = day.path("name").asText();
      worth.append(String.format(Locale.ROOT, "%s: %.3f<br>", name, day.path("G").asDouble()));
      day.path("rules")
          .fields()
          .forEachRemaining(
              rule ->
                  broken
                      .append(
                          HtmlEscaper.escape(name + ": " + rule.getKey() + " " + rule.getValue()))
                      .append("<br>"));
      for (JsonNode price : day.path("prices")) {
        processor +=
            price.path(0).asText().equals("processor seconds") ? price.path(1).asDouble() : 0;
      }
      memory = Math.max(memory, day.path("kb_an_instance").asDouble() / 1_024);
    }
    html.append("<tr><td>").append(HtmlEscaper.escape(round.time())).append("</td><td>");
    html.append(HtmlEscaper.escape(round.id()))
        .append("<br>")
        .append(HtmlEscaper.escape(shortened(round.commit())));
    html.append("</td><td>").append(HtmlEscaper.escape(round.kind())).append("</td><td>");
    html.append(round.score().map(s -> String.format(Locale.ROOT, "%.3f", s)).orElse(""));
    html.append("</td><td>").append(worth).append("</td><td class=\"bad\">").append(broken);
    html.append(String.format(Locale.ROOT, "</td><td>%.0f</td><td>%.0f", processor, memory));
    html.append("</td><td>").append(HtmlEscaper.escape(round.why())).append("</td></tr>\n");
  }

  private static String plot(Map<String, List<Double>> lines, List<String> entries) {
    StringBuilder svg = new StringBuilder();
    svg.append(
        String.format(
            Locale.ROOT, "<svg width=\"%d\" height=\"%d\">", WIDTH + 140, HEIGHT + 2 * MARGIN));
    int steps = Math.max(1, entries.size() - 1);
    for (int tenth = 0; tenth <= 10; tenth += 2) {
      double y = y(tenth / 10.0);
      svg.append(
          String.format(
              Locale.ROOT,
              "<line x1=\"%d\" x2=\"%d\" y1=\"%.0f\" y2=\"%.0f\" stroke=\"#ddd\"/>"
                  + "<text x=\"4\" y=\"%.0f\">%.1f</text>",
              MARGIN,
              WIDTH,
              y,
              y,
              y + 4,
              tenth / 10.0));
    }
    int colour = 0;
    for (Map.Entry<String, List<Double>> line : lines.entrySet()) {
      String stroke = COLOURS.get(colour % COLOURS.size());
      StringBuilder points = new StringBuilder();
      for (int i = 0; i < line.getValue().size(); i++) {
        double x = MARGIN + (double) (WIDTH - MARGIN) * i / steps;
        points.append(String.format(Locale.ROOT, "%.0f,%.0f ", x, y(line.getValue().get(i))));
      }
      svg.append("<polyline fill=\"none\" stroke=\"").append(stroke).append("\" points=\"");
      svg.append(points).append("\"/>");
      svg.append(
          String.format(
              Locale.ROOT,
              "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>",
              WIDTH + 10,
              MARGIN + 16 * colour,
              stroke,
              HtmlEscaper.escape(line.getKey())));
      colour++;
    }
    return svg.append("</svg>\n").toString();
  }

  private static double y(double value) {
    return MARGIN + HEIGHT * (1 - Math.max(0, Math.min(1, value)));
  }

  private static String shortened(String commit) {
    return commit.length() > 7 ? commit.substring(0, 7) : commit;
  }
}
