package org.comfreygap.gateway;

/**
 * Thrown when the caller closed its connection or no longer reads the response.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class CallerDisconnected extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception; {@code cause} is the failure of the connection, or null. */
  public CallerDisconnected(String message, Throwable cause) {
    super(message, cause);
  }
}
