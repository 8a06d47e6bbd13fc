package org.comfreygap.runtime;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources and closes them in reverse order of registration.
 *
 * <pre>{@code
 * Closer closer = new Closer();
 * ThriftServer server = closer.register(ThriftServer.start(...));
 * closer.close();
 * }</pre>
 *
 * <p>Invariant: every registered resource is closed exactly once, even when closing another one
 * fails. Thread safety: all methods are synchronized.
 *
 * @since 0.1
 */
public final class Closer implements AutoCloseable {

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();
  private boolean closed;

  /** Registers {@code resource} and returns it; closes it immediately if this is closed. */
  public synchronized <T extends AutoCloseable> T register(T resource) {
    if (closed) {
      closeOne(resource, null);
    } else {
      resources.push(resource);
    }
    return resource;
  }

  /**
   * Closes all resources.
   *
   * @throws IllegalStateException with the first failure as cause and the others suppressed
   */
  @Override
  public synchronized void close() {
    closed = true;
    IllegalStateException failure = null;
    while (!resources.isEmpty()) {
      failure = closeOne(resources.pop(), failure);
    }
    if (failure != null) {
      throw failure;
    }
  }

  private static IllegalStateException closeOne(
      AutoCloseable resource, IllegalStateException failure) {
    try {
      resource.close();
    } catch (Exception e) {
      if (e instanceof InterruptedException) {
        Thread.currentThread().interrupt();
      }
      if (failure == null) {
        return new IllegalStateException("failed to close " + resource, e);
      }
      failure.addSuppressed(e);
    }
    return failure;
  }
}
