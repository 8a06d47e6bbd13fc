package org.comfreygap.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.decisions.LimitTolerance;
import org.comfreygap.settings.Fault;
import org.comfreygap.settings.FieldRule;
import org.comfreygap.settings.ObjectSchema;

/**
 * The settings file of a process, validated against a schema when it is read.
 *
 * <pre>{@code
 * ProcessSettings settings = ProcessSettings.load(path, GatewayMain.SCHEMA);
 * InetSocketAddress http = settings.address("http.address");
 * }</pre>
 *
 * <p>Invariant: every value satisfies its rule. Thread safety: immutable.
 *
 * @since 0.1
 */
public final class ProcessSettings {

  /** Environment variable with further fields as YAML; a field stands there or in the file. */
  public static final String MORE_SETTINGS = "COMFREYGAP_MORE_SETTINGS";

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

  private static final ObjectSchema PORT_BLOCK =
      ObjectSchema.builder()
          .required("host", FieldRule.text(255))
          .required("first", FieldRule.integer(1, 65_535))
          .required("last", FieldRule.integer(1, 65_535))
          .build();

  private static final ObjectSchema LIMIT_TOLERANCE =
      ObjectSchema.builder()
          .required("share", FieldRule.number(0, 10))
          .required("tokens", FieldRule.integer(0, 1_000_000_000_000L))
          .required("windowMillis", FieldRule.integer(100, 600_000))
          .build();

  private final JsonNode root;

  private ProcessSettings(JsonNode root) {
    this.root = root;
  }

  /**
   * Returns a schema builder with the fields common to all processes: {@code processId}, {@code
   * zone}, {@code adminAddress} (metrics, health, timeline), {@code control} (list of the Thrift
   * addresses of control instances) and {@code security} ({@code sharedKeyFile}, optional {@code
   * keyStore}, {@code trustStore} and {@code storePasswordFile} for TLS).
   */
  public static ObjectSchema.Builder commonSchema() {
    ObjectSchema security =
        ObjectSchema.builder()
            .required("sharedKeyFile", FieldRule.text(1_000))
            .optional("keyStore", FieldRule.text(1_000))
            .optional("trustStore", FieldRule.text(1_000))
            .optional("storePasswordFile", FieldRule.text(1_000))
            .build();
    return ObjectSchema.builder()
        .required("processId", FieldRule.name())
        .required("zone", FieldRule.name())
        .required("adminAddress", FieldRule.ipPort())
        .required("control", FieldRule.listOf(FieldRule.ipPort(), 64))
        .required("security", FieldRule.object(security))
        .optional("logLevel", FieldRule.oneOf(org.slf4j.event.Level.values()))
        .optional("seeds", FieldRule.listOf(FieldRule.ipPort(), 64))
        .optional("portBlock", FieldRule.object(PORT_BLOCK))
        .optional("limitTolerance", FieldRule.object(LIMIT_TOLERANCE));
  }

  /**
   * Reads and checks {@code file}.
   *
   * @throws InvalidSettingsException with every fault, when the file cannot be read or has faults
   */
  public static ProcessSettings load(Path file, ObjectSchema schema)
      throws InvalidSettingsException {
    return load(file, schema, Map.of());
  }

  /**
   * Reads and checks {@code file}; addresses that it omits are derived from its block of ports.
   *
   * @param blockPorts offsets in the block of ports by field name, see {@link PortBlock}
   * @throws InvalidSettingsException with every fault, when the file cannot be read or has faults
   */
  public static ProcessSettings load(
      Path file, ObjectSchema schema, Map<String, Integer> blockPorts)
      throws InvalidSettingsException {
    try {
      String more = System.getenv().getOrDefault(MORE_SETTINGS, "");
      return parse(file.toString(), Files.readString(file), more, schema, blockPorts);
    } catch (IOException e) {
      throw new InvalidSettingsException(
          file.toString(), List.of(new Fault("file", e.toString(), "a readable YAML file")));
    }
  }

  /**
   * Checks {@code yaml}.
   *
   * @param source name used in the error
   * @throws InvalidSettingsException with every fault
   */
  public static ProcessSettings parse(String source, String yaml, ObjectSchema schema)
      throws InvalidSettingsException {
    return parse(source, yaml, "", schema, Map.of());
  }

