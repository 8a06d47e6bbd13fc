package org.comfreygap.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * A day of the users' bench that once broke a rule.
 *
 * <p>Invariant: it is identified by a seed or by a name that the bench generated. Thread safety:
 * immutable.
 *
 * @param site site file, relative to the folder of the sites
 * @param day standard day that was varied, or the name of a drawn day
 * @param seed seed of the variation; empty for a drawn day
 * @param rule rule that was broken
 * @param cause cause of the failure, in one line
 * @since 0.3
 */
record RegressionDay(String site, String day, Optional<String> seed, String rule, String cause) {

  private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

  /** Result of a replayed day. */
  enum Verdict {
    /** No rule was broken. */
    HELD,
    /** The listed rule was broken again. */
    BROKEN,
    /** Another rule was broken. */
    OTHER_RULE,
    /** The day was not completed. */
    NOT_PLAYED;

    /** Returns the verdict as printed. */
    String printedName() {
      return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
  }

  /**
   * Reads the list of days.
   *
   * @throws IOException when the file cannot be read or an entry lacks a field
   */
  static List<RegressionDay> read(Path file) throws IOException {
    List<RegressionDay> days = new ArrayList<>();
    for (JsonNode entry : YAML.readTree(Files.readString(file))) {
      boolean drawn = entry.hasNonNull("name");
      for (String field : List.of("site", drawn ? "name" : "day", "rule", "cause")) {
        if (!entry.path(field).isTextual()) {
          throw new IOException(file + ": given " + entry + ", expected text as " + field);
        }
      }
      if (!drawn && !entry.path("seed").canConvertToLong()) {
        throw new IOException(file + ": given " + entry + ", expected a number as seed");
      }
      days.add(
          new RegressionDay(
              entry.path("site").asText(),
              entry.path(drawn ? "name" : "day").asText(),
              drawn ? Optional.empty() : Optional.of(entry.path("seed").asText()),
              entry.path("rule").asText(),
              entry.path("cause").asText()));
    }
    return days;
  }

  /** Returns the bench's arguments to replay the day. */
  List<String> benchArguments(Path sites, int jobs) {
    List<String> arguments = new ArrayList<>();
    arguments.add(seed.isPresent() ? "run" : "replay");
    arguments.add(sites.resolve(site).toString());
    arguments.add(day);
    seed.ifPresent(value -> arguments.addAll(List.of("--seed", value)));
    arguments.addAll(List.of("--jobs", String.valueOf(jobs)));
    arguments.addAll(List.of("--why", "regression: " + rule + ", " + cause));
    return arguments;
  }

  /** Returns the verdict according to the day's journal entry, which may be absent. */
  Verdict verdict(Optional<JsonNode> entry) {
    JsonNode dayEntry =
        entry.map(node -> node.path("days").path(0)).orElse(MissingNode.getInstance());
    if (!dayEntry.path("rules").isObject()) {
      return Verdict.NOT_PLAYED;
    }
    Iterator<String> broken = dayEntry.path("rules").fieldNames();
    if (!broken.hasNext()) {
      return Verdict.HELD;
    }
    return dayEntry.path("rules").has(rule) ? Verdict.BROKEN : Verdict.OTHER_RULE;
  }
}
