package org.comfreygap.runtime;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Records an event each time the control leader known to this process changes.
 *
 * <pre>{@code
 * leaderChanges.observed(control.leader());
 * }</pre>
 *
 * <p>Thread safety: not thread-safe.
 *
 * @since 0.3
 */
public final class LeaderChangeRecorder {

  private final EventLog events;
  private Optional<InetSocketAddress> known = Optional.empty();

  /** Creates a recorder without a known leader. */
  public LeaderChangeRecorder(EventLog events) {
    this.events = events;
  }

  /** Updates the known leader; empty when none responds. */
  public void observe(Optional<InetSocketAddress> leader) {
    if (!leader.equals(known)) {
      known = leader;
      events.record(
          RuntimeEvent.CONTROL_LEADER_CHANGED,
          Field.of("leader", leader.map(Addresses::text).orElse("none")));
    }
  }
}
