package org.comfreygap.settings;

import java.util.Objects;

/**
 * One violation of a settings rule: where it is, what was given and what was expected.
 *
 * <p>Invariant: no component is null. Thread safety: immutable.
 *
 * @param path location of the value, for example {@code /platform/store:loadsPerSecond}
 * @param given the value as written, or {@code nothing} when it is missing
 * @param expected what the rule accepts
 * @since 0.1
 */
public record Fault(String path, String given, String expected) {

  public Fault {
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(given, "given");
    Objects.requireNonNull(expected, "expected");
  }

  /** Returns a one-line message for operators. */
  public String message() {
    return path + ": given " + given + ", expected " + expected;
  }
}
