package org.comfreygap.consensus;

import java.io.IOException;

/**
 * A sync failed: what the disk holds of the data written before is unknown, also after a repeat.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class SyncFailedException extends IOException {

  private static final long serialVersionUID = 1L;

  /** Creates the error. */
  public SyncFailedException(String message, Throwable cause) {
    super(message, cause);
  }
}
