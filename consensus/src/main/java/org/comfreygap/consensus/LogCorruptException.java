package org.comfreygap.consensus;

import java.io.IOException;

/**
 * Thrown when a synced part of the log or a snapshot is damaged or missing.
 *
 * <p>Recovery: stop the replica, keep its data folder for inspection, start it with an empty folder
 * under a new replica id and add that id as a member. Thread safety: immutable.
 *
 * @since 0.1
 */
public final class LogCorruptException extends IOException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a detail message. */
  public LogCorruptException(String message) {
    super(message);
  }
}
