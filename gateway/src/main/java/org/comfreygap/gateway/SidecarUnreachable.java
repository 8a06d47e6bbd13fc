package org.comfreygap.gateway;

/**
 * No byte of a message was sent to a sidecar, since no connection to it could be had.
 *
 * <p>Thread safety: immutable.
 */
final class SidecarUnreachable extends Exception {

  private static final long serialVersionUID = 1L;

  SidecarUnreachable(String message, Throwable cause) {
    super(message, cause);
  }
}
