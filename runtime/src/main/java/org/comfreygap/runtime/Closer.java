package org.comfreygap.runtime;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

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
 * fails. Thread safety: all methods are synchronized, except for {@link #progress}, which another
 * thread may call while resources are closed.
 *
 * @since 0.1
 */
public final class Closer implements AutoCloseable {

  private final Deque<Resource> resources = new ArrayDeque<>();
  private boolean closed;
  // Written under the lock only.
  private volatile Progress progress = new Progress("", Duration.ZERO, Optional.empty());

  /**
   * How far {@link #close} is.
   *
   * @param longest name of the resource whose close took longest; empty before the first one
   * @param longestTime how long it took
   * @param closing name of the resource that is being closed; empty when none is
   * @since 0.7
   */
  public record Progress(String longest, Duration longestTime, Optional<String> closing) {}

  private record Resource(String name, AutoCloseable handle) {}

  /** Registers {@code resource} and returns it; closes it immediately if this is closed. */
  public <T extends AutoCloseable> T register(T resource) {
    return register(resource.getClass().getSimpleName(), resource);
  }

  /**
   * Registers {@code resource} under a name for {@link #progress}.
   *
   * @since 0.7
   */
  public synchronized <T extends AutoCloseable> T register(String name, T resource) {
    if (closed) {
      closeOne(new Resource(name, resource), null);
    } else {
      resources.push(new Resource(name, resource));
    }
    return resource;
  }

  /**
   * Returns how far the close is; it may be called while another thread closes.
   *
   * @since 0.7
   */
  public Progress progress() {
    return progress;
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

  private IllegalStateException closeOne(Resource resource, IllegalStateException failure) {
    long begin = System.nanoTime();
    Progress before = progress;
    progress = new Progress(before.longest(), before.longestTime(), Optional.of(resource.name()));
    try {
      resource.handle().close();
    } catch (Exception e) {
      if (e instanceof InterruptedException) {
        Thread.currentThread().interrupt();
      }
      if (failure == null) {
        return new IllegalStateException("failed to close " + resource.handle(), e);
      }
      failure.addSuppressed(e);
    } finally {
      Duration time = Duration.ofNanos(System.nanoTime() - begin);
      boolean longer = time.compareTo(before.longestTime()) > 0;
      progress =
          new Progress(
              longer ? resource.name() : before.longest(),
              longer ? time : before.longestTime(),
              Optional.empty());
    }
    return failure;
  }
}
