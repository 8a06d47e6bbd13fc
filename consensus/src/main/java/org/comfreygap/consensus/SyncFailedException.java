package org.comfreygap.consensus;

import java.io.IOException;

/**
 * Thrown when a sync fails: it is unknown which of the written data is durable, even if a repeated
 * sync succeeds.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class SyncFailedException extends IOException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a detail message and its cause. */
  public SyncFailedException(String message, Throwable cause) {
    super(message, cause);
  }
}
