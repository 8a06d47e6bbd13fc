package org.comfreygap.bench;

import static org.assertj.core.api.Assertions.assertThat;

import org.comfreygap.bench.LoadModel.Deployment;
import org.comfreygap.bench.LoadModel.Policy;
import org.comfreygap.bench.LoadModel.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards the places of requests and adapters under each pattern of load, without a network. */
class LoadModelTest {

  private static final long SEED = 20_261_204;

  /** Share of the requests that are to begin in time; restarts lose what ran, 3% of the load. */
  private static final double MIN_ON_TIME_SHARE = 0.95;

  /**
   * The same for a rush after a restart: the store brings 32 adapters a second, and the 5 s of the
   * rush ask for about 170 different ones, so that some 80 of 1,770 requests cannot be in time
   * besides the 3% that the restart cuts.
   */
  private static final double MIN_ON_TIME_SHARE_IN_RUSH = 0.85;

  /** Guards against engines that wait for runs before they take an order, and refusals from it. */
  @ParameterizedTest
  @EnumSource(LoadPattern.class)
  void servesNearlyAllInTimeWithoutBlockingAnEngine(LoadPattern pattern) {
    Result result = new LoadModel(Deployment.GLASNIK, pattern, Policy.PRESENT, SEED).run();

    boolean rush = pattern == LoadPattern.RESTART_RUSH;
    assertThat(result.onTimeShare())
        .isGreaterThanOrEqualTo(rush ? MIN_ON_TIME_SHARE_IN_RUSH : MIN_ON_TIME_SHARE);
    assertThat(result.blockedMillis()).isZero();
  }

  /** Guards against adapters that are brought from the store to one engine after the other. */
  @Test
  void loadsAnAdapterOnFewEngines() {
    Result result =
        new LoadModel(Deployment.LIANHUA, LoadPattern.BURST, Policy.PRESENT, SEED).run();

    assertThat(result.loadsFromStore()).isLessThan(result.adaptersRequested() * 12 / 10);
  }

  @Test
  void servesMoreOnTimeThanTheNaivePolicy() {
    Result present =
        new LoadModel(Deployment.GLASNIK, LoadPattern.RARE_ADAPTERS, Policy.PRESENT, SEED).run();
    Result naive =
        new LoadModel(Deployment.GLASNIK, LoadPattern.RARE_ADAPTERS, Policy.NAIVE, SEED).run();

    assertThat(present.onTimeShare()).isGreaterThan(naive.onTimeShare() + 0.3);
    assertThat(present.loadsFromStore()).isLessThan(naive.loadsFromStore());
  }

  @Test
  void givesTheSameResultForTheSameSeed() {
    Result first =
        new LoadModel(Deployment.GLASNIK, LoadPattern.STEADY, Policy.PRESENT, SEED).run();

    assertThat(new LoadModel(Deployment.GLASNIK, LoadPattern.STEADY, Policy.PRESENT, SEED).run())
        .isEqualTo(first);
  }
}
