package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import org.comfreygap.decisions.EndpointLimitFleet.Sharing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Load pattern: callers at a third of 4, 30 and 300 gateways ask for three times what the limits of
 * six endpoints allow, while gateways start, die, freeze and lose control. Guards against a limit
 * that holds at each gateway and not over all of them together.
 */
class EndpointLimitFleetTest {

  private static final long SECOND = EndpointLimitFleet.SECOND;
  private static final double LIMIT = 1.5;
  private static final int ENDPOINTS = 6;
  private static final long WINDOW = 4 * SECOND;
  private static final long STATED_AT = 10 * SECOND;

  /** The rule binds this long after a limit was first stated. */
  private static final long GRACE = 3 * SECOND;

  private static final long END = 60 * SECOND;
  private static final double MIN_USED_SHARE = 0.8;

  /** The platform's rule: one and a half times the limit, and five requests. */
  private static final int ALLOWED = (int) (1.5 * LIMIT * 4 + 5);

  @ParameterizedTest
  @CsvSource({"4, 1", "4, 2", "30, 1", "30, 2", "300, 1"})
  void holdsTheLimitAndUsesMostOfIt(int gateways, long seed) {
    EndpointLimitFleet fleet = overloaded(gateways, Sharing.LIMITER, seed);
    fleet.play(END);

    report(Sharing.LIMITER.name(), gateways, fleet);
    assertThat(most(fleet)).isLessThanOrEqualTo(ALLOWED);
    assertThat(used(fleet)).isBetween(MIN_USED_SHARE, 1.0 + 2.0 / 40);
  }

  /**
   * The other ways to share a limit miss one of the two bars in a large fleet, even when everyone
   * hears of a limit at once.
   */
  @ParameterizedTest
  @CsvSource({
    "30, EACH_ALONE",
    "300, EACH_ALONE",
    "30, EQUAL_PARTS",
    "300, EQUAL_PARTS",
    "30, ONE_SENDER",
    "300, ONE_SENDER"
  })
  void otherWaysExceedTheLimitOrWasteIt(int gateways, Sharing way) {
    EndpointLimitFleet fleet = overloaded(gateways, way, 1);
    fleet.play(END);

    report(way.name(), gateways, fleet);
    assertThat(most(fleet) > ALLOWED || used(fleet) < MIN_USED_SHARE).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"4, 1", "4, 2", "4, 3", "30, 1", "30, 2", "30, 3", "300, 1"})
  void holdsTheLimitWhileGatewaysFail(int gateways, long seed) {
    EndpointLimitFleet fleet = overloaded(gateways, Sharing.LIMITER, seed);
    int limiter = fleet.limiterOfFirst();
    fleet.startLate((limiter + 1) % gateways, 16 * SECOND);
    fleet.stop(limiter, 20 * SECOND, 2 * SECOND, false);
    fleet.stop(limiter, 28 * SECOND, 6 * SECOND, true);
    fleet.cutFromControl(limiter, 40 * SECOND, 8 * SECOND);
    fleet.cutFromControl((limiter + 2) % gateways, 42 * SECOND, 4 * SECOND);
    fleet.play(END);

    assertThat(most(fleet)).isLessThanOrEqualTo(ALLOWED);
    assertThat(fleet.arrived(56 * SECOND, END)).isPositive();
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 30, 300})
  void sendsFewerRequestsWithoutControl(int gateways) {
    EndpointLimitFleet fleet = overloaded(gateways, Sharing.LIMITER, 1);
    for (int i = 0; i < gateways; i++) {
      fleet.cutFromControl(i, 30 * SECOND, 20 * SECOND);
    }
    fleet.play(END);

    assertThat(most(fleet)).isLessThanOrEqualTo(ALLOWED);
    assertThat(fleet.arrived(36 * SECOND, 50 * SECOND)).isZero();
    assertThat(fleet.arrived(55 * SECOND, END)).isPositive();
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 30, 300})
  void followsALimitThatIsLoweredMalformedRaisedAndWithdrawn(int gateways) {
    EndpointLimitFleet fleet = overloaded(gateways, Sharing.LIMITER, 1);
    fleet.limitAll(20 * SECOND, StatedLimit.of(0.5));
    fleet.limitAll(28 * SECOND, StatedLimit.INVALID);
    fleet.limitAll(36 * SECOND, StatedLimit.of(LIMIT));
    fleet.limitAll(50 * SECOND, StatedLimit.NONE);
    fleet.play(END);

    int allowedLow = (int) (1.5 * 0.5 * 4 + 5);
    assertThat(fleet.arrived(24 * SECOND, 36 * SECOND)).isLessThanOrEqualTo(ENDPOINTS * 12);
    assertThat(fleet.arrived(24 * SECOND, 28 * SECOND)).isLessThan(ENDPOINTS * allowedLow);
    assertThat(fleet.arrived(44 * SECOND, 48 * SECOND))
        .isGreaterThanOrEqualTo((int) (MIN_USED_SHARE * LIMIT * 4 * ENDPOINTS));
    assertThat(fleet.arrived(58 * SECOND, END)).isGreaterThan((int) (2 * LIMIT * 2 * ENDPOINTS));
  }

  @Test
  void sendsNothingBeyondTheTrialsWhenNoneAreTaken() {
    EndpointLimitFleet fleet = new EndpointLimitFleet(30, ENDPOINTS, Sharing.LIMITER, 1);
    fleet.limitAll(STATED_AT, StatedLimit.of(0));
    fleet.demand(0, END, 30);
    fleet.play(END);

    assertThat(fleet.mostWithin(WINDOW, STATED_AT + GRACE)).isLessThanOrEqualTo(5);
  }

  private static EndpointLimitFleet overloaded(int gateways, Sharing sharing, long seed) {
    EndpointLimitFleet fleet = new EndpointLimitFleet(gateways, ENDPOINTS, sharing, seed);
    fleet.limitAll(STATED_AT, StatedLimit.of(LIMIT));
    fleet.demand(0, END, 3 * LIMIT * ENDPOINTS);
    return fleet;
  }

  private static int most(EndpointLimitFleet fleet) {
    return fleet.mostWithin(WINDOW, STATED_AT + GRACE);
  }

  private static double used(EndpointLimitFleet fleet) {
    return fleet.arrived(20 * SECOND, END) / (LIMIT * ENDPOINTS * 40);
  }

  private static void report(String way, int gateways, EndpointLimitFleet fleet) {
    System.out.println(
        way
            + " at "
            + gateways
            + ": "
            + String.format(
                Locale.ROOT,
                "used %.2f, most in 4 s %d of %d, mean wait %.0f ms, %.0f messages a second",
                used(fleet),
                most(fleet),
                ALLOWED,
                fleet.meanWaitMillis(),
                fleet.messagesPerSecond(END)));
  }
}
