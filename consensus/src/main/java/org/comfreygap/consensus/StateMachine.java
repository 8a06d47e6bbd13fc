package org.comfreygap.consensus;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/**
 * The state that the replicated log drives.
 *
 * <p>Invariant: {@link #apply} is deterministic: equal commands in equal order give equal state and
 * answers at every replica. Thread safety: all methods are called by one thread.
 *
 * @since 0.1
 */
public interface StateMachine {

  /**
   * Applies a committed command.
   *
   * @param index log index of the command; rises by one or more with each call
   * @return the answer for the proposer
   */
  byte[] apply(long index, byte[] command);

  /** Writes the whole state. */
  void writeSnapshot(OutputStream out) throws IOException;

  /** Replaces the whole state with that of {@link #writeSnapshot}. */
  void readSnapshot(InputStream in) throws IOException;
}
