package org.comfreygap.consensus;

/**
 * Thrown when the replica is not the leader or accepts no commands; nothing was appended.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class NotLeaderException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a detail message. */
  public NotLeaderException(String message) {
    super(message);
  }
}
