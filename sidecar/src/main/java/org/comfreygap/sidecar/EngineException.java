package org.comfreygap.sidecar;

/**
 * Thrown when a call to the endpoint fails.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class EngineException extends Exception {

  private static final long serialVersionUID = 1L;

  private final Kind kind;

  /** Creates the exception. */
  public EngineException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /** Category of the failure. */
  public enum Kind {
    /** No byte of the request was sent: the connection could not be established. */
    NOT_SENT,
    /** The connection broke or timed out after bytes may have been sent. */
    BROKEN,
    /** The response ended without its end marker. */
    TRUNCATED,
    /** The response carries the id of another request. */
    MISMATCHED,
    /** The response exceeds a limit: a line, the head, the interim responses or the body. */
    TOO_LARGE,
    /** The response does not have the documented form. */
    MALFORMED
  }

  /** Returns the kind. */
  public Kind kind() {
    return kind;
  }
}
