package org.comfreygap.settings;

import java.util.List;
import java.util.Optional;

/**
 * A path in the settings tree, such as {@code /teams/blue/customers/press}.
 *
 * <p>Invariant: at least one segment, and each segment is a name. Thread safety: immutable.
 *
 * @since 0.1
 */
public final class SettingsPath implements Comparable<SettingsPath> {

  private final String text;
  private final List<String> segments;

  private SettingsPath(String text, List<String> segments) {
    this.text = text;
    this.segments = segments;
  }

  /** Returns the path written as {@code text}, or empty when it is malformed. */
  public static Optional<SettingsPath> parse(String text) {
    if (!text.startsWith("/") || text.length() > 1_000) {
      return Optional.empty();
    }
    List<String> segments = split(text);
    boolean valid =
        !segments.isEmpty()
            && segments.stream().allMatch(segment -> FieldRule.NAME.matcher(segment).matches());
    return valid ? Optional.of(new SettingsPath(text, segments)) : Optional.empty();
  }

  /**
   * Returns the path made of {@code segments}.
   *
   * @throws IllegalArgumentException when a segment is not a name
   */
  public static SettingsPath of(String... segments) {
    String text = "/" + String.join("/", segments);
    return parse(text)
        .orElseThrow(() -> new IllegalArgumentException("given " + text + ", expected a path"));
  }

  /** Returns the names between the slashes. */
  public List<String> segments() {
    return segments;
  }

  /** Returns the name at {@code index}, counted from 0. */
  public String segment(int index) {
    return segments.get(index);
  }

  /** Returns true when this path equals {@code prefix} or lies below it. */
  public boolean startsWith(String prefix) {
    return prefix.equals("/")
        || text.equals(prefix)
        || text.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
  }

  @Override
  public int compareTo(SettingsPath other) {
    return text.compareTo(other.text);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SettingsPath path && path.text.equals(text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  @Override
  public String toString() {
    return text;
  }

  static List<String> split(String text) {
    return List.of(text.substring(1).split("/", -1));
  }
}
