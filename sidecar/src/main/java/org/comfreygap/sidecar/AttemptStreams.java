package org.comfreygap.sidecar;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The open connections of gateways; keeps each from going silent.
 *
 * <p>Thread safety: all methods may be called from any thread.
 */
@Singleton
final class AttemptStreams {

  /** Longest time without a frame. */
  static final Duration BEAT_INTERVAL = Duration.ofMillis(500);

  /** Time between looks at the streams. */
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

  /** Cuts all connections. */
  void closeAll() {
    streams.forEach(AttemptStream::onReplaced);
  }

  /** Sends beats where nothing was sent for the interval. */
  void beat() {
    // One check period early, so that the interval is not exceeded by waiting for the next check.
    long before = System.nanoTime() - BEAT_INTERVAL.minus(CHECK_PERIOD).toNanos();
    streams.forEach(stream -> stream.beat(before));
  }
}
