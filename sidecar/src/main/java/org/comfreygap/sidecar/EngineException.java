package org.comfreygap.sidecar;

/**
 * A call to the endpoint failed.
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

  /** What the failure says about the call. */
  public enum Kind {
    /** No byte of the request was sent: the connection could not be made. */
    NOT_SENT,
    /** The connection broke or timed out after bytes may have been sent. */
    BROKEN,
    /** The answer ended without its end marker. */
    TRUNCATED,
    /** The answer carries another request id. */
    MISMATCHED,
    /** The endpoint answered, but not in the documented form. */
    MALFORMED
  }

  /** Returns the kind. */
  public Kind kind() {
    return kind;
  }
}
