package org.comfreygap.relay;

import java.util.concurrent.TimeUnit;
import org.comfreygap.runtime.Field;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.RequestKind;

/**
 * Measures the longest pause between the parts of one request's response.
 *
 * <p>Invariant: a stream is recorded once, and only if it has brought two parts. Thread safety:
 * used on the event loop only.
 */
final class PauseRecorder {

  private final RelayContext relay;
  private long lastNanos;
  private long longestNanos;
  private int parts;

  PauseRecorder(RelayContext relay) {
    this.relay = relay;
  }

  /** Records that a part of the response was received. */
  void dataReceived(long nowNanos) {
    if (parts > 0) {
      longestNanos = Math.max(longestNanos, nowNanos - lastNanos);
    }
    lastNanos = nowNanos;
    parts++;
  }

  /** Records the end of the response. */
  void ended(RouteDecision decision, long nowNanos) {
    Route route = decision.route();
    if (parts < 2 || route.kind() != RequestKind.STREAM || route.maxGapMillis() <= 0) {
      return;
    }
    parts = 0;
    boolean tooLong = longestNanos > TimeUnit.MILLISECONDS.toNanos(route.maxGapMillis());
    if (relay.pauses().streamEnded(decision.pool(), tooLong, nowNanos)) {
      relay
          .events()
          .record(
              RelayEvent.PAUSES_TOO_LONG,
              Field.of("pool", decision.pool()),
              Field.of("allowedMillis", route.maxGapMillis()));
    }
  }
}
