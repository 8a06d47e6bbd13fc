package org.comfreygap.decisions;

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
  ENGINE(1_500) {
    @Override
    double load(Candidate candidate, double usualMillis) {
      boolean crowded = candidate.load().residency() == Residency.ABSENT && !candidate.canLoad();
      return PlacementCost.engine(candidate.load(), usualMillis) + (crowded ? NO_PLACE_MILLIS : 0);
    }
  },
  /** Endpoints of a plain service. */
  SERVICE(150) {
    @Override
    double load(Candidate candidate, double usualMillis) {
      return PlacementCost.service(candidate.load(), usualMillis);
    }
  };

  /**
   * Added where all places for adapters are in use: one becomes free when a run ends, and with 17
   * places and runs of 1.5 s that takes a few hundred milliseconds when others wait as well.
   */
  static final double NO_PLACE_MILLIS = 500;

  /** A cold endpoint is slower, and each request needs a permit. */
  static final double COLD_MILLIS = 120;

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
   * Returns the cost of a request at an endpoint, in milliseconds.
   *
   * @param usualMillis time to read an average prompt, or that a request to a plain service takes
   */
  public double cost(Candidate candidate, double usualMillis) {
    double cold = candidate.cold() ? COLD_MILLIS : 0;
    return load(candidate, usualMillis) + cold + candidate.failureShare() * failureMillis;
  }

  abstract double load(Candidate candidate, double usualMillis);
}
