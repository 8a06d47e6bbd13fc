package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.comfreygap.decisions.HedgePolicy;
import org.comfreygap.decisions.LoopPauses;
import org.comfreygap.decisions.PauseWatch;
import org.comfreygap.decisions.RetryBudgets;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * The services and state that all exchanges of a gateway share.
 *
 * <p>Thread safety: used on the event loop only; the suppliers may be backed by other threads.
 *
 * @param demands load of the pools whose number of endpoints is ordered
 * @param hedging decides on second attempts; empty when there are none
 * @param pauses of which pools the streams pause too long
 * @param loopPauses whether input may wait because the event loop did not run
 * @param durations how long the requests of each route last
 * @param heldBytes bytes that unfinished responses hold together
 * @param usage requests that endpoints began, by window of time
 * @param tables routing tables in force
 * @param settingsConfirmed true while the settings are confirmed recently enough for requests with
 *     a key
 * @param stopDeadline monotonic time at which a planned stop in progress ends, in nanoseconds
 * @param knownGateways number of gateways that share the retry budgets; empty when not known
 */
record RelayContext(
    EventLoop loop,
    RequestDialect dialect,
    EndpointDirectory directory,
    Placement placement,
    WaitQueue waitQueue,
    PoolDemands demands,
    CreditManager credit,
    CrashDetector crashes,
    EndpointLimits limits,
    StreamRegister streams,
    RetryBudgets retryBudgets,
    Optional<HedgePolicy> hedging,
    PauseWatch pauses,
    LoopPauses loopPauses,
    LearnedDurations durations,
    Outages outages,
    HeldBytes heldBytes,
    UsageCounter usage,
    EventLog events,
    RelayMetrics metrics,
    Supplier<RouteTable> tables,
    BooleanSupplier settingsConfirmed,
    Supplier<OptionalLong> stopDeadline,
    Supplier<OptionalInt> knownGateways) {

  /** Counts a retry at a pool if its budget allows it. */
  boolean tryRetry(String pool, long nowNanos) {
    boolean allowed = retryBudgets.tryRetry(pool, knownGateways.get(), nowNanos);
    metrics.count(allowed ? "retries" : "retries.refused", pool);
    return allowed;
  }

  /** Counts a retry that was allowed earlier at the time at which it is written. */
  boolean recountRetry(String pool, long countedNanos, long nowNanos) {
    boolean allowed = retryBudgets.recount(pool, countedNanos, knownGateways.get(), nowNanos);
    if (!allowed) {
      metrics.count("retries.refused", pool);
    }
    return allowed;
  }

  /** Records that an endpoint sent bytes that belong to no request. */
  void surplusReceived(String instanceId, int responses) {
    metrics.count("responses.distrusted", "surplus");
    events.record(
        RelayEvent.SURPLUS_RECEIVED,
        Field.of("endpoint", instanceId),
        Field.of("responses", responses));
  }

  /** Returns true when the budget of a pool allows a retry. */
  boolean hasRetry(String pool, long nowNanos) {
    return retryBudgets.remaining(pool, knownGateways.get(), nowNanos) >= 1;
  }
}
