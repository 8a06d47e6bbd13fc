package org.comfreygap.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * A seeded open-loop load plan: Poisson arrivals, Zipf popularity, mixed priorities and
 * plain-service calls with idempotency keys, some of which are sent twice.
 *
 * <p>Thread safety: immutable after construction.
 *
 * @since 0.1
 */
public final class Workload {

  /** Tokens of each prompt, as the fake engines count them. */
  public static final int PROMPT_TOKENS = 40;

  private static final double STREAM_SHARE = 0.8;
  private static final double REPEAT_SHARE = 0.1;
  private static final double TEMPORARY_KEY_SHARE = 0.25;
  private static final int TEMPORARY_KEY_CUSTOMER = 1;
  private static final double FLOOD_FACTOR = 10;
  private static final int FLOOD_TOKENS = 40;
  private static final double WARM_UP_FACTOR = 6;
  private static final int WARM_UP_TOKENS = 4;

  private final Profile profile;
  private final Random random;
  private final List<Zipf> popularity = new ArrayList<>();
  private final List<PlannedRequest> plan = new ArrayList<>();
  private final String prefix;

  private Workload(Profile profile, long seed, String prefix) {
    this.profile = profile;
    this.random = new Random(seed);
    this.prefix = prefix;
    for (int customer = 0; customer < Profile.CUSTOMER_SHARES.size(); customer++) {
      popularity.add(new Zipf(adapterCount(customer), profile.traffic().skew()));
    }
  }

  /** Returns how many adapters a customer has. */
  public static int adapterCount(int customer) {
    return (int) Math.round(Profile.ADAPTERS * Profile.CUSTOMER_SHARES.get(customer));
  }

  /** Returns the name of a customer's adapter with the given popularity rank. */
  public static String adapterName(int customer, int rank) {
    return "c" + (customer + 1) + "-adapter-" + rank;
  }

  /** Plans many short requests with the popularity of the load, to fill the slots. */
  static List<PlannedRequest> warmUp(Profile profile, long seed, long micros) {
    Workload workload = new Workload(profile, seed, "w");
    double perSecond = WARM_UP_FACTOR * profile.traffic().requestsPerSecond();
    workload.addArrivals(
        0,
        micros,
        perSecond,
        at -> workload.addShortCompletion(workload.drawCustomer(), at, WARM_UP_TOKENS));
    return workload.sorted();
  }

  /** Plans the base load of {@code micros} with nonces that start with {@code prefix}. */
  static List<PlannedRequest> base(Profile profile, long seed, String prefix, long micros) {
    Workload workload = new Workload(profile, seed, prefix);
    workload.addArrivals(0, micros, profile.traffic().requestsPerSecond(), workload::addCompletion);
    workload.addArrivals(0, micros, profile.traffic().callsPerSecond(), workload::addServiceCall);
    return workload.sorted();
  }

  /** Plans the base load and the flood of one customer between two times. */
  static List<PlannedRequest> withFlood(
      Profile profile, long seed, long micros, long floodFrom, long floodTo) {
    Workload workload = new Workload(profile, seed, "m");
    workload.addArrivals(0, micros, profile.traffic().requestsPerSecond(), workload::addCompletion);
    workload.addArrivals(0, micros, profile.traffic().callsPerSecond(), workload::addServiceCall);
    double limit = profile.tokensPerSecond(Profile.FLOODING_CUSTOMER);
    double rate = FLOOD_FACTOR * limit / (FLOOD_TOKENS + PROMPT_TOKENS);
    workload.addArrivals(floodFrom, floodTo, rate, workload::addFloodRequest);
    return workload.sorted();
  }

  private List<PlannedRequest> sorted() {
    plan.sort(Comparator.comparingLong(PlannedRequest::atMicros));
    return plan;
  }

  private void addArrivals(
      long from, long to, double perSecond, java.util.function.LongConsumer add) {
    double at = from;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / perSecond * 1e6;
      if (at >= to) {
        return;
      }
      add.accept((long) at);
    }
  }

  private void addCompletion(long at) {
    Profile.Traffic traffic = profile.traffic();
    int customer = drawCustomer();
    double kind = random.nextDouble();
    int span = traffic.maxTokens() - traffic.minTokens();
    String priority = "normal";
    int tokens = traffic.minTokens() + span / 4 + random.nextInt(span / 2 + 1);
    if (kind < traffic.urgentShare()) {
      priority = "urgent";
      tokens = traffic.minTokens() + random.nextInt(span / 4 + 1);
    } else if (kind < traffic.urgentShare() + traffic.deferrableShare()) {
      priority = "deferrable";
      tokens = traffic.maxTokens() - random.nextInt(span / 4 + 1);
    }
    boolean temporary =
        customer == TEMPORARY_KEY_CUSTOMER && random.nextDouble() < TEMPORARY_KEY_SHARE;
    plan.add(
        new PlannedRequest(
            nextNonce(),
            at,
            customer,
            drawModel(customer),
            tokens,
            priority,
            random.nextDouble() < STREAM_SHARE,
            "",
            temporary,
            false));
  }

  private void addServiceCall(long at) {
    int customer = drawCustomer();
    String nonce = nextNonce();
    PlannedRequest call =
        new PlannedRequest(
            nonce, at, customer, "", 0, "urgent", false, "order-" + nonce, false, false);
    plan.add(call);
    if (random.nextDouble() < REPEAT_SHARE) {
      // A retry by the caller: the same body under the same key.
      plan.add(call);
    }
  }

  private void addFloodRequest(long at) {
    addShortCompletion(Profile.FLOODING_CUSTOMER, at, FLOOD_TOKENS);
  }

  private void addShortCompletion(int customer, long at, int tokens) {
    boolean flood = tokens == FLOOD_TOKENS;
    String model = drawModel(customer);
    plan.add(
        new PlannedRequest(
            nextNonce(), at, customer, model, tokens, "normal", true, "", false, flood));
  }

  private int drawCustomer() {
    double draw = random.nextDouble();
    for (int i = 0; i < Profile.CUSTOMER_SHARES.size(); i++) {
      draw -= Profile.CUSTOMER_SHARES.get(i);
      if (draw < 0) {
        return i;
      }
    }
    return 0;
  }

  private String drawModel(int customer) {
    return adapterName(customer, popularity.get(customer).draw(random)) + "@v1";
  }

  private String nextNonce() {
    return prefix + Long.toString(random.nextLong() >>> 1, Character.MAX_RADIX);
  }
}
