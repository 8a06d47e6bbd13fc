package org.comfreygap.sidecar;

/**
 * Lease that grants this sidecar exclusive use of its endpoint.
 *
 * <p>Invariant: the lease expires after the lifetime granted by control, measured on the monotonic
 * clock from the moment the request was sent; control measures a longer lifetime from receipt.
 * Thread safety: all methods are synchronized.
 */
final class EndpointLease {

  private boolean granted;
  private long fencing;
  private long validUntilNanos;

  /** Records a grant. Returns true when it is a different lease than the one held before. */
  synchronized boolean recordGrant(long newFencing, long sentAtNanos, long lifetimeNanos) {
    boolean newLease = !granted || fencing != newFencing || validUntilNanos - sentAtNanos <= 0;
    granted = true;
    fencing = newFencing;
    validUntilNanos = sentAtNanos + lifetimeNanos;
    return newLease;
  }

  /** Records that another sidecar holds the lease. */
  synchronized void recordLoss() {
    granted = false;
  }

  /** Returns true while this sidecar may send work and commands. */
  synchronized boolean valid(long nowNanos) {
    return granted && validUntilNanos - nowNanos > 0;
  }

  /** Returns the fencing number for commands, 0 before the first grant. */
  synchronized long fencing() {
    return fencing;
  }
}
