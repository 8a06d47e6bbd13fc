package org.comfreygap.cli;

/**
 * Exit codes of the command line.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public enum ExitCode {
  /** The command did what it was asked to do. */
  OK(0),
  /** Control could not be reached, or any failure without a code of its own. */
  UNAVAILABLE(1),
  /** The command line is wrong. */
  USAGE(2),
  /** Another change came first (HTTP 409). */
  CONFLICT(3),
  /** The change has faults (HTTP 400 or 422). */
  INVALID(4),
  /** Nothing stands at the path (HTTP 404). */
  NOT_FOUND(5),
  /** The token is missing, unknown, or bound to another subtree (HTTP 401 or 403). */
  FORBIDDEN(6),
  /** The change is committed but not yet in force at every live process. */
  NOT_IN_FORCE(7);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the process exit code. */
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
