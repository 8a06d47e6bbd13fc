package org.comfreygap.runtime;

/**
 * Thrown when no control instance responded in time, or control rejected the call as invalid.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class ControlUnavailableException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with the last failure as cause. */
  public ControlUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
