package org.comfreygap.runtime;

/**
 * A named value of an event.
 *
 * <p>Invariant: fields never carry a caller's key. Thread safety: immutable.
 *
 * @param name field name in camel case
 * @param value text form of the value
 * @since 0.1
 */
public record Field(String name, String value) {

  /** Returns a field with the text form of {@code value}. */
  public static Field of(String name, Object value) {
    return new Field(name, String.valueOf(value));
  }
}
