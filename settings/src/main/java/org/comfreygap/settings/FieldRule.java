package org.comfreygap.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Checks one value of a settings document and reports every fault in it.
 *
 * <pre>{@code
 * FieldRule port = FieldRule.integer(1, 65_535);
 * port.check("http.port", node, faults::add);
 * }</pre>
 *
 * <p>Invariant: a rule reports at least one fault exactly when the value is not acceptable. Thread
 * safety: rules are stateless.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface FieldRule {

  /** Pattern of names of teams, customers, adapters, versions, zones, endpoints and processes. */
  Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

  /** Pattern of an IPv4 address and port, or a bracketed IPv6 address and port. */
  Pattern IP_PORT =
      Pattern.compile(
          "(?:(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)(?:\\.(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}"
              + "|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");

  /**
   * Checks {@code value} and passes each fault to {@code faults}.
   *
   * @param path location of the value, used in the faults
   */
  void check(String path, JsonNode value, Consumer<Fault> faults);

  /** Accepts strings for which {@code accepted} holds. */
  static FieldRule text(String expected, Predicate<String> accepted) {
    return simple(expected, value -> value.isTextual() && accepted.test(value.textValue()));
  }

  /** Accepts any non-empty string of at most {@code maxLength} characters. */
  static FieldRule text(int maxLength) {
    return text(
        "a non-empty string of at most " + maxLength + " characters",
        value -> !value.isEmpty() && value.length() <= maxLength);
  }

  /** Accepts names: letters, digits, dot, underscore and hyphen, at most 128 characters. */
  static FieldRule name() {
    return text("a name matching " + NAME.pattern(), value -> NAME.matcher(value).matches());
  }

  /** Accepts two names joined by a slash, such as {@code team/customer}. */
  static FieldRule qualifiedName() {
    return text(
        "two names joined by '/'",
        value -> {
          String[] parts = value.split("/", -1);
          return parts.length == 2 && Arrays.stream(parts).allMatch(p -> NAME.matcher(p).matches());
        });
  }

  /** Accepts an IP address and a port from 0 to 65,535, such as {@code 127.0.0.1:8080}. */
  static FieldRule ipPort() {
    return text(
        "an IP address and port such as 127.0.0.1:8080",
        value -> {
          var matcher = IP_PORT.matcher(value);
          return matcher.matches() && Integer.parseInt(matcher.group(1)) <= 65_535;
        });
  }

  /** Accepts whole numbers from {@code min} to {@code max}, both included. */
  static FieldRule integer(long min, long max) {
    return simple(
        "a whole number from " + min + " to " + max,
        value ->
            value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= min
                && value.longValue() <= max);
  }

  /** Accepts numbers from {@code min} to {@code max}, both included. */
  static FieldRule number(double min, double max) {
    return simple(
        "a number from " + min + " to " + max,
        value -> value.isNumber() && value.doubleValue() >= min && value.doubleValue() <= max);
  }

  /** Accepts {@code true} and {@code false}. */
  static FieldRule bool() {
    return simple("true or false", JsonNode::isBoolean);
  }

  /** Accepts the names of {@code values} in lower case. */
  static FieldRule oneOf(Enum<?>... values) {
    List<String> names = Arrays.stream(values).map(v -> v.name().toLowerCase(Locale.ROOT)).toList();
    String expected = "one of " + names.stream().collect(Collectors.joining(", "));
    return text(expected, names::contains);
  }

  /** Accepts arrays of at most {@code maxItems} values that each satisfy {@code item}. */
  static FieldRule listOf(FieldRule item, int maxItems) {
    return (path, value, faults) -> {
      if (!value.isArray() || value.size() > maxItems) {
        faults.accept(new Fault(path, given(value), "a list of at most " + maxItems + " values"));
        return;
      }
      for (int i = 0; i < value.size(); i++) {
        item.check(path + "[" + i + "]", value.get(i), faults);
      }
    };
  }

  /** Accepts objects that satisfy {@code schema}. */
  static FieldRule object(ObjectSchema schema) {
    return (path, value, faults) -> schema.check(path, value).forEach(faults);
  }

  /** Returns a short text form of {@code value} for a fault. */
  static String given(JsonNode value) {
    if (value == null || value.isMissingNode()) {
      return "nothing";
    }
    String text = value.toString();
    return text.length() <= 80 ? text : text.substring(0, 77) + "...";
  }

  private static FieldRule simple(String expected, Predicate<JsonNode> accepted) {
    return (path, value, faults) -> {
      if (!accepted.test(value)) {
        faults.accept(new Fault(path, given(value), expected));
      }
    };
  }
}
