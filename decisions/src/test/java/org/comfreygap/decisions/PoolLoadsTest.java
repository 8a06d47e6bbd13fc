package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.PoolLoads.Load;
import org.comfreygap.decisions.PoolLoads.Subject;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: 30 gateways report a pool once a second, and some fall silent. Guards against old
 * reports that count on, refused requests that count twice, and a list that one gateway read in
 * part.
 */
class PoolLoadsTest {

  private static final Subject POOL = new Subject("app", "z1");
  private static final long LIFETIME = PoolLoads.LIFETIME.toNanos();

  private final PoolLoads loads = new PoolLoads();

  @Test
  void sumsTheNewestReportsOfAllGateways() {
    for (long second = 0; second < 5; second++) {
      for (int gateway = 0; gateway < 30; gateway++) {
        int endpoints = gateway == 0 ? 1 : 4;
        loads.report(
            "g" + gateway,
            Map.of(POOL, new Load(6, 2, 1, endpoints, endpoints * 10)),
            TimeUnit.SECONDS.toNanos(second));
      }
    }
    long now = TimeUnit.SECONDS.toNanos(4);

    assertThat(loads.sum(POOL, now)).contains(new Load(180, 60, 0, 4, 40));
    assertThat(loads.freshGateways(now)).isEqualTo(30);
    assertThat(loads.takeRefused(POOL)).isEqualTo(150);
    assertThat(loads.takeRefused(POOL)).isZero();
  }

  @Test
  void dropsReportsThatAreTooOld() {
    loads.report("a", Map.of(POOL, new Load(6, 0, 0, 4, 40)), 0);
    loads.report("b", Map.of(POOL, new Load(5, 0, 0, 4, 40)), LIFETIME / 2);

    assertThat(loads.sum(POOL, LIFETIME)).contains(new Load(5, 0, 0, 4, 40));
    assertThat(loads.freshGateways(LIFETIME)).isEqualTo(1);
    loads.advance(2 * LIFETIME);
    assertThat(loads.subjects()).isEmpty();
    assertThat(loads.sum(POOL, 2 * LIFETIME)).isEmpty();
  }
}
