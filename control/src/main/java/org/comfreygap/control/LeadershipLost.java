package org.comfreygap.control;

/**
 * Thrown when this instance does not lead, or lost the leadership before the outcome of a command
 * was known.
 *
 * <p>Thread safety: immutable.
 */
final class LeadershipLost extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean outcomeUnknown;

  LeadershipLost(String message, boolean outcomeUnknown, Throwable cause) {
    super(message, cause);
    this.outcomeUnknown = outcomeUnknown;
  }

  /** Returns true when the command may still be committed. */
  boolean outcomeUnknown() {
    return outcomeUnknown;
  }
}