  /**
   * Checks {@code yaml} together with the fields of {@code more}.
   *
   * @param more a YAML object, or blank
   * @throws InvalidSettingsException with every fault
   */
  static ProcessSettings parse(
      String source, String yaml, String more, ObjectSchema schema, Map<String, Integer> blockPorts)
      throws InvalidSettingsException {
    JsonNode root;
    try {
      root = YAML.readTree(yaml);
      addFields(source, root, more);
    } catch (IOException e) {
      throw new InvalidSettingsException(
          source, List.of(new Fault("file", firstLine(e.getMessage()), "well-formed YAML")));
    }
    PortBlock.fill(root, blockPorts);
    List<Fault> faults = schema.check("", root == null ? MissingNode.getInstance() : root);
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(source, faults);
    }
    return new ProcessSettings(root);
  }

  /** Returns the string at the dotted {@code path}, which the schema requires. */
  public String text(String path) {
    return node(path).asText();
  }

  /** Returns the string at the dotted {@code path}, or empty when it is absent. */
  public Optional<String> optionalText(String path) {
    return optionalNode(path).map(JsonNode::asText);
  }

  /** Returns the integer at {@code path}, or {@code defaultValue} when it is absent. */
  public long integer(String path, long defaultValue) {
    return optionalNode(path).map(JsonNode::asLong).orElse(defaultValue);
  }

  /** Returns the boolean at {@code path}, or {@code defaultValue} when it is absent. */
  public boolean bool(String path, boolean defaultValue) {
    return optionalNode(path).map(JsonNode::asBoolean).orElse(defaultValue);
  }

  /** Returns the duration in milliseconds at {@code path}, or {@code defaultValue}. */
  public Duration millis(String path, Duration defaultValue) {
    return optionalNode(path).map(node -> Duration.ofMillis(node.asLong())).orElse(defaultValue);
  }

  /** Returns the list of strings at {@code path}; empty when it is absent. */
  public List<String> texts(String path) {
    List<String> values = new ArrayList<>();
    node(path).forEach(value -> values.add(value.asText()));
    return values;
  }

  /** Returns the socket address at {@code path}. */
  public InetSocketAddress address(String path) {
    return Addresses.parse(text(path));
  }

  /** Returns the list of socket addresses at {@code path}; empty when it is absent. */
  public List<InetSocketAddress> addresses(String path) {
    return texts(path).stream().map(Addresses::parse).toList();
  }

  /** Returns how far customers' limits may be exceeded; not at all by default. */
  public LimitTolerance limitTolerance() {
    return optionalNode("limitTolerance")
        .map(
            node ->
                new LimitTolerance(
                    node.get("share").asDouble(),
                    node.get("tokens").asLong(),
                    node.get("windowMillis").asDouble() / MILLIS_PER_SECOND))
        .orElse(LimitTolerance.NONE);
  }

  /** Returns the raw node at {@code path}, or empty when it is absent. */
  public Optional<JsonNode> optionalNode(String path) {
    JsonNode node = node(path);
    return node.isMissingNode() || node.isNull() ? Optional.empty() : Optional.of(node);
  }

  private JsonNode node(String path) {
    JsonNode node = root;
    for (String part : path.split("\\.")) {
      node = node.path(part);
    }
    return node;
  }

  private static void addFields(String source, JsonNode root, String more)
      throws IOException, InvalidSettingsException {
    if (more.isBlank()) {
      return;
    }
    JsonNode fields = YAML.readTree(more);
    List<Fault> faults = new ArrayList<>();
    if (!fields.isObject() || root == null || !root.isObject()) {
      faults.add(new Fault(MORE_SETTINGS, "no object", "an object beside one in the file"));
    } else {
      fields
          .fieldNames()
          .forEachRemaining(
              name -> {
                if (root.has(name)) {
                  faults.add(new Fault(name, "a field in " + MORE_SETTINGS + " too", "one field"));
                }
              });
    }
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(source, faults);
    }
    ((ObjectNode) root).setAll((ObjectNode) fields);
  }

  private static String firstLine(String message) {
    return message == null ? "nothing" : message.lines().findFirst().orElse("nothing");
  }
}
