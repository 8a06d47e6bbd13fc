package org.comfreygap.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The figures of a run in the order in which they are printed.
 *
 * <p>Thread safety: none.
 *
 * @since 0.1
 */
final class Report {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, Double> values = new LinkedHashMap<>();
  private long violations;

  void add(String name, double value) {
    values.put(name, value);
  }

  void addAll(String prefix, Map<String, Double> metrics) {
    metrics.forEach((name, value) -> add(prefix + name, value));
  }

  void violations(RunObservations observations) {
    for (Violation violation : Violation.values()) {
      long count = violation.count(observations);
      violations += count;
      add(violation.printedName(), count);
    }
  }

  long violations() {
    return violations;
  }

  /** Prints one {@code name value} per line. */
  void print(PrintStream out) {
    values.forEach((name, value) -> out.println(name + " " + format(value)));
    out.flush();
  }

  /** Writes one JSON object; a value that could not be measured is null. */
  void writeJson(Path file) throws IOException {
    Map<String, Object> json = new LinkedHashMap<>();
    values.forEach((name, value) -> json.put(name, Double.isFinite(value) ? value : null));
    Files.writeString(file, JSON.writerWithDefaultPrettyPrinter().writeValueAsString(json) + "\n");
  }

  static String format(double value) {
    if (!Double.isFinite(value)) {
      return "n/a";
    }
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? Long.toString((long) value)
        : String.format(Locale.ROOT, "%.4f", value);
  }
}
