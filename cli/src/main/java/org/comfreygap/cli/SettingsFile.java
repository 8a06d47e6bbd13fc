package org.comfreygap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.comfreygap.settings.SettingsPath;

/**
 * A YAML file that maps paths to documents, for {@code settings apply} and {@code settings diff}.
 *
 * <pre>{@code
 * /teams/blue: {displayName: Blue}
 * /teams/blue/customers/press: {}
 * }</pre>
 *
 * <p>Thread safety: stateless.
 */
final class SettingsFile {

  private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

  private SettingsFile() {}

  /**
   * Returns the documents by path, in path order.
   *
   * @throws CommandException when the file cannot be read or a path is malformed
   */
  static Map<String, JsonNode> read(Path file) throws CommandException {
    JsonNode root;
    try {
      root = YAML.readTree(Files.readString(file));
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, "cannot read " + file + ": " + e.getMessage(), e);
    }
    if (root == null || !root.isObject()) {
      throw new CommandException(
          ExitCode.INVALID, file + ": expected a mapping from paths to documents");
    }
    Map<String, JsonNode> documents = new TreeMap<>();
    for (Map.Entry<String, JsonNode> field : root.properties()) {
      if (SettingsPath.parse(field.getKey()).isEmpty()) {
        throw new CommandException(
            ExitCode.INVALID, file + ": given " + field.getKey() + ", expected a settings path");
      }
      documents.put(field.getKey(), field.getValue());
    }
    return documents;
  }
}
