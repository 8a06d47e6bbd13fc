package org.comfreygap.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.comfreygap.decisions.PlacementPolicy;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.RequestKind;

/**
 * Time limits of a request, derived from the target latency of its route's first output.
 *
 * <p>Thread safety: stateless.
 */
final class RequestTimeouts {

  /** Maximum wait for credit, as a share of the target latency. */
  static final double CREDIT_SHARE_OF_TARGET = 0.5;

  /** Target latency where the route states none. */
  static final Duration DEFAULT_TARGET = Duration.ofMillis(400);

  /** Duration of a stream that is assumed until enough of its route are known. */
  static final Duration ASSUMED_STREAM = Duration.ofSeconds(6);

  /** Maximum duration of another request, where its timeouts are longer. */
  static final Duration MAX_PLAIN_DURATION = Duration.ofSeconds(6);

  /**
   * Inactivity of an engine after which a stream resumes at another one. Callers leave after two
   * seconds, and the other engine has to process the prompt first.
   */
  static final Duration MAX_STREAM_STALL = Duration.ofMillis(1_400);

  /** Far above the latency of a plain service with its queue, and a part of a caller's second. */
  static final long MIN_INACTIVITY_MILLIS = 350;

  /** Multiple of the usual latency that one run in a thousand exceeds. */
  static final double SLOW_FACTOR = 6;

  private RequestTimeouts() {}

  /**
   * Returns the time within which a request ends.
   *
   * @param patienceMillis time that its caller waits, where stated
   * @param stream time that a stream of the route is expected to last at most
   */
  static Duration maxDuration(Route route, OptionalLong patienceMillis, Duration stream) {
    if (route.kind() == RequestKind.STREAM) {
      return stream;
    }
    long patience = patienceMillis.orElse(Long.MAX_VALUE);
    long millis = Math.min(route.timeoutMillis(), patience);
    return Duration.ofMillis(Math.min(millis, MAX_PLAIN_DURATION.toMillis()));
  }

  /** Returns the maximum wait for credit. */
  static Duration creditTimeout(Route route) {
    return Duration.ofNanos((long) (targetLatency(route).toNanos() * CREDIT_SHARE_OF_TARGET));
  }

  /** Returns the maximum time until an attempt is sent. */
  static Duration placementTimeout(Route route) {
    return PlacementPolicy.maxPlacementTime(targetLatency(route));
  }

  /**
   * Returns the inactivity of an endpoint after which a request is repeated elsewhere; empty when
   * it must not be.
   *
   * @param usualMillis usual latency of plain requests at the endpoint
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

  /** Returns the time in which the response of a route should begin. */
  static Duration targetLatency(Route route) {
    long millis = route.targetLatencyMillis();
    return millis > 0 ? Duration.ofMillis(millis) : DEFAULT_TARGET;
  }
}
