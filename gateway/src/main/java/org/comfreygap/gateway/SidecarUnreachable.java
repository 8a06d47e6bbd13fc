package org.comfreygap.gateway;

/**
 * Thrown when no connection to a sidecar could be opened, or the sidecar rejected the message; the
 * message was not processed.
 *
 * <p>Thread safety: immutable.
 */
final class SidecarUnreachable extends Exception {

  private static final long serialVersionUID = 1L;

  SidecarUnreachable(String message, Throwable cause) {
    super(message, cause);
  }
}
