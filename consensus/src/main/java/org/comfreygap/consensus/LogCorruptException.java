package org.comfreygap.consensus;

import java.io.IOException;

/**
 * A part of the log or a snapshot that had been synced is damaged or missing.
 *
 * <p>Recovery: stop the replica, keep its data folder for inspection, start it with an empty folder
 * under a new replica id and add that id as a member. Thread safety: immutable.
 *
 * @since 0.1
 */
public final class LogCorruptException extends IOException {

  private static final long serialVersionUID = 1L;

  /** Creates the error. */
  public LogCorruptException(String message) {
    super(message);
  }
}
