package org.comfreygap.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Output formats for results.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public enum OutputFormat {
  /** Human-readable tables and {@code name: value} lines. */
  TEXT {
    @Override
    String render(JsonNode result) {
      if (result.isArray()) {
        return table(result);
      }
      StringBuilder text = new StringBuilder();
      result
          .fields()
          .forEachRemaining(
              field -> {
                JsonNode value = field.getValue();
                boolean rows = value.isArray() && value.size() > 0 && value.get(0).isObject();
                text.append(field.getKey()).append(rows ? ":\n" : ": ");
                text.append(rows ? table(value) : cell(value)).append('\n');
              });
      return text.toString().stripTrailing();
    }
  },
  /** Indented JSON. */
  JSON {
    @Override
    String render(JsonNode result) {
      try {
        return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(result);
      } catch (JsonProcessingException e) {
        throw new IllegalStateException("cannot serialize the result as JSON", e);
      }
    }
  };

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Formats {@code result}. */
  abstract String render(JsonNode result);

  private static String table(JsonNode rows) {
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
    List<List<String>> lines = new ArrayList<>();
    lines.add(new ArrayList<>(columns));
    rows.forEach(row -> lines.add(columns.stream().map(name -> cell(row.path(name))).toList()));
    int[] widths = new int[columns.size()];
    lines.forEach(
        line -> {
          for (int i = 0; i < widths.length; i++) {
            widths[i] = Math.max(widths[i], line.get(i).length());
          }
        });
    StringBuilder text = new StringBuilder();
    for (List<String> line : lines) {
      StringBuilder row = new StringBuilder();
      for (int i = 0; i < widths.length; i++) {
        row.append(line.get(i)).append(" ".repeat(widths[i] - line.get(i).length() + 2));
      }
      text.append(row.toString().stripTrailing()).append('\n');
    }
    return text.toString().stripTrailing();
  }

  private static String cell(JsonNode value) {
    if (value.isMissingNode() || value.isNull()) {
      return "-";
    }
    return value.isTextual() ? value.textValue() : value.toString();
  }
}
