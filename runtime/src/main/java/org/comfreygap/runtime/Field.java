package org.comfreygap.runtime;

/**
 * A named value of an event.
 *
 * <p>Invariants: fields never carry a caller's key; a value is at most {@link #MAX_VALUE_LENGTH}
 * characters long, of which the rest is left out. Thread safety: immutable.
 *
 * @param name field name in camel case
 * @param value text form of the value
 * @since 0.1
 */
public record Field(String name, String value) {

  /** Longest value of a field, in characters: the timeline keeps the fields of many events. */
  public static final int MAX_VALUE_LENGTH = 2_048;

  private static final String LEFT_OUT = "...";

  /** Creates a field, whose value is cut at {@link #MAX_VALUE_LENGTH}. */
  public Field {
    if (value.length() > MAX_VALUE_LENGTH) {
      value = value.substring(0, MAX_VALUE_LENGTH - LEFT_OUT.length()) + LEFT_OUT;
    }
  }

  /** Returns a field with the text form of {@code value}. */
  public static Field of(String name, Object value) {
    return new Field(name, String.valueOf(value));
  }
}
