package org.comfreygap.gateway;

import java.time.Duration;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Counts the requests in progress, bounds them, and lets a planned stop wait for their end.
 *
 * <p>Invariant: at most {@code maxActive} requests are in progress. Thread safety: any thread may
 * call.
 */
final class InFlightRequests {

  private final int maxActive;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition idle = lock.newCondition();
  private int active;
  private volatile boolean draining;

  InFlightRequests(int limit) {
    this.maxActive = limit;
  }

  /** Enters a request; returns false when there are too many. */
  boolean tryEnter() {
    lock.lock();
    try {
      if (active >= maxActive) {
        return false;
      }
      active++;
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** Leaves; follows each {@link #tryEnter} that returned true. */
  void leave() {
    lock.lock();
    try {
      active--;
      if (active == 0) {
        idle.signalAll();
      }
    } finally {
      lock.unlock();
    }
  }

  /** Returns the number of requests in progress. */
  int active() {
    lock.lock();
    try {
      return active;
    } finally {
      lock.unlock();
    }
  }

  /** From now on callers are told to open their next connection elsewhere. */
  void startDraining() {
    draining = true;
  }

  /** Returns true once the drain has begun. */
  boolean draining() {
    return draining;
  }

  /** Waits until no request is in progress; returns false when {@code timeout} was too short. */
  boolean awaitIdle(Duration timeout) throws InterruptedException {
    long remainingNanos = timeout.toNanos();
    lock.lock();
    try {
      while (active > 0 && remainingNanos > 0) {
        remainingNanos = idle.awaitNanos(remainingNanos);
      }
      return active == 0;
    } finally {
      lock.unlock();
    }
  }
}
