package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.comfreygap.control.DutyState.Holding;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Makes the leader the holder of duties and says when it may act as such.
 *
 * <p>Invariants: a fencing number is committed before it is used; a new holder waits for the lease
 * time before its first call, by its monotonic clock, so that calls of the holder before it have
 * ended. Thread safety: all methods are synchronized.
 */
@Singleton
final class DutyHolder {

  private final Leadership leadership;
  private final ControlState state;
  private final DutySettings settings;
  private final EventLog events;
  private Optional<Holding> mine = Optional.empty();
  private long takenNanos;

  @Inject
  DutyHolder(Leadership leadership, ControlState state, DutySettings settings, EventLog events) {
    this.leadership = leadership;
    this.state = state;
    this.settings = settings;
    this.events = events;
  }

  /** Takes the duties in a new term. */
  synchronized void maintain(LeaderTerm term, long nowNanos) throws LeadershipLost {
    if (holds(term)) {
      return;
    }
    // After the loss of the whole log the numbers go on above those given before it.
    long leastFencing = TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis());
    Holding taken =
        leadership.commit(
            term,
            millis -> new Command.TakeDuties(millis, term.term(), settings.holder(), leastFencing),
            Holding.class);
    if (taken.term() != term.term() || !taken.holder().equals(settings.holder())) {
      throw new LeadershipLost("a later leader has taken the duties", false, null);
    }
    mine = Optional.of(taken);
    takenNanos = Math.max(nowNanos, System.nanoTime());
    events.record(
        ControlEvent.DUTIES_TAKEN,
        Field.of("holder", settings.holder()),
        Field.of("fencing", taken.fencing()),
        Field.of("waitMillis", settings.lease().toMillis()));
  }

  /** Returns under what number this instance may call; empty while it may not. */
  synchronized Optional<Holding> acting(LeaderTerm term, long nowNanos) {
    boolean waited = nowNanos - takenNanos >= settings.lease().toNanos();
    return holds(term) && waited ? mine : Optional.empty();
  }

  /** Returns true when a call may be written now: this instance leads, and no other one acts. */
  boolean mayWrite(LeaderTerm term, Holding holding) {
    boolean newest = state.readDuties(DutyState::holding).filter(holding::equals).isPresent();
    return newest && leadership.holdsLease(term);
  }

  private boolean holds(LeaderTerm term) {
    return mine.isPresent() && mine.get().term() == term.term();
  }
}
