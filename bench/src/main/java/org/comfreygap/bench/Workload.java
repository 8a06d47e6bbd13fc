package org.comfreygap.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * A seeded open-loop load plan: Poisson arrivals, Zipf popularity, mixed priorities and
 * plain-service calls with idempotency keys, some of which are sent twice.
 *
 * <p>Thread safety: immutable once made.
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
  private final List<Planned> plan = new ArrayList<>();
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

  /** Returns the name of the adapter with the given rank at a customer. */
  public static String adapter(int customer, int rank) {
    return "c" + (customer + 1) + "-adapter-" + rank;
  }

  /** Plans many short requests with the popularity of the load, to fill the slots. */
  static List<Planned> warmUp(Profile profile, long seed, long micros) {
    Workload workload = new Workload(profile, seed, "w");
    double perSecond = WARM_UP_FACTOR * profile.traffic().requestsPerSecond();
    workload.arrivals(
        0,
        micros,
        perSecond,
        at -> workload.shortCompletion(workload.customer(), at, WARM_UP_TOKENS));
    return workload.sorted();
  }

  /** Plans the base load of {@code micros} with nonces that start with {@code prefix}. */
  static List<Planned> base(Profile profile, long seed, String prefix, long micros) {
    Workload workload = new Workload(profile, seed, prefix);
    workload.arrivals(0, micros, profile.traffic().requestsPerSecond(), workload::completion);
    workload.arrivals(0, micros, profile.traffic().callsPerSecond(), workload::serviceCall);
    return workload.sorted();
  }

  /** Plans the base load and the flood of one customer between two times. */
  static List<Planned> withFlood(
      Profile profile, long seed, long micros, long floodFrom, long floodTo) {
    Workload workload = new Workload(profile, seed, "m");
    workload.arrivals(0, micros, profile.traffic().requestsPerSecond(), workload::completion);
    workload.arrivals(0, micros, profile.traffic().callsPerSecond(), workload::serviceCall);
    double limit = profile.tokensPerSecond(Profile.FLOODING_CUSTOMER);
    double rate = FLOOD_FACTOR * limit / (FLOOD_TOKENS + PROMPT_TOKENS);
    workload.arrivals(floodFrom, floodTo, rate, workload::flood);
    return workload.sorted();
  }

  private List<Planned> sorted() {
    plan.sort(Comparator.comparingLong(Planned::atMicros));
    return plan;
  }

  private void arrivals(long from, long to, double perSecond, java.util.function.LongConsumer add) {
    double at = from;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / perSecond * 1e6;
      if (at >= to) {
        return;
      }
      add.accept((long) at);
    }
  }

  private void completion(long at) {
    Profile.Traffic traffic = profile.traffic();
    int customer = customer();
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
        new Planned(
            nonce(),
            at,
            customer,
            model(customer),
            tokens,
            priority,
            random.nextDouble() < STREAM_SHARE,
            "",
            temporary,
            false));
  }

  private void serviceCall(long at) {
    int customer = customer();
    String nonce = nonce();
    Planned call =
        new Planned(nonce, at, customer, "", 0, "urgent", false, "order-" + nonce, false, false);
    plan.add(call);
    if (random.nextDouble() < REPEAT_SHARE) {
      // The same body under the same key, as a caller that resends.
      plan.add(call);
    }
  }

  private void flood(long at) {
    shortCompletion(Profile.FLOODING_CUSTOMER, at, FLOOD_TOKENS);
  }

  private void shortCompletion(int customer, long at, int tokens) {
    boolean flood = tokens == FLOOD_TOKENS;
    String model = model(customer);
    plan.add(new Planned(nonce(), at, customer, model, tokens, "normal", true, "", false, flood));
  }

  private int customer() {
    double draw = random.nextDouble();
    for (int i = 0; i < Profile.CUSTOMER_SHARES.size(); i++) {
      draw -= Profile.CUSTOMER_SHARES.get(i);
      if (draw < 0) {
        return i;
      }
    }
    return 0;
  }

  private String model(int customer) {
    return adapter(customer, popularity.get(customer).draw(random)) + "@v1";
  }

  private String nonce() {
    return prefix + Long.toString(random.nextLong() >>> 1, Character.MAX_RADIX);
  }
}
