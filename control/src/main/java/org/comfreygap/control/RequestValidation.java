package org.comfreygap.control;

import org.comfreygap.protocol.generated.InvalidCall;

/**
 * Bounds on the texts in calls, so that no caller makes the state grow without bound.
 *
 * <p>Thread safety: stateless.
 */
final class RequestValidation {

  private static final int MAX_TEXT = 512;

  private RequestValidation() {}

  /** Checks a name or id. */
  static void requireName(String field, String value) throws InvalidCall {
    if (value == null || value.isEmpty() || value.length() > MAX_TEXT) {
      String given = value == null ? "nothing" : value.length() + " characters";
      throw new InvalidCall(
          field + ": given " + given + ", expected 1 to " + MAX_TEXT + " characters");
    }
  }
}
