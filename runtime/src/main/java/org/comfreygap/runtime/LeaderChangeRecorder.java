package org.comfreygap.runtime;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Records which control instance leads, as a process learns it, once for each change.
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

  /** Creates a record that knows no leader. */
  public LeaderChangeRecorder(EventLog events) {
    this.events = events;
  }

  /** Takes note of the leader that answers now; empty when none does. */
  public void observe(Optional<InetSocketAddress> leader) {
    if (!leader.equals(known)) {
      known = leader;
      events.record(
          RuntimeEvent.CONTROL_LEADER_CHANGED,
          Field.of("leader", leader.map(Addresses::text).orElse("none")));
    }
  }
}
