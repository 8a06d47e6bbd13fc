package org.comfreygap.gateway;

import java.time.Duration;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Counts and limits the requests in progress, and lets a planned shutdown wait for them.
 *
 * <p>Invariant: at most {@code maxActive} requests are in progress. Thread safety: thread-safe.
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

  /** Registers a request; returns false when the limit is reached. */
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

  /** Unregisters a request; must follow each {@link #tryEnter} that returned true. */
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

  /** Starts draining: callers are asked to open their next connection to another gateway. */
  void startDraining() {
    draining = true;
  }

  /** Returns true once draining has started. */
  boolean draining() {
    return draining;
  }

  /** Waits until no request is in progress; returns false when {@code timeout} elapses first. */
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
