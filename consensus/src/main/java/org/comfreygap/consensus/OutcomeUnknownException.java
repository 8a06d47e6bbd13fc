package org.comfreygap.consensus;

/**
 * Thrown when the outcome of a command or membership change is unknown, for example after a loss of
 * leadership; it may still be committed.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class OutcomeUnknownException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a detail message. */
  public OutcomeUnknownException(String message) {
    super(message);
  }
}
