package org.comfreygap.consensus;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/**
 * The application state to which committed commands are applied.
 *
 * <p>Invariant: {@link #apply} is deterministic: the same commands in the same order produce the
 * same state and results at every replica. Thread safety: all methods are called by one thread.
 *
 * @since 0.1
 */
public interface StateMachine {

  /**
   * Applies a committed command.
   *
   * @param index log index of the command; increases by one or more with each call
   * @return the result for the proposer
   */
  byte[] apply(long index, byte[] command);

  /** Writes the whole state. */
  void writeSnapshot(OutputStream out) throws IOException;

  /** Replaces the whole state with one written by {@link #writeSnapshot}. */
  void readSnapshot(InputStream in) throws IOException;
}
