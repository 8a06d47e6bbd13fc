package org.comfreygap.gateway;

/**
 * Thrown when a connection to a sidecar yields no further valid frame: it was silent, was closed
 * early, or carried a malformed frame or a frame of another attempt.
 *
 * <p>Thread safety: immutable.
 */
final class FrameStreamBroken extends Exception {

  private static final long serialVersionUID = 1L;

  FrameStreamBroken(String message, Throwable cause) {
    super(message, cause);
  }
}
