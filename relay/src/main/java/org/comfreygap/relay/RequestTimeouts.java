package org.comfreygap.relay;

import java.time.Duration;
import java.util.Optional;
import org.comfreygap.decisions.PlacementPolicy;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.RequestKind;

/**
 * How long a request may wait before it is sent, from the time in which its answer should begin.
 *
 * <p>Thread safety: stateless.
 */
final class RequestTimeouts {

  /** Longest wait for credit, as a share of the time in which the answer should begin. */
  static final double CREDIT_SHARE_OF_TARGET = 0.5;

  /** Target where the route states none. */
  static final Duration DEFAULT_TARGET = Duration.ofMillis(400);

  /** Time that a stream may take; at slow engines some took 5.4 s. */
  static final Duration MAX_STREAM_DURATION = Duration.ofSeconds(6);

  /**
   * Silence of an engine after which a stream goes on at another one. Callers leave after two
   * seconds, and the other engine has to read the prompt first.
   */
  static final Duration MAX_STREAM_STALL = Duration.ofMillis(1_400);

  /** Far above a run of a plain service with its queue, and a part of a caller's second. */
  static final long MIN_INACTIVITY_MILLIS = 350;

  /** Slower runs than this many times the usual are rare, one in a thousand. */
  static final double SLOW_FACTOR = 6;

  private RequestTimeouts() {}

  /** Returns the longest wait for credit. */
  static Duration creditTimeout(Route route) {
    return Duration.ofNanos((long) (targetLatency(route).toNanos() * CREDIT_SHARE_OF_TARGET));
  }

  /** Returns the longest time until an attempt is sent. */
  static Duration placementTimeout(Route route) {
    return PlacementPolicy.maxPlacementTime(targetLatency(route));
  }

  /**
   * Returns the time without a word of an endpoint after which a request is tried elsewhere; empty
   * when it may not be.
   *
   * @param usualMillis time in which the endpoint usually answers a plain request
   */
  static Optional<Duration> inactivityTimeout(Route route, double usualMillis) {
    if (!route.idempotent()) {
      return Optional.empty();
    }
    return Optional.of(
        route.kind() == RequestKind.STREAM
            ? MAX_STREAM_STALL
            : Duration.ofMillis((long) Math.max(MIN_INACTIVITY_MILLIS, usualMillis * SLOW_FACTOR)));
  }

  private static Duration targetLatency(Route route) {
    long millis = route.targetLatencyMillis();
    return millis > 0 ? Duration.ofMillis(millis) : DEFAULT_TARGET;
  }
}
