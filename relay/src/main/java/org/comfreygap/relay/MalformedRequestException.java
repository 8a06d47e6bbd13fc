package org.comfreygap.relay;

/**
 * Thrown when the head of a request violates the protocol between callers and the gateway.
 *
 * @since 0.2
 */
public final class MalformedRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the error; the message says what was given and what was expected. */
  public MalformedRequestException(String message) {
    super(message);
  }
}
