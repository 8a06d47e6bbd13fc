package org.comfreygap.decisions;

import java.time.Duration;
import org.comfreygap.decisions.PlacementCost.Load;
import org.comfreygap.decisions.PlacementCost.Residency;

/**
 * Compares the endpoints of a pool for one request: the lowest cost is the best place.
 *
 * <pre>{@code
 * double cost = PlacementPolicy.ENGINE.cost(candidate, promptMillis);
 * }</pre>
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.3
 */
public enum PlacementPolicy {
  /** Endpoints that run a model, where adapters and prompts affect the cost. */
  ENGINE(Costs.ENGINE_FAILURE_MILLIS) {
    @Override
    double baseCost(Candidate candidate, double usualMillis) {
      return PlacementCost.engine(candidate.load(), usualMillis) + noSlotMillis(candidate);
    }
  },
  /** Endpoints of a plain service. */
  SERVICE(Costs.SERVICE_FAILURE_MILLIS) {
    @Override
    double baseCost(Candidate candidate, double usualMillis) {
      return PlacementCost.service(candidate.load(), usualMillis);
    }
  };

  /** Time in which an engine reads an average prompt, from the capacity sheets. */
  public static final double PROMPT_MILLIS = 45;

  /**
   * Largest random increase of a cost as a share of it, so that gateways choose different endpoints
   * among those with similar costs.
   */
  public static final double JITTER = 0.08;

  /**
   * Bound on {@link #maxPlacementTime}: callers disconnect about two seconds after they send a
   * request.
   */
  public static final Duration MAX_PLACEMENT_TIME = Duration.ofMillis(1_200);

  /**
   * Maximum time until a request is sent, adapter loads included, as a multiple of the time in
   * which its response should begin: a slightly late response is still useful.
   */
  public static final double PLACEMENT_TIME_FACTOR = 2;

  private final double failureMillis;

  /**
   * Creates a policy.
   *
   * @param failureMillis cost of a failed run to its caller: a run and its wait
   */
  PlacementPolicy(double failureMillis) {
    this.failureMillis = failureMillis;
  }

  /**
   * An endpoint that could serve the request.
   *
   * @param canLoad false while every adapter slot is used by open requests
   * @param failureShare share of the latest attempts that failed
   * @param sendWaitMillis time until the endpoint's request limit admits another request
   */
  public record Candidate(
      Load load, boolean canLoad, boolean cold, double failureShare, double sendWaitMillis) {}

  /**
   * Returns the maximum time until a request is sent, given the time in which its response should
   * begin.
   */
  public static Duration maxPlacementTime(Duration target) {
    long proportional = (long) (target.toNanos() * PLACEMENT_TIME_FACTOR);
    return Duration.ofNanos(Math.min(proportional, MAX_PLACEMENT_TIME.toNanos()));
  }

  /**
   * Returns the cost of a request at an endpoint, in milliseconds.
   *
   * @param usualMillis time to read an average prompt, or that a request to a plain service takes
   */
  public double cost(Candidate candidate, double usualMillis) {
    return baseCost(candidate, usualMillis) + stateMillis(candidate);
  }

  /**
   * Returns the cost of a request at an engine that states its pace, in milliseconds.
   *
   * @param pacedMillis the estimate of {@link PacedCost}
   */
  public static double pacedCost(Candidate candidate, double pacedMillis) {
    return pacedMillis + noSlotMillis(candidate) + ENGINE.stateMillis(candidate);
  }

  private double stateMillis(Candidate candidate) {
    return (candidate.cold() ? Costs.COLD_MILLIS : 0)
        + candidate.failureShare() * failureMillis
        + candidate.sendWaitMillis();
  }

  private static double noSlotMillis(Candidate candidate) {
    boolean noSlot = candidate.load().residency() == Residency.ABSENT && !candidate.canLoad();
    return noSlot ? Costs.NO_SLOT_MILLIS : 0;
  }

  abstract double baseCost(Candidate candidate, double usualMillis);

  /** Costs in milliseconds; the constants of an enum cannot refer to its own static fields. */
  private static final class Costs {

    /** A failed run of a plain service costs its caller a whole run and its wait. */
    static final double SERVICE_FAILURE_MILLIS = 150;

    /** The same for an engine, whose runs take about 1.5 s by the capacity sheets. */
    static final double ENGINE_FAILURE_MILLIS = 1_500;

    /**
     * Added when all adapter slots are in use: one becomes free when a run ends, and with 17 slots
     * and runs of 1.5 s that takes a few hundred milliseconds when other requests wait as well.
     */
    static final double NO_SLOT_MILLIS = 500;

    /** Added for a cold endpoint: less than a load of an adapter, more than a short queue. */
    static final double COLD_MILLIS = 120;
  }
}
