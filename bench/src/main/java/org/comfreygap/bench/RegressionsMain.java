package org.comfreygap.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Replays the days that once broke a rule, {@code bin/regressions}, and prints one verdict per
 * line.
 *
 * <p>Thread safety: used once.
 *
 * @since 0.3
 */
@Command(
    name = "regressions",
    description =
        "Replays days of the users' bench that once broke a rule, for example:"
            + " regressions --sites FOLDER BENCH")
public final class RegressionsMain {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Path JOURNAL = Path.of("journal");

  @Option(
      name = {"--list"},
      description = "File with the days")
  private String list = "deploy/days/regressions.yaml";

  @Required
  @Option(
      name = {"--sites"},
      description = "Folder with the site files")
  private String sites;

  @Option(
      name = {"--only"},
      description = "Replays only days whose site contains this text")
  private String only = "";

  @Option(
      name = {"--jobs"},
      description = "Cores to use; default: 2")
  private int jobs = 2;

  @Required
  @Arguments(
      title = {"BENCH"},
      description = "Program of the bench")
  private List<String> bench = new ArrayList<>();

  @Option(
      name = {"--help", "-h"},
      description = "Shows this text")
  private boolean help;

  /** Exits with 0 if no day broke a rule, with 1 otherwise, and with 2 for wrong usage. */
  public static void main(String[] args) throws InterruptedException {
    if (Set.of(args).contains("--help") || Set.of(args).contains("-h")) {
      System.out.println(
          "usage: regressions --sites FOLDER [--list FILE] [--only TEXT] [--jobs N] BENCH");
      return;
    }
    try {
      boolean held = SingleCommand.singleCommand(RegressionsMain.class).parse(args).run();
      System.exit(held ? 0 : 1);
    } catch (ParseException | IOException e) {
      System.err.println("regressions: " + e.getMessage());
      System.exit(2);
    }
  }

  private boolean run() throws IOException, InterruptedException {
    boolean held = true;
    for (RegressionDay day : RegressionDay.read(Path.of(list))) {
      if (!day.site().contains(only)) {
        continue;
      }
      RegressionDay.Verdict verdict = day.verdict(replay(day));
      held &= verdict == RegressionDay.Verdict.HELD;
      System.out.printf(
          "%-10s %s %s %s: %s (%s)%n",
          verdict.printedName(),
          day.site(),
          day.day(),
          day.seed().map(seed -> "--seed " + seed).orElse(""),
          day.rule(),
          day.cause());
    }
    return held;
  }

  /** Replays a day and returns its journal entry. */
  private Optional<JsonNode> replay(RegressionDay day) throws IOException, InterruptedException {
    Set<Path> before = entries();
    List<String> command = new ArrayList<>(bench);
    command.addAll(day.benchArguments(Path.of(sites), jobs));
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    process.waitFor();
    Set<Path> added = entries();
    added.removeAll(before);
    Optional<Path> newest = added.stream().max(Comparator.naturalOrder());
    return newest.isPresent()
        ? Optional.of(MAPPER.readTree(newest.get().toFile()))
        : Optional.empty();
  }

  private static Set<Path> entries() throws IOException {
    if (!Files.isDirectory(JOURNAL)) {
      return new TreeSet<>();
    }
    try (Stream<Path> files = Files.list(JOURNAL)) {
      return new TreeSet<>(files.filter(file -> file.toString().endsWith(".json")).toList());
    }
  }
}
