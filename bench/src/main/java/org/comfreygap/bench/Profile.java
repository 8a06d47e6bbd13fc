package org.comfreygap.bench;

import java.util.List;
import java.util.Locale;

/**
 * A workload profile of the design page, section 1.2, with the sizes that the page leaves
 * unspecified.
 *
 * <p>Request rate and response lengths keep the engines about half busy at the base load: the flood
 * then brings them to about two thirds and a missing zone to nearly their limit. With the given
 * skew, the slots of the whole fleet hold most of the requested adapters while the slots of one
 * engine do not. Thread safety: immutable.
 *
 * @since 0.1
 */
public enum Profile {
  /** Chat orders, urgent order confirmations and deferrable summaries. */
  LIANHUA(
      new Fleet(13, 16, 8, 3, "orders"),
      new Store(5, 2, 16),
      new Traffic(20, 12, 1.6, 60, 180, 0.2, 0.3)),
  /** Long deferrable narration and short urgent prosody fixes. */
  GLASNIK(
      new Fleet(6, 16, 8, 3, "licences"),
      new Store(2, 1, 8),
      new Traffic(9, 5, 1.6, 20, 220, 0.3, 0.3));

  /** Adapters in either profile. */
  public static final int ADAPTERS = 3_000;

  /** Availability zones in either profile. */
  public static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

  /** Shares of the five customers in the load. */
  public static final List<Double> CUSTOMER_SHARES = List.of(0.40, 0.30, 0.15, 0.10, 0.05);

  /** The customer that sends ten times its rate: the third by size. */
  public static final int FLOODING_CUSTOMER = 2;

  private final Fleet fleet;
  private final Store store;
  private final Traffic traffic;

  Profile(Fleet fleet, Store store, Traffic traffic) {
    this.fleet = fleet;
    this.store = store;
    this.traffic = traffic;
  }

  /** Returns the profile written as {@code name} in lower case. */
  public static Profile parse(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  /** Returns the runners. */
  public Fleet fleet() {
    return fleet;
  }

  /** Returns the limits of the weight store. */
  public Store store() {
    return store;
  }

  /** Returns the load. */
  public Traffic traffic() {
    return traffic;
  }

  /** Returns the customer's mean offered tokens a second at the base load. */
  public double offeredTokensPerSecond(int customer) {
    return traffic.requestsPerSecond()
        * CUSTOMER_SHARES.get(customer)
        * (traffic.meanTokens() + Workload.PROMPT_TOKENS);
  }

  /** Returns the customer's rate limit: twice its mean offered tokens. */
  public long tokensPerSecond(int customer) {
    return Math.round(2 * offeredTokensPerSecond(customer));
  }

  /** Returns the customer's burst: five seconds of its rate, and never below 3,000 tokens. */
  public long burstTokens(int customer) {
    return Math.max(3_000, 5 * tokensPerSecond(customer));
  }

  /**
   * The runners.
   *
   * @param engines language-model runners
   * @param slots adapter slots of each
   * @param maxBatch maximum batch size of each
   * @param services plain-service runners
   * @param service the plain service's name
   */
  public record Fleet(int engines, int slots, int maxBatch, int services, String service) {}

  /**
   * The weight store.
   *
   * @param loadsPerSecond loads that may start in a second
   * @param fullSpeedLoads concurrent loads at full speed
   * @param maxInFlight loads in flight in the fleet beyond which all slow down
   */
  public record Store(double loadsPerSecond, int fullSpeedLoads, int maxInFlight) {}

  /**
   * The load.
   *
   * @param requestsPerSecond completions a second
   * @param callsPerSecond plain-service calls a second
   * @param skew exponent of the Zipf law over each customer's adapters
   * @param minTokens shortest response in tokens
   * @param maxTokens longest response in tokens
   * @param urgentShare share of urgent completions, with the shortest responses
   * @param deferrableShare share of deferrable completions, with the longest responses
   */
  public record Traffic(
      double requestsPerSecond,
      double callsPerSecond,
      double skew,
      int minTokens,
      int maxTokens,
      double urgentShare,
      double deferrableShare) {

    double meanTokens() {
      return (minTokens + maxTokens) / 2.0;
    }
  }
}
