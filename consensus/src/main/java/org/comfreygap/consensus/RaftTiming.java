package org.comfreygap.consensus;

import java.time.Duration;

/**
 * Timing constants of the replicated log.
 *
 * <p>Invariant: the lease is shorter than the lower election timeout, so that a lease has expired
 * on the leader's clock before any voter that acknowledged it may vote for another replica. Thread
 * safety: immutable.
 *
 * @param heartbeat interval between heartbeats of the leader
 * @param electionMin lower bound of the election timeout; a voter rejects vote requests for this
 *     long after its last contact with the leader
 * @param electionMax upper bound of the election timeout
 * @param lease length of the leader lease from the send time of the acknowledged round
 * @param diskStall a leader whose disk has not completed a write for this long steps down
 * @since 0.1
 */
public record RaftTiming(
    Duration heartbeat,
    Duration electionMin,
    Duration electionMax,
    Duration lease,
    Duration diskStall) {

  /** The default timing. */
  public static final RaftTiming STANDARD =
      new RaftTiming(
          Duration.ofMillis(75),
          Duration.ofMillis(300),
          Duration.ofMillis(600),
          Duration.ofMillis(225),
          Duration.ofSeconds(2));

  /** Checks the order of the durations. */
  public RaftTiming {
    if (lease.compareTo(electionMin) >= 0
        || heartbeat.compareTo(lease) >= 0
        || electionMin.compareTo(electionMax) >= 0) {
      throw new IllegalArgumentException(
          "given heartbeat "
              + heartbeat
              + ", lease "
              + lease
              + ", electionMin "
              + electionMin
              + ", electionMax "
              + electionMax
              + ", expected heartbeat < lease < electionMin < electionMax");
    }
  }
}
