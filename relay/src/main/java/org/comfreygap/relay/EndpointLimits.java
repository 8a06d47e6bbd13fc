package org.comfreygap.relay;

import java.util.List;
import java.util.OptionalDouble;
import org.comfreygap.decisions.EndpointLimit.Statement;
import org.comfreygap.decisions.StatedLimit;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * The request limits that endpoints state in their responses.
 *
 * <p>Thread safety: used on the event loop only.
 */
final class EndpointLimits {

  private final EventLog events;
  private final RelayMetrics metrics;

  EndpointLimits(EventLog events, RelayMetrics metrics) {
    this.events = events;
    this.metrics = metrics;
  }

  /**
   * Records what the head of a response states.
   *
   * @param sentNanos time at which its request was sent
   */
  void responseRead(Endpoint endpoint, ResponseHead head, long sentNanos, long nowNanos) {
    boolean misdirected = head.verdict() == ResponseHead.Verdict.MISDIRECTED;
    boolean ownResponse = head.instanceId().map(endpoint.instanceId()::equals).orElse(!misdirected);
    if (!ownResponse) {
      return;
    }
    if (head.limit().kind() == StatedLimit.Kind.INVALID) {
      metrics.count("endpoint.limits.invalid", "malformed");
      events.recordRateLimited(
          RelayEvent.ENDPOINT_LIMIT_INVALID,
          nowNanos,
          () ->
              List.of(
                  Field.of("endpoint", endpoint.instanceId()),
                  Field.of("expected", "one decimal number of requests a second"),
                  Field.of("inForce", text(endpoint.limit().perSecond()))));
      return;
    }
    apply(endpoint, new Statement(head.limit(), sentNanos, nowNanos));
  }

  private void apply(Endpoint endpoint, Statement statement) {
    String before = text(endpoint.limit().perSecond());
    if (endpoint.limit().apply(statement)) {
      events.record(
          RelayEvent.ENDPOINT_LIMIT_CHANGED,
          Field.of("endpoint", endpoint.instanceId()),
          Field.of("before", before),
          Field.of("perSecond", text(endpoint.limit().perSecond())));
    }
  }

  private static String text(OptionalDouble perSecond) {
    return perSecond.isPresent() ? String.valueOf(perSecond.getAsDouble()) : "none";
  }
}
