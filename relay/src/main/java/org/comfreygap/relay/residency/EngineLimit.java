package org.comfreygap.relay.residency;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.EndpointLimit;
import org.comfreygap.decisions.EndpointLimit.Statement;
import org.comfreygap.decisions.StatedLimit;
import org.comfreygap.protocol.generated.LimitStatement;
import org.comfreygap.relay.HttpPeerClient;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * The request limit that an engine states to its sidecar, in reports, health checks and responses
 * to commands.
 *
 * <p>Invariant: a response that states no limit ends none, since an engine may state it only to
 * requests; gateways see that it has ended. Thread safety: used on the event loop only.
 */
final class EngineLimit {

  private final EngineDialect dialect;
  private final EventLog events;
  private final EndpointLimit limit = new EndpointLimit();
  private Runnable onChange = () -> {};

  EngineLimit(EngineDialect dialect, EventLog events) {
    this.dialect = dialect;
    this.events = events;
  }

  /** Reads the limit from all responses to a client's calls. */
  void observe(HttpPeerClient client) {
    client.onResponse(this::read);
  }

  /** Calls {@code listener} when the limit has changed. */
  void onChange(Runnable listener) {
    onChange = listener;
  }

  /** Forgets the limit: the engine has started again. */
  void restarted() {
    limit.restarted();
  }

  /** Returns true when the engine has stated a limit since it started. */
  boolean isLimited() {
    return limit.isLimited();
  }

  /** Returns the newest statement for gateways; empty without one. */
  Optional<LimitStatement> message(long nowNanos) {
    return limit
        .newest()
        .map(
            newest ->
                new LimitStatement(
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - newest.sentNanos()),
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - newest.readNanos()))
                    .setPerSecond(newest.limit().perSecond()));
  }

  /** Applies what a response states. */
  void read(HttpPeerClient.Response response, long sentNanos) {
    StatedLimit stated = dialect.readLimit(response);
    if (stated.isLimit() && limit.apply(new Statement(stated, sentNanos, System.nanoTime()))) {
      events.record(ResidencyEvent.ENGINE_LIMITED, Field.of("perSecond", stated.perSecond()));
      onChange.run();
    }
  }
}
