package org.comfreygap.consensus;

/**
 * Leadership was lost before the outcome of a command was known; it may still be committed.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class OutcomeUnknownException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the error. */
  public OutcomeUnknownException(String message) {
    super(message);
  }
}
