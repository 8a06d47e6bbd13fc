package org.comfreygap.bench;

import static org.assertj.core.api.Assertions.assertThat;

import org.comfreygap.bench.LoadModel.Deployment;
import org.comfreygap.bench.LoadModel.Policy;
import org.comfreygap.bench.LoadModel.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks the placement of requests and adapters under each load pattern, without a network. */
class LoadModelTest {

  private static final long SEED = 20_261_204;

  /** Required share of requests on time; restarts fail the running ones, 3% of the load. */
  private static final double MIN_ON_TIME_SHARE = 0.95;

  /**
   * The same for a rush after a restart: the store loads 32 adapters a second, and the requests of
   * the 5 s rush need about 170 distinct ones. Thus some 80 of 1,770 requests can't be on time, in
   * addition to the 3% that the restart fails.
   */
  private static final double MIN_ON_TIME_SHARE_IN_RUSH = 0.85;

  /** Guards against unloads that block an engine until runs end, and the refusals that follow. */
  @ParameterizedTest
  @EnumSource(LoadPattern.class)
  void servesNearlyAllInTimeWithoutBlockingAnEngine(LoadPattern pattern) {
    Result result = new LoadModel(Deployment.GLASNIK, pattern, Policy.PRESENT, SEED).run();

    boolean rush = pattern == LoadPattern.RESTART_RUSH;
    assertThat(result.onTimeShare())
        .isGreaterThanOrEqualTo(rush ? MIN_ON_TIME_SHARE_IN_RUSH : MIN_ON_TIME_SHARE);
    assertThat(result.blockedMillis()).isZero();
  }

  /** Guards against adapters that are loaded from the store by one engine after the other. */
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
