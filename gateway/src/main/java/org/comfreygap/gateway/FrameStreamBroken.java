package org.comfreygap.gateway;

/**
 * The connection of an attempt gave no further frame that can be trusted: it was silent, cut, ended
 * early, or carried a frame that does not belong to the attempt.
 *
 * <p>Thread safety: immutable.
 */
final class FrameStreamBroken extends Exception {

  private static final long serialVersionUID = 1L;

  FrameStreamBroken(String message, Throwable cause) {
    super(message, cause);
  }
}
