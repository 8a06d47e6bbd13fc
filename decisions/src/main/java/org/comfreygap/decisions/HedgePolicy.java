package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Collections;
import java.util.EnumSet;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.comfreygap.settings.RequestKind;

/**
 * Decides when a request whose first attempt is slow gets a second one at another endpoint.
 *
 * <p>A second attempt is work beside work in progress. It is therefore sent only while it can still
 * be in time, while places are free, and within both the operator's share of the requests and a
 * part of the retry budget; the other part stays for requests whose attempt has failed.
 *
 * <pre>{@code
 * policy.requested("app", now);
 * OptionalLong delay = policy.delayNanos("app", RequestKind.SAFE, now);
 * // after that time without output, and once more when the second attempt is written:
 * if (policy.decide(first, room, retries, later).sends()) { openConnection(); }
 * if (policy.write(first, retries, written).sends()) { send(); }
 * }</pre>
 *
 * <p>Invariants: in any window the second attempts at a pool stay within the share of the requests
 * counted here; none is allowed that would leave less than {@link #KEPT_FOR_RETRIES} of the retry
 * budget. Thread safety: not thread-safe.
 *
 * @since 0.8
 */
public final class HedgePolicy {

  /** Window in which the operator's share holds; wide enough for a hundredth of a few requests. */
  public static final Duration SHARE_WINDOW = Duration.ofSeconds(30);

  /** Part of the retry budget that is left to retries of failed attempts. */
  public static final double KEPT_FOR_RETRIES = 0.5;

  /** Share of a pool's places below which no second attempt is sent. */
  public static final double MIN_FREE_SHARE = 0.25;

  /** Kinds of requests that may be repeated, if their route allows it. */
  public static final Set<RequestKind> REPEATABLE =
      Collections.unmodifiableSet(EnumSet.of(RequestKind.SAFE, RequestKind.STREAM));

  private static final double MEDIAN = 0.5;

  private final Limits limits;
  private final HedgeDelay delay = new HedgeDelay();
  private final RetryBudgets share;

  /** Creates a policy that knows no requests yet. */
  public HedgePolicy(Limits limits, long startNanos) {
    this.limits = limits;
    this.share = new RetryBudgets(limits.share(), 0, SHARE_WINDOW, startNanos);
  }

  /**
   * What the operator allows.
   *
   * @param share second attempts for each request of the allowed kinds, at most
   * @param minDelay time for which the first attempt is awaited at least
   * @param quantile share of the attempts that are faster than one that is called slow
   * @param kinds kinds of requests that may get a second attempt
   */
  public record Limits(double share, Duration minDelay, double quantile, Set<RequestKind> kinds) {}

  /**
   * The request and its first attempt.
   *
   * @param awaited true while the attempt is sent and has brought no useful output
   * @param suspect true when the request may have crashed an endpoint
   * @param runsLeft true when the route allows another run beside the first attempt
   * @param targetNanos target latency of the first output; 0 for none
   */
  public record First(
      String pool,
      RequestKind kind,
      boolean awaited,
      boolean suspect,
      boolean runsLeft,
      long arrivedNanos,
      long deadlineNanos,
      long targetNanos) {}

  /**
   * The room for a second attempt.
   *
   * @param alternative {@link HedgeVerdict#SEND}, or why there is no other endpoint to send to
   * @param waiting requests that wait for an endpoint
   * @param free free places of the pool
   * @param places places of the pool
   */
  public record Room(HedgeVerdict alternative, int waiting, int free, int places) {}

  /**
   * The retry budget of the pool.
   *
   * @param left retries that it allows now
   * @param allowed retries that it allows in its window, those left included
   */
  public record Retries(double left, double allowed) {}

  /** Returns true when requests of this kind may get a second attempt. */
  public boolean covers(RequestKind kind) {
    return REPEATABLE.contains(kind) && limits.kinds().contains(kind);
  }

  /** Counts a request of a covered kind. */
  public void requested(String pool, long nowNanos) {
    share.requested(pool, nowNanos);
  }

  /** Records the time until the first output of an attempt, or until it was given up. */
  public void recordOutput(String pool, RequestKind kind, long nanos, long nowNanos) {
    delay.record(pool, kind, nanos, nowNanos);
  }

  /** Returns the time after which an attempt without output is slow; empty when not known. */
  public OptionalLong delayNanos(String pool, RequestKind kind, long nowNanos) {
    OptionalLong learned = delay.quantileNanos(pool, kind, limits.quantile(), nowNanos);
    return learned.isEmpty()
        ? learned
        : OptionalLong.of(Math.max(learned.getAsLong(), limits.minDelay().toNanos()));
  }

  /** Decides whether a second attempt is begun, at the end of the delay. */
  public HedgeVerdict decide(First first, Room room, Retries retries, long nowNanos) {
    if (room.waiting() > 0) {
      return HedgeVerdict.REQUESTS_WAIT;
    }
    if (room.free() < room.places() * MIN_FREE_SHARE) {
      return HedgeVerdict.PLACES_SHORT;
    }
    HedgeVerdict now = allowedNow(first, retries, nowNanos);
    return now.sends() ? room.alternative() : now;
  }

  /**
   * Decides again when the second attempt could be written, and counts it in the operator's share
   * if it may be. The caller counts it in the retry budget, as a retry.
   */
  public HedgeVerdict write(First first, Retries retries, long nowNanos) {
    HedgeVerdict now = allowedNow(first, retries, nowNanos);
    if (now.sends() && !share.tryRetry(first.pool(), OptionalInt.empty(), nowNanos)) {
      return HedgeVerdict.SHARE_USED;
    }
    return now;
  }

  private HedgeVerdict allowedNow(First first, Retries retries, long nowNanos) {
    if (first.suspect()) {
      return HedgeVerdict.SUSPECT;
    }
    if (!first.awaited()) {
      return HedgeVerdict.FIRST_NOT_AWAITED;
    }
    if (!first.runsLeft()) {
      return HedgeVerdict.ATTEMPTS_USED;
    }
    OptionalLong usual = delay.quantileNanos(first.pool(), first.kind(), MEDIAN, nowNanos);
    if (usual.isEmpty()) {
      return HedgeVerdict.NOT_LEARNED;
    }
    long expected = nowNanos + usual.getAsLong();
    if (first.deadlineNanos() - expected <= 0) {
      return HedgeVerdict.DEADLINE_NEAR;
    }
    if (first.targetNanos() > 0 && first.arrivedNanos() + first.targetNanos() - expected < 0) {
      return HedgeVerdict.TARGET_MISSED;
    }
    if (share.remaining(first.pool(), OptionalInt.empty(), nowNanos) < 1) {
      return HedgeVerdict.SHARE_USED;
    }
    return retries.left() - 1 < retries.allowed() * KEPT_FOR_RETRIES
        ? HedgeVerdict.BUDGET_KEPT
        : HedgeVerdict.SEND;
  }
}
