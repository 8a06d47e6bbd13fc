package org.comfreygap.runtime;

/**
 * No control leader answered within the time allowed, or control refused the call as invalid.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class ControlUnavailableException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the error with the last failure as cause. */
  public ControlUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
