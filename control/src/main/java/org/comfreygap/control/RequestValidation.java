package org.comfreygap.control;

import org.comfreygap.protocol.generated.InvalidCall;

/**
 * Checks the length of texts in RPC requests, so that callers cannot grow the state without bound.
 *
 * <p>Thread safety: stateless.
 */
final class RequestValidation {

  private static final int MAX_CHARACTERS = 512;

  private RequestValidation() {}

  /** Fails when a name or id is missing, empty or too long. */
  static void requireName(String field, String value) throws InvalidCall {
    if (value == null || value.isEmpty() || value.length() > MAX_CHARACTERS) {
      String given = value == null ? "nothing" : value.length() + " characters";
      throw new InvalidCall(
          field + ": given " + given + ", expected 1 to " + MAX_CHARACTERS + " characters");
    }
  }
}
