package org.comfreygap.relay;

import java.time.Duration;
import java.util.List;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.decisions.EndpointPace;
import org.comfreygap.decisions.FirstHomes;
import org.comfreygap.decisions.PacedCost;
import org.comfreygap.decisions.PlacementCost;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.comfreygap.decisions.PlacementPolicy;

/**
 * Compares the engines of a pool whose endpoints state their pace, for one request.
 *
 * <p>Invariant: the homes of an adapter are the same for all gateways that know the same usual
 * paces. Thread safety: used on the event loop only.
 */
final class PacedChoice {

  /** Time that a stream takes, over which the pace to expect counts. */
  private static final Duration STREAM = Duration.ofSeconds(1);

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double MICROS_PER_MILLI = 1_000;

  private final Placement.Requirements requirements;
  private final String zone;
  private final PacedCost.Preferences preferences;
  private final long adapter;
  private final FirstHomes homes = new FirstHomes();

  PacedChoice(
      Placement.Requirements requirements,
      List<Endpoint> open,
      String zone,
      PacedCost.Preferences preferences) {
    this.preferences = preferences;
    this.requirements = requirements;
    this.zone = zone;
    this.adapter = requirements.adapter().map(Placement::hash).orElse(0L);
    if (adapter != 0 && appliesTo(open)) {
      open.forEach(endpoint -> homes.add(weight(endpoint)));
    }
  }

  /**
   * What is known of a prompt when it is placed.
   *
   * @param cost times of the prompt
   * @param targetMillis time in which the response should begin
   */
  record Prompt(PacedCost.Prompt cost, long targetMillis) {}

  /** Returns true when an endpoint has stated its pace. */
  static boolean appliesTo(List<Endpoint> open) {
    for (Endpoint endpoint : open) {
      if (endpoint.reading().pace().isKnown()) {
        return true;
      }
    }
    return false;
  }

  /** Returns true when a response could not begin in time behind what the endpoint reads first. */
  static boolean isQueueTooLong(Prompt prompt, Endpoint endpoint, long nowNanos) {
    EndpointReading reading = endpoint.reading();
    double millis =
        reading.readingMicros(nowNanos) * reading.pace().expected(nowNanos) / MICROS_PER_MILLI;
    return millis > prompt.targetMillis();
  }

  /**
   * Returns the cost of the request at an endpoint, in milliseconds.
   *
   * @param fastestMillis interval between events at the fastest endpoint
   */
  double cost(Endpoint endpoint, Residency residency, double fastestMillis, long nowNanos) {
    EndpointReading reading = endpoint.reading();
    EndpointPace pace = reading.pace();
    pace.measured(endpoint.streamSlowdown(fastestMillis));
    boolean sameZone = endpoint.zone().equals(zone);
    int running = endpoint.running(nowNanos);
    int home = residency == Residency.HELD || adapter == 0 ? 0 : homePosition(endpoint);
    double expected = pace.expected(nowNanos);
    PacedCost.State state =
        new PacedCost.State(
            endpoint.slots(),
            running,
            expected,
            pace.cautious(expected),
            pace.expected(nowNanos, STREAM.toNanos()),
            reading.readingMicros(nowNanos),
            residency,
            home,
            sameZone);
    PlacementPolicy.Candidate candidate =
        new PlacementPolicy.Candidate(
            new PlacementCost.Load(endpoint.slots(), running, 0, 1, residency, home, sameZone),
            endpoint.canLoad(nowNanos),
            endpoint.isCold(nowNanos),
            endpoint.failureRate(),
            (endpoint.sendWaitNanos(nowNanos) + reading.waitNanos(nowNanos)) / NANOS_PER_MILLI);
    return PlacementPolicy.pacedCost(
        candidate, PacedCost.engine(state, requirements.prompt().cost(), preferences));
  }

  /** Returns the number of homes of the adapter before an endpoint. */
  int homePosition(Endpoint endpoint) {
    return homes.position(weight(endpoint));
  }

  private long weight(Endpoint endpoint) {
    return AdapterHomes.weight(adapter, endpoint.hash(), endpoint.reading().pace().homeDraws());
  }
}
