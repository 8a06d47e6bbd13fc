package org.comfreygap.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plain SVG line plots of a run.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
final class Plot {

  private static final int WIDTH = 720;
  private static final int HEIGHT = 360;
  private static final int MARGIN = 60;
  private static final List<String> COLOURS = List.of("#1a6e5a", "#b5562b");

  private Plot() {}

  /** Writes latency by time, share served by time and the latency distribution. */
  static void writeAll(Path folder, Map<String, RunObservations> systems) throws IOException {
    Files.createDirectories(folder);
    write(folder, "latency-p95", "95th percentile latency (ms) by second", systems, Kind.LATENCY);
    write(folder, "complete-share", "share of requests complete by second", systems, Kind.SERVED);
    write(folder, "latency-cdf", "latency (ms) by percentile", systems, Kind.DISTRIBUTION);
  }

  private static void write(
      Path folder, String name, String title, Map<String, RunObservations> systems, Kind kind)
      throws IOException {
    Map<String, TreeMap<Double, Double>> lines = new TreeMap<>();
    systems.forEach((system, observations) -> lines.put(system, kind.points(observations)));
    double maxX = 1;
    double maxY = 1e-9;
    for (TreeMap<Double, Double> line : lines.values()) {
      for (Map.Entry<Double, Double> point : line.entrySet()) {
        maxX = Math.max(maxX, point.getKey());
        maxY = Math.max(maxY, point.getValue());
      }
    }
    StringBuilder svg = new StringBuilder();
    svg.append(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\">%n"
            .formatted(WIDTH, HEIGHT));
    svg.append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
    text(svg, MARGIN, 24, title);
    text(svg, 4, MARGIN, label(maxY));
    text(svg, MARGIN - 12, HEIGHT - MARGIN, "0");
    text(svg, WIDTH - MARGIN, HEIGHT - MARGIN + 20, label(maxX));
    svg.append(
        "<path d=\"M%d %dV%dH%d\" fill=\"none\" stroke=\"black\"/>%n"
            .formatted(MARGIN, MARGIN, HEIGHT - MARGIN, WIDTH - MARGIN));
    int index = 0;
    for (Map.Entry<String, TreeMap<Double, Double>> line : lines.entrySet()) {
      String colour = COLOURS.get(index % COLOURS.size());
      svg.append("<polyline fill=\"none\" stroke=\"").append(colour).append("\" points=\"");
      for (Map.Entry<Double, Double> point : line.getValue().entrySet()) {
        double x = MARGIN + point.getKey() / maxX * (WIDTH - 2 * MARGIN);
        double y = HEIGHT - MARGIN - point.getValue() / maxY * (HEIGHT - 2 * MARGIN);
        svg.append(String.format(Locale.ROOT, "%.1f,%.1f ", x, y));
      }
      svg.append(
          "\"/>\n<text x=\"%d\" y=\"%d\" fill=\"%s\" font-size=\"13\">%s</text>%n"
              .formatted(WIDTH - MARGIN - 60, 24 + 18 * index, colour, line.getKey()));
      index++;
    }
    svg.append("</svg>\n");
    Files.writeString(folder.resolve(name + ".svg"), svg);
  }

  private static void text(StringBuilder svg, int x, int y, String text) {
    svg.append("<text x=\"%d\" y=\"%d\" font-size=\"13\">%s</text>%n".formatted(x, y, text));
  }

  private static String label(double value) {
    return String.format(Locale.ROOT, "%.4g", value);
  }

  private enum Kind {
    LATENCY,
    SERVED,
    DISTRIBUTION;

    TreeMap<Double, Double> points(RunObservations observations) {
      TreeMap<Double, Double> points = new TreeMap<>();
      if (this == DISTRIBUTION) {
        double[] all =
            observations.results().stream()
                .filter(CallResult::complete)
                .mapToDouble(CallResult::latencyMillis)
                .toArray();
        for (int percent = 1; percent < 100 && all.length > 0; percent++) {
          points.put((double) percent, RunMetrics.percentile(all, percent / 100.0));
        }
        return points;
      }
      Map<Double, List<CallResult>> bySecond = new TreeMap<>();
      for (CallResult result : observations.results()) {
        double second =
            Math.floor((result.sentMicros() - observations.eventTimes().loadStart) / 1e6);
        bySecond.computeIfAbsent(second, s -> new ArrayList<>()).add(result);
      }
      bySecond.forEach((second, results) -> points.put(second, value(results)));
      return points;
    }

    private double value(List<CallResult> results) {
      List<CallResult> complete = results.stream().filter(CallResult::complete).toList();
      if (this == SERVED) {
        return (double) complete.size() / results.size();
      }
      double[] latencies = complete.stream().mapToDouble(CallResult::latencyMillis).toArray();
      return latencies.length == 0 ? 0 : RunMetrics.percentile(latencies, 0.95);
    }
  }
}
