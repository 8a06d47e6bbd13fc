package org.comfreygap.consensus;

/**
 * The replica is not the leader; the command was certainly not appended.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class NotLeaderException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the error. */
  public NotLeaderException(String message) {
    super(message);
  }
}
