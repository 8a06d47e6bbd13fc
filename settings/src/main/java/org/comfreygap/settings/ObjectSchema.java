package org.comfreygap.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fields of a JSON or YAML object with their rules. A check reports all faults at once.
 *
 * <pre>{@code
 * ObjectSchema limits =
 *     ObjectSchema.builder()
 *         .required("tokensPerSecond", FieldRule.integer(1, 1_000_000_000))
 *         .build();
 * List<Fault> faults = limits.check("/teams/a/customers/b/limits", node);
 * }</pre>
 *
 * <p>Invariant: fields that are not declared are faults. Thread safety: immutable.
 *
 * @since 0.1
 */
public final class ObjectSchema {

  private final Map<String, Field> fields;

  private ObjectSchema(Map<String, Field> fields) {
    this.fields = fields;
  }

  /** Starts an empty schema. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns every fault of {@code node}, located at {@code path}; empty when it is valid. */
  public List<Fault> check(String path, JsonNode node) {
    List<Fault> faults = new ArrayList<>();
    if (node == null || !node.isObject()) {
      faults.add(new Fault(path, FieldRule.given(node), "an object"));
      return faults;
    }
    fields.forEach((name, field) -> field.check(join(path, name), node.get(name), faults));
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!fields.containsKey(name)) {
                String expected = "one of the fields " + String.join(", ", fields.keySet());
                faults.add(new Fault(join(path, name), "an unknown field", expected));
              }
            });
    return faults;
  }

  private static String join(String path, String name) {
    if (path.isEmpty()) {
      return name;
    }
    return path.startsWith("/") && !path.contains(":") ? path + ":" + name : path + "." + name;
  }

  private record Field(FieldRule rule, boolean required) {

    void check(String path, JsonNode value, List<Fault> faults) {
      boolean absent = value == null || value.isNull();
      if (absent && required) {
        faults.add(new Fault(path, "nothing", "a value; the field is required"));
      } else if (!absent) {
        rule.check(path, value, faults::add);
      }
    }
  }

  /** Builds a schema. Not thread-safe. */
  public static final class Builder {

    private final Map<String, Field> fields = new LinkedHashMap<>();

    private Builder() {}

    /** Adds a field that must be present. */
    public Builder required(String name, FieldRule rule) {
      fields.put(name, new Field(rule, true));
      return this;
    }

    /** Adds a field that may be absent. */
    public Builder optional(String name, FieldRule rule) {
      fields.put(name, new Field(rule, false));
      return this;
    }

    /** Returns the schema. */
    public ObjectSchema build() {
      return new ObjectSchema(new LinkedHashMap<>(fields));
    }
  }
}
