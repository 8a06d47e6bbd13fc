package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The open connections of gateways, kept alive with beats.
 *
 * <p>Thread safety: all methods may be called from any thread.
 */
@Singleton
final class AttemptStreams {

  /** Maximum time between frames. */
  static final Duration BEAT_INTERVAL = Duration.ofMillis(500);

  /** Time between checks of the streams. */
  static final Duration CHECK_PERIOD = Duration.ofMillis(50);

  private final Set<AttemptStream> streams = ConcurrentHashMap.newKeySet();

  @Inject
  AttemptStreams() {}

  void add(AttemptStream stream) {
    streams.add(stream);
  }

  void remove(AttemptStream stream) {
    streams.remove(stream);
  }

  /** Returns the number of open connections. */
  int open() {
    return streams.size();
  }

  /** Closes all connections. */
  void closeAll() {
    streams.forEach(AttemptStream::onReplaced);
  }

  /** Sends a beat on each connection without a frame for the interval. */
  void beat() {
    // Beats are sent one check period early, so that waiting for the next check does not exceed the
    // interval.
    long before = System.nanoTime() - BEAT_INTERVAL.minus(CHECK_PERIOD).toNanos();
    streams.forEach(stream -> stream.beat(before));
  }
}
