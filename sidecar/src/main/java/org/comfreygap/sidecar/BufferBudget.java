package org.comfreygap.sidecar;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Divides the memory for responses kept for reattachment among the current attempts.
 *
 * <p>Thread safety: all methods may be called from any thread.
 */
final class BufferBudget {

  // A quarter of the 64 MiB heap that the design sets for a sidecar holds at most 1,024 attempts of
  // 8 KiB; undelivered bytes are limited by the demand signalled to the endpoint.
  private static final int TOTAL_BYTES = 12 * 1024 * 1024;
  private static final int MIN_BYTES = 8 * 1024;
  private static final int MAX_BYTES = 256 * 1024;

  private final AtomicInteger attempts = new AtomicInteger();

  /** Adds an attempt. */
  void addAttempt() {
    attempts.incrementAndGet();
  }

  /** Removes an attempt whose output was released. */
  void removeAttempt() {
    attempts.decrementAndGet();
  }

  /** Returns the number of delivered bytes that each attempt may keep. */
  int bytesPerAttempt() {
    int share = TOTAL_BYTES / Math.max(1, attempts.get());
    return Math.max(MIN_BYTES, Math.min(MAX_BYTES, share));
  }
}
