package org.comfreygap.sidecar;

/**
 * The lease under which this sidecar alone may use its endpoint.
 *
 * <p>Invariant: the lease is valid only until the lifetime that control granted, counted on the
 * monotonic clock from the moment the request was sent; control counts it from receipt and longer.
 * Thread safety: all methods are synchronized.
 */
final class EndpointLease {

  private boolean granted;
  private long fencing;
  private long validUntilNanos;

  /** Records a grant. Returns true when it is another lease than the one held before. */
  synchronized boolean granted(long newFencing, long sentAtNanos, long lifetimeNanos) {
    boolean another = !granted || fencing != newFencing || validUntilNanos - sentAtNanos <= 0;
    granted = true;
    fencing = newFencing;
    validUntilNanos = sentAtNanos + lifetimeNanos;
    return another;
  }

  /** Records that another sidecar holds the lease. */
  synchronized void recordLoss() {
    granted = false;
  }

  /** Returns true while this sidecar may send work and commands. */
  synchronized boolean valid(long nowNanos) {
    return granted && validUntilNanos - nowNanos > 0;
  }

  /** Returns the fencing number to put on commands, 0 before the first grant. */
  synchronized long fencing() {
    return fencing;
  }
}
