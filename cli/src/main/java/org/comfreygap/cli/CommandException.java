package org.comfreygap.cli;

/**
 * A command that could not do what it was asked to do.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class CommandException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /** Creates the failure. */
  public CommandException(ExitCode exitCode, String message) {
    this(exitCode, message, null);
  }

  /** Creates the failure with a cause. */
  public CommandException(ExitCode exitCode, String message, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
  }

  /** Returns the exit code of the process. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
