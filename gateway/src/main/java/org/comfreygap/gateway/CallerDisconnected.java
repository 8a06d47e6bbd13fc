package org.comfreygap.gateway;

/**
 * The caller closed its connection or no longer reads its answer.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class CallerDisconnected extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the error with the failure of the connection as cause. */
  public CallerDisconnected(String message, Throwable cause) {
    super(message, cause);
  }
}
