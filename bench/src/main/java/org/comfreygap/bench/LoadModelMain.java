package org.comfreygap.bench;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Compares the product's policy with a naive one on {@link LoadModel}, {@code bin/loadmodel}.
 *
 * <p>Thread safety: used once.
 *
 * @since 0.3
 */
@Command(
    name = "loadmodel",
    description =
        "Simulates a load on a model of engines with the present and a naive policy, for example:"
            + " loadmodel --pattern burst --seed 7")
public final class LoadModelMain {

  private static final int BAR_WIDTH = 600;
  private static final int BAR_HEIGHT = 16;

  @Option(
      name = {"--pattern"},
      description = "Load pattern; default: all patterns")
  private String pattern = "";

  @Option(
      name = {"--size"},
      description = "Size of the deployment: lianhua or glasnik")
  private String size = "lianhua";

  @Option(
      name = {"--seed"},
      description = "Seed of the arrivals")
  private long seed = 1;

  @Option(
      name = {"--plot"},
      description = "Writes the shares as an SVG chart to this file")
  private String plot;

  private record Row(LoadPattern pattern, LoadModel.Policy policy, LoadModel.Result result) {}

  /** Runs the comparison; exits with 2 for wrong usage. */
  public static void main(String[] args) throws IOException {
    try {
      SingleCommand.singleCommand(LoadModelMain.class).parse(args).run(System.out);
    } catch (ParseException | IllegalArgumentException e) {
      System.err.println("loadmodel: " + e.getMessage());
      System.exit(2);
    }
  }

  private void run(PrintStream out) throws IOException {
    LoadModel.Deployment deployment = LoadModel.Deployment.valueOf(size.toUpperCase(Locale.ROOT));
    List<Row> rows = new ArrayList<>();
    out.printf(
        "%-14s %-8s %8s %7s %7s %6s %7s %7s %8s%n",
        "pattern", "policy", "requests", "in aim", "served", "store", "copies", "asked", "blocked");
    for (LoadPattern current : patterns()) {
      for (LoadModel.Policy policy : LoadModel.Policy.values()) {
        LoadModel.Result result = new LoadModel(deployment, current, policy, seed).run();
        rows.add(new Row(current, policy, result));
        out.printf(
            Locale.ROOT,
            "%-14s %-8s %8d %7.3f %7.3f %6d %7d %7d %6dms%n",
            current.commandLineName(),
            policy.name().toLowerCase(Locale.ROOT),
            result.requests(),
            result.onTimeShare(),
            result.servedShare(),
            result.loadsFromStore(),
            result.loadsFromCopies(),
            result.adaptersRequested(),
            result.blockedMillis());
      }
    }
    if (plot != null) {
      Files.writeString(Path.of(plot), renderSvg(rows));
    }
  }

  private List<LoadPattern> patterns() {
    if (pattern.isEmpty()) {
      return List.of(LoadPattern.values());
    }
    String known =
        Arrays.stream(LoadPattern.values())
            .map(LoadPattern::commandLineName)
            .collect(Collectors.joining(", "));
    return List.of(
        LoadPattern.forName(pattern)
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "given --pattern " + pattern + ", expected one of " + known)));
  }

  /** Returns an SVG bar chart: served share and, within it, share on time of each simulation. */
  private static String renderSvg(List<Row> rows) {
    StringBuilder svg = new StringBuilder();
    svg.append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"")
        .append(BAR_WIDTH + 240)
        .append("\" height=\"")
        .append((rows.size() + 2) * (BAR_HEIGHT + 4))
        .append("\" font-family=\"sans-serif\" font-size=\"12\">\n");
    int y = BAR_HEIGHT;
    for (Row row : rows) {
      String name =
          row.pattern().commandLineName() + " " + row.policy().name().toLowerCase(Locale.ROOT);
      svg.append(
          String.format(
              Locale.ROOT,
              "<text x=\"4\" y=\"%d\">%s</text><rect x=\"180\" y=\"%d\" width=\"%.0f\""
                  + " height=\"%d\" fill=\"#bcd\"/><rect x=\"180\" y=\"%d\" width=\"%.0f\""
                  + " height=\"%d\" fill=\"#276\"/>%n",
              y + BAR_HEIGHT - 4,
              name,
              y,
              BAR_WIDTH * row.result().servedShare(),
              BAR_HEIGHT,
              y,
              BAR_WIDTH * row.result().onTimeShare(),
              BAR_HEIGHT));
      y += BAR_HEIGHT + 4;
    }
    return svg.append("<text x=\"180\" y=\"")
        .append(y + BAR_HEIGHT)
        .append("\">dark: in aim (first token within target); light: served</text></svg>\n")
        .toString();
  }
}
