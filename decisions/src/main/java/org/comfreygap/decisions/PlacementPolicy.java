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
  /** Endpoints that run a model, where adapters and prompts count. */
  ENGINE(Costs.ENGINE_FAILURE_MILLIS) {
    @Override
    double baseCost(Candidate candidate, double usualMillis) {
      boolean crowded = candidate.load().residency() == Residency.ABSENT && !candidate.canLoad();
      return PlacementCost.engine(candidate.load(), usualMillis)
          + (crowded ? Costs.NO_SLOT_MILLIS : 0);
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

  /** Endpoints whose costs are this close are chosen by chance, so that gateways spread out. */
  public static final double JITTER = 0.08;

  /** Bound on {@link #maxPlacementTime}: callers leave about two seconds after they came. */
  public static final Duration MAX_PLACEMENT_TIME = Duration.ofMillis(1_200);

  /**
   * Longest time until a request is sent, adapter loads included, as a share of the time in which
   * its answer should begin: an answer that is a little late is still of use.
   */
  public static final double PLACEMENT_TIME_FACTOR = 2;

  private final double failureMillis;

  /**
   * Creates a policy.
   *
   * @param failureMillis what a failed run costs its caller: a run with its wait
   */
  PlacementPolicy(double failureMillis) {
    this.failureMillis = failureMillis;
  }

  /**
   * An endpoint that could serve the request.
   *
   * @param canLoad false while every place for adapters is used by open requests
   * @param failureShare share of the latest attempts that failed
   */
  public record Candidate(Load load, boolean canLoad, boolean cold, double failureShare) {}

  /**
   * Returns the longest time until a request is sent, from that in which its answer should begin.
   */
  public static Duration maxPlacementTime(Duration target) {
    long wanted = (long) (target.toNanos() * PLACEMENT_TIME_FACTOR);
    return Duration.ofNanos(Math.min(wanted, MAX_PLACEMENT_TIME.toNanos()));
  }

  /**
   * Returns the cost of a request at an endpoint, in milliseconds.
   *
   * @param usualMillis time to read an average prompt, or that a request to a plain service takes
   */
  public double cost(Candidate candidate, double usualMillis) {
    double cold = candidate.cold() ? Costs.COLD_MILLIS : 0;
    return baseCost(candidate, usualMillis) + cold + candidate.failureShare() * failureMillis;
  }

  abstract double baseCost(Candidate candidate, double usualMillis);

  /** Costs in milliseconds; an enum's constants cannot use those that the enum declares itself. */
  private static final class Costs {

    /** A failed run of a plain service costs its caller a whole run, with its wait. */
    static final double SERVICE_FAILURE_MILLIS = 150;

    /** The same for an engine, whose runs take about 1.5 s by the capacity sheets. */
    static final double ENGINE_FAILURE_MILLIS = 1_500;

    /**
     * Added where all places for adapters are in use: one becomes free when a run ends, and with 17
     * places and runs of 1.5 s that takes a few hundred milliseconds when others wait as well.
     */
    static final double NO_SLOT_MILLIS = 500;

    /** Added for a cold endpoint: less than a load of an adapter, more than a short queue. */
    static final double COLD_MILLIS = 120;
  }
}
