package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * Decides how many endpoints of a pool are ordered in one availability zone.
 *
 * <p>The need is the work in progress and waiting, as a share of the slots, with its trend over the
 * time that a new endpoint takes to start. The number is raised to the need at once; it is lowered
 * step by step, to the highest need of the last minute or longer.
 *
 * <pre>{@code
 * Decision decision = policy.decide(load, knowledge, lastOrder, bounds, now);
 * if (decision.isChange()) { order(decision.number()); }
 * }</pre>
 *
 * <p>Invariants: nothing is ordered on reports of less than half of the gateways, nor lowered on
 * those of less than {@link #LOWER_COVERAGE}; a number that was decided is inside the bounds.
 * Thread safety: not thread-safe; one object for each pool and zone and each term of a leader.
 *
 * @since 0.8
 */
public final class ScalePolicy {

  /** Share of the known gateways that must have reported for a raise: they may see only a part. */
  public static final double RAISE_COVERAGE = 0.5;

  /** The same for lowering, since the load of a gateway that is silent counts as none. */
  public static final double LOWER_COVERAGE = 0.9;

  /** Time for which less must have been enough before the number is lowered, at price weight 1. */
  public static final Duration LOWER_AFTER = Duration.ofSeconds(60);

  /** Shortest time between a change and a lowering, in which the load finds its new places. */
  public static final Duration LOWER_SPACING = Duration.ofSeconds(20);

  /** Time beyond its stated start after which an endpoint that is not listed is not coming. */
  public static final Duration START_SLACK = Duration.ofSeconds(10);

  // What happened in a longer gap between two calls is not known.
  private static final Duration MAX_GAP = Duration.ofSeconds(5);
  private static final Duration MINUTE = Duration.ofMinutes(1);
  // A raise leaves room for a tenth more and a lowering for a quarter, so that neither calls for
  // the
  // other at the same load.
  private static final double RAISE_ROOM = 1.1;
  private static final double LOWER_ROOM = 1.25;
  private static final double MAX_LOWER_STEP = 0.1;
  private static final double REFUSED_STEP = 0.25;
  // Fewer are the work of single endpoints or requests.
  private static final double MIN_REFUSED = 5;
  private static final double REFUSED_SECONDS = 10;
  // A wave of a few seconds hardly moves either average, a rise over minutes moves them apart.
  private static final double FAST_SECONDS = 15;
  private static final double SLOW_SECONDS = 45;
  // Before, the averages hold what they began with: a zone that comes back would look like a rise.
  private static final double TREND_AFTER_SECONDS = 2 * SLOW_SECONDS;
  private static final double RISING = 1.05;
  private static final double EPSILON = 1e-9;
  private static final int MIN_SAMPLES = 2;

  private final Settings settings;
  private final Window window;
  private final Deque<Long> changes = new ArrayDeque<>();
  private double slotsOfOne;
  private double fast;
  private double slow;
  private double observedSeconds;
  private double lastNeed;
  private double sampledNeed;
  private int samples;
  private double recentRefused;
  private long sampledNanos;
  private int mostEndpoints;

  /** Creates a policy that knows no load yet. */
  public ScalePolicy(Settings settings) {
    this.settings = settings;
    this.window = new Window(settings.lowerAfter());
  }

  /**
   * An operator's wishes.
   *
   * @param targetShare share of the slots that the work should use, above 0 to 1
   * @param priceWeight weight of an endpoint's price against the risk of too few: it divides the
   *     time for which less must have been enough; 0 never lowers
   * @param maxChangesPerMinute most orders a minute for one pool in one zone
   */
  public record Settings(double targetShare, double priceWeight, int maxChangesPerMinute) {

    /** Half-used endpoints answer soon; a raise and some corrections fit into a minute. */
    public static final Settings DEFAULT = new Settings(0.4, 1, 4);

    private Optional<Duration> lowerAfter() {
      return priceWeight <= 0
          ? Optional.empty()
          : Optional.of(Duration.ofMillis((long) (LOWER_AFTER.toMillis() / priceWeight)));
    }
  }

  /**
   * Bounds that the platform states.
   *
   * @param boot time from an order until a new endpoint serves
   */
  public record Bounds(int min, int max, Duration boot) {

    private int clamp(long number) {
      return (int) Math.max(min, Math.min(max, number));
    }
  }

  /**
   * What the load rests on.
   *
   * @param settled true once the leader had time to hear of every gateway
   * @param knownGateways gateways that exist, those that fell silent lately included
   * @param freshGateways those of them whose reports count
   * @param zoneIn false while the zone is out of service
   */
  public record Knowledge(boolean settled, int knownGateways, int freshGateways, boolean zoneIn) {

    private double coverage() {
      return knownGateways == 0 ? 0 : freshGateways / (double) knownGateways;
    }
  }

  /** The newest order and when it was decided. */
  public record Order(int number, long nanos) {}

  /** Why a number is ordered, or kept. */
  public enum Reason {
    DEMAND("the work needs more endpoints"),
    REFUSED("requests were refused for lack of room"),
    LESS_DEMAND("less was enough for long"),
    BOUNDS("the number ordered before is outside the bounds"),
    STEADY("the number fits the work"),
    STARTING("endpoints that were ordered are still starting"),
    AT_MOST("the work needs more than the bounds allow"),
    AT_LEAST("the work needs less than the bounds allow"),
    CHANGES_BOUND("no further change is allowed in this minute"),
    ZONE_OUT("the zone is out of service"),
    SETTLING("the leader is new, or the zone is just back"),
    FEW_REPORTS("too few gateways have reported lately"),
    NO_ENDPOINT("no endpoint has been listed, so their slots are unknown");

    private final String text;

    Reason(String text) {
      this.text = text;
    }

    /** Returns the reason in words. */
    public String text() {
      return text;
    }

    /** Returns the reason with a name; empty for a name that is not known. */
    public static Optional<Reason> parse(String name) {
      return Arrays.stream(values()).filter(one -> one.name().equals(name)).findFirst();
    }

    /** Returns true when a number may be kept although the work calls for another one. */
    public boolean isObstacle() {
      return this == AT_MOST
          || this == CHANGES_BOUND
          || this == ZONE_OUT
          || this == FEW_REPORTS
          || this == NO_ENDPOINT;
    }

    /** Returns true for a reason to order another number. */
    public boolean isChange() {
      return this == DEMAND || this == REFUSED || this == LESS_DEMAND || this == BOUNDS;
    }
  }

  /** A number of endpoints and why; for a reason that is no change it is the number as it is. */
  public record Decision(int number, Reason reason) {

    /** Returns true when the number is to be ordered. */
    public boolean isChange() {
      return reason.isChange();
    }
  }

  /**
   * Decides on the load at {@code nowNanos}; called about once a second.
   *
   * @param load load over all gateways, with the requests refused since the last call
   * @param last newest order for the pool and zone, of this leader or an earlier one
   */
  public Decision decide(
      PoolLoads.Load load,
      Knowledge knowledge,
      Optional<Order> last,
      Bounds bounds,
      long nowNanos) {
    mostEndpoints = Math.max(mostEndpoints, load.endpoints());
    int base = last.map(Order::number).orElse(mostEndpoints);
    Optional<Reason> blind = blindness(load, knowledge);
    if (blind.isPresent()) {
      forget();
      return new Decision(base, blind.get());
    }
    sample(load, knowledge, bounds, nowNanos);
    Decision decision = decideKnown(load, last, bounds, base, nowNanos);
    if (decision.isChange()) {
      if (!mayChange(last, nowNanos)) {
        return new Decision(base, Reason.CHANGES_BOUND);
      }
      changes.addLast(nowNanos);
      recentRefused = 0;
    }
    return decision;
  }

  /** Returns the number of endpoints that the load of the last call needs; empty when not known. */
  public OptionalInt needed() {
    return samples < MIN_SAMPLES ? OptionalInt.empty() : OptionalInt.of(ceil(lastNeed));
  }

  private Optional<Reason> blindness(PoolLoads.Load load, Knowledge knowledge) {
    if (load.endpoints() > 0 && load.slots() > 0) {
      slotsOfOne = load.slots() / (double) load.endpoints();
    }
    if (!knowledge.zoneIn()) {
      return Optional.of(Reason.ZONE_OUT);
    }
    if (!knowledge.settled()) {
      return Optional.of(Reason.SETTLING);
    }
    if (knowledge.coverage() < RAISE_COVERAGE) {
      return Optional.of(Reason.FEW_REPORTS);
    }
    return slotsOfOne > 0 ? Optional.empty() : Optional.of(Reason.NO_ENDPOINT);
  }

  private void forget() {
    samples = 0;
    observedSeconds = 0;
    recentRefused = 0;
    window.clear();
  }

  private void sample(PoolLoads.Load load, Knowledge knowledge, Bounds bounds, long nowNanos) {
    if (samples > 0 && nowNanos - sampledNanos > MAX_GAP.toNanos()) {
      forget();
    }
    double used = (load.inProgress() + load.waiting()) / (slotsOfOne * settings.targetShare());
    double seconds = samples == 0 ? 0 : seconds(nowNanos - sampledNanos);
    fast = samples == 0 ? used : approach(fast, used, seconds, FAST_SECONDS);
    slow = samples == 0 ? used : approach(slow, used, seconds, SLOW_SECONDS);
    recentRefused = approach(recentRefused, 0, seconds, REFUSED_SECONDS) + load.refused();
    observedSeconds += seconds;
    double need = used + Math.min(used, trend(used) * seconds(bounds.boot().toNanos()));
    if (knowledge.coverage() < LOWER_COVERAGE || recentRefused >= MIN_REFUSED) {
      window.clear();
    } else {
      window.add(need, nowNanos);
    }
    // A load of one sample only is over before an endpoint that is ordered for it starts.
    lastNeed = samples == 0 ? 0 : Math.min(need, sampledNeed);
    sampledNeed = need;
    sampledNanos = nowNanos;
    samples = Math.min(samples + 1, MIN_SAMPLES);
  }

  /** Returns the rise of the need a second, as far as both averages show it; never negative. */
  private double trend(double used) {
    if (observedSeconds < TREND_AFTER_SECONDS) {
      return 0;
    }
    // Both are the slope in a steady rise; the second one ends soon after the rise does.
    double overall = (fast - slow) / (SLOW_SECONDS - FAST_SECONDS);
    double present = (used - fast) / FAST_SECONDS;
    return Math.max(0, Math.min(overall, present));
  }

  private Decision decideKnown(
      PoolLoads.Load load, Optional<Order> last, Bounds bounds, int base, long nowNanos) {
    if (last.isPresent() && bounds.clamp(base) != base) {
      return new Decision(bounds.clamp(base), Reason.BOUNDS);
    }
    boolean starting =
        last.isPresent()
            && load.endpoints() < base
            && nowNanos - last.get().nanos() < bounds.boot().plus(START_SLACK).toNanos();
    int wanted = ceil(lastNeed) > base ? ceil(lastNeed * RAISE_ROOM) : base;
    Reason reason = Reason.DEMAND;
    // Where the slots are hardly used, it is not for lack of endpoints that requests are refused.
    boolean used = ceil(2 * lastNeed) > base;
    if (recentRefused >= MIN_REFUSED && !starting && used) {
      int more = base + Math.max(1, (int) (base * REFUSED_STEP));
      reason = more > wanted ? Reason.REFUSED : reason;
      wanted = Math.max(wanted, more);
    }
    if (wanted > base) {
      int number = bounds.clamp(wanted);
      return number > base ? new Decision(number, reason) : new Decision(base, Reason.AT_MOST);
    }
    if (starting) {
      return new Decision(base, Reason.STARTING);
    }
    return lower(last, bounds, base, nowNanos).orElse(new Decision(base, Reason.STEADY));
  }

  private Optional<Decision> lower(Optional<Order> last, Bounds bounds, int base, long nowNanos) {
    int enough = ceil(window.highest() * LOWER_ROOM);
    boolean spaced = last.isEmpty() || nowNanos - last.get().nanos() >= LOWER_SPACING.toNanos();
    boolean rising = fast > slow * RISING;
    if (!window.isCovered(nowNanos) || enough >= base || !spaced || rising) {
      return Optional.empty();
    }
    int step = Math.max(1, (int) (base * MAX_LOWER_STEP));
    int number = bounds.clamp(Math.max(enough, base - step));
    return Optional.of(
        number < base
            ? new Decision(number, Reason.LESS_DEMAND)
            : new Decision(base, Reason.AT_LEAST));
  }

  /** Returns true when the bound on changes a minute allows one; an earlier leader's counts too. */
  private boolean mayChange(Optional<Order> last, long nowNanos) {
    while (!changes.isEmpty() && nowNanos - changes.getFirst() >= MINUTE.toNanos()) {
      changes.removeFirst();
    }
    boolean earlier =
        changes.isEmpty() && last.isPresent() && nowNanos - last.get().nanos() < MINUTE.toNanos();
    return changes.size() + (earlier ? 1 : 0) < settings.maxChangesPerMinute();
  }

  private static double approach(double average, double value, double seconds, double constant) {
    return average + (value - average) * (1 - Math.exp(-seconds / constant));
  }

  private static double seconds(long nanos) {
    return nanos / (double) TimeUnit.SECONDS.toNanos(1);
  }

  private static int ceil(double number) {
    return (int) Math.min(Integer.MAX_VALUE / 2, Math.ceil(number - EPSILON));
  }

  /** The highest need since a time, in parts of constant number. */
  private static final class Window {

    private static final int PARTS = 30;

    private final Optional<Duration> length;
    private final Deque<Part> parts = new ArrayDeque<>();
    private long beginNanos;

    Window(Optional<Duration> length) {
      this.length = length;
    }

    private record Part(long beginNanos, double highest) {}

    void clear() {
      parts.clear();
    }

    void add(double need, long nowNanos) {
      if (length.isEmpty()) {
        return;
      }
      long nanos = length.get().toNanos();
      if (parts.isEmpty()) {
        beginNanos = nowNanos;
      }
      Part newest = parts.peekLast();
      if (newest != null && nowNanos - newest.beginNanos() < nanos / PARTS) {
        parts.removeLast();
        parts.addLast(new Part(newest.beginNanos(), Math.max(newest.highest(), need)));
      } else {
        parts.addLast(new Part(nowNanos, need));
      }
      while (nowNanos - parts.getFirst().beginNanos() > nanos + nanos / PARTS) {
        parts.removeFirst();
      }
    }

    /** Returns true when the needs of the whole length are known. */
    boolean isCovered(long nowNanos) {
      return length.isPresent()
          && !parts.isEmpty()
          && nowNanos - beginNanos >= length.get().toNanos();
    }

    double highest() {
      return parts.stream().mapToDouble(Part::highest).max().orElse(0);
    }
  }
}
