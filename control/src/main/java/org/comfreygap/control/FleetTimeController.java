package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.OptionalLong;
import org.comfreygap.decisions.FleetClock;
import org.comfreygap.decisions.MembershipView;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.runtime.ClockReading;
import org.comfreygap.runtime.SuspensionDetector;

/**
 * The fleet's time of day at the leader, from what processes state in their heartbeats.
 *
 * <p>Invariant: in a new term, and after a suspension of this instance, the time is not known until
 * so many processes have stated theirs that clocks of a third of them cannot decide it. Thread
 * safety: all methods are synchronized.
 */
@Singleton
final class FleetTimeController {

  private final SuspensionDetector suspension = new SuspensionDetector();
  private FleetClock clock = new FleetClock();
  private long term = -1;
  private long sinceNanos;
  private OptionalLong firstStatedNanos = OptionalLong.empty();
  private int expected;

  @Inject
  FleetTimeController() {}

  /** Records the time of day in a heartbeat. */
  synchronized void heartbeat(LeaderTerm leader, HeartbeatRequest request, long nowNanos) {
    begin(leader, nowNanos);
    if (request.isSetWallMillis()) {
      if (firstStatedNanos.isEmpty()) {
        firstStatedNanos = OptionalLong.of(nowNanos);
      }
      clock.stated(request.getIdentity().getProcessId(), request.getWallMillis(), nowNanos);
    }
  }

  /** Sets the number of processes that state their time of day. */
  synchronized void expect(int processes) {
    expected = processes;
  }

  /** Returns the fleet's time of day in Unix milliseconds; empty while it is not known. */
  synchronized OptionalLong millis(LeaderTerm leader, long nowNanos) {
    begin(leader, nowNanos);
    // Processes that start or find a new leader do so within that time of each other.
    boolean heardAll =
        firstStatedNanos.isPresent()
            && nowNanos - firstStatedNanos.getAsLong() >= MembershipView.SETTLING.toNanos();
    return heardAll ? clock.millis(expected * 2 / 3 + 1, nowNanos) : OptionalLong.empty();
  }

  private void begin(LeaderTerm leader, long nowNanos) {
    boolean trusted = suspension.isTrusted(sinceNanos, ClockReading.now());
    if (term != leader.term() || !trusted) {
      term = leader.term();
      sinceNanos = nowNanos;
      clock.reset();
      firstStatedNanos = OptionalLong.empty();
    }
  }
}
