package org.comfreygap.cli;

/**
 * Exit codes of the command line.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** Control was unreachable, or the failure has no specific code. */
  UNAVAILABLE(1),
  /** The command line is invalid. */
  USAGE(2),
  /** The change conflicts with another one (HTTP 409). */
  CONFLICT(3),
  /** The change is invalid (HTTP 400 or 422). */
  INVALID(4),
  /** Nothing exists at the path (HTTP 404). */
  NOT_FOUND(5),
  /** The token is missing, unknown, or bound to another subtree (HTTP 401 or 403). */
  FORBIDDEN(6),
  /** The change is committed but not yet in force at every live process. */
  NOT_IN_FORCE(7);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the numeric exit code of the process. */
  public int code() {
    return code;
  }

  /** Returns the exit code for an HTTP status of 300 or above. */
  static ExitCode ofStatus(int status) {
    return switch (status) {
      case 400, 422 -> INVALID;
      case 401, 403 -> FORBIDDEN;
      case 404 -> NOT_FOUND;
      case 409 -> CONFLICT;
      default -> UNAVAILABLE;
    };
  }
}
