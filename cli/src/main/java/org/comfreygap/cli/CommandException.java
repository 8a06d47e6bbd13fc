package org.comfreygap.cli;

/**
 * Thrown when a command fails; carries the exit code of the process.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class CommandException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /** Creates an exception without a cause. */
  public CommandException(ExitCode exitCode, String message) {
    this(exitCode, message, null);
  }

  /** Creates an exception with a cause. */
  public CommandException(ExitCode exitCode, String message, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
  }

  /** Returns the exit code of the process. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
