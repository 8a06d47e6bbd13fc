package org.comfreygap.sidecar;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Divides the memory for answers kept for re-attachment among the attempts there are.
 *
 * <p>Thread safety: all methods may be called from any thread.
 */
final class BufferBudget {

  // A quarter of the 64 MiB heap that the design sets for a sidecar holds at most 1,024 attempts of
  // 8 KiB; unsent bytes are bounded by the demand given to the endpoint.
  private static final int TOTAL_BYTES = 12 * 1024 * 1024;
  private static final int MIN_BYTES = 8 * 1024;
  private static final int MAX_BYTES = 256 * 1024;

  private final AtomicInteger attempts = new AtomicInteger();

  /** Counts an attempt. */
  void addAttempt() {
    attempts.incrementAndGet();
  }

  /** Discounts an attempt whose output was released. */
  void removeAttempt() {
    attempts.decrementAndGet();
  }

  /** Returns how many bytes already sent an attempt may keep. */
  int bytesPerAttempt() {
    int share = TOTAL_BYTES / Math.max(1, attempts.get());
    return Math.max(MIN_BYTES, Math.min(MAX_BYTES, share));
  }
}
