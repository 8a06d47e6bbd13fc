package org.comfreygap.decisions;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Detects the head of a response that holds the beginning of another response.
 *
 * <p>A faulty endpoint may write the beginning of an earlier response before the expected one. The
 * two are read as one head, which may combine the status of the one with the id of the other. The
 * status line of the second one then is inside the first one's status line, a field name or a field
 * value, unless the bytes before it were no response at all.
 *
 * <pre>{@code
 * boolean merged = MergedHead.isSuspected("HTTP/1.1", "OK", fields, Set.of("request-id"));
 * }</pre>
 *
 * <p>Invariant: a head that consists of a status line and fields of one response is not suspected,
 * as long as it repeats no field that may occur once. Thread safety: stateless.
 *
 * @since 0.6
 */
public final class MergedHead {

  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");
  private static final Pattern FIELD_NAME = Pattern.compile("[!#$%&'*+\\-.^_`|~0-9A-Za-z]+");

  private MergedHead() {}

  /**
   * Returns true when the head may hold bytes of two responses.
   *
   * @param version protocol version of the status line, as received
   * @param reason reason phrase of the status line
   * @param fields names and values of the header fields
   * @param singleFields lower-case names of fields of which a sound head has at most one
   */
  public static boolean isSuspected(
      String version,
      String reason,
      Iterable<Map.Entry<String, String>> fields,
      Set<String> singleFields) {
    if (!VERSION.matcher(version).matches() || STATUS_LINE.matcher(reason).find()) {
      return true;
    }
    Set<String> seen = new HashSet<>();
    for (Map.Entry<String, String> field : fields) {
      String name = field.getKey().toLowerCase(Locale.ROOT);
      boolean repeated = singleFields.contains(name) && !seen.add(name);
      if (repeated || !isSound(name, field.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean isSound(String name, String value) {
    return FIELD_NAME.matcher(name).matches()
        && value.indexOf('\r') < 0
        && !(value.contains("HTTP/") && STATUS_LINE.matcher(value).find());
  }
}
