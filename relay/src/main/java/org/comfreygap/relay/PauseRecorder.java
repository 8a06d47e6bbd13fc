package org.comfreygap.relay;

import java.util.concurrent.TimeUnit;
import org.comfreygap.runtime.Field;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.RequestKind;

/**
 * Watches the pauses between the parts of one request's response.
 *
 * <p>Invariant: a stream counts once, from its second part on, and so does its first pause that is
 * too long. Thread safety: used on the event loop only.
 */
final class PauseRecorder {

  private final RelayContext relay;
  private long lastNanos;
  private int parts;
  private boolean paused;

  PauseRecorder(RelayContext relay) {
    this.relay = relay;
  }

  /** Records that a part of the response was received. */
  void dataReceived(RouteDecision decision, long nowNanos) {
    Route route = decision.route();
    if (route.kind() != RequestKind.STREAM || route.maxGapMillis() <= 0) {
      return;
    }
    parts++;
    if (parts == 2) {
      relay.pauses().streamBegan(decision.pool(), nowNanos);
    }
    long allowed = TimeUnit.MILLISECONDS.toNanos(route.maxGapMillis());
    if (parts > 1 && !paused && nowNanos - lastNanos > allowed) {
      paused = true;
      recordPause(decision, nowNanos);
    }
    lastNanos = nowNanos;
  }

  private void recordPause(RouteDecision decision, long nowNanos) {
    if (relay.pauses().streamPaused(decision.pool(), nowNanos)) {
      relay
          .events()
          .record(
              RelayEvent.PAUSES_TOO_LONG,
              Field.of("pool", decision.pool()),
              Field.of("allowedMillis", decision.route().maxGapMillis()));
    }
  }
}
