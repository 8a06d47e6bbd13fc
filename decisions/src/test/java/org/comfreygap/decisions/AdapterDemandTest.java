package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.AdapterPlaces.Name;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: a few adapters take most of the requests of every zone. Guards against popular ones
 * that are served from another zone for good, and against loads for rare ones.
 */
class AdapterDemandTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  @Test
  void findsAnAdapterPopularThatIsAskedForAgainAndAgain() {
    AdapterDemand demand = new AdapterDemand();

    assertThat(demand.used(name(1), 0)).isFalse();
    assertThat(demand.used(name(1), SECOND)).isFalse();
    assertThat(demand.used(name(1), 2 * SECOND)).isTrue();
  }

  @Test
  void neverFindsRareAdaptersPopular() {
    AdapterDemand demand = new AdapterDemand();
    for (int i = 0; i < 20; i++) {
      assertThat(demand.used(name(1), i * 8 * SECOND)).isFalse();
    }
  }

  @Test
  void countsABoundedNumberOfAdapters() {
    AdapterDemand demand = new AdapterDemand();
    for (int i = 0; i < 3 * AdapterDemand.MAX_ADAPTERS; i++) {
      demand.used(name(i), i);
    }

    assertThat(demand.size()).isEqualTo(AdapterDemand.MAX_ADAPTERS);
  }

  private static Name name(int number) {
    return new Name("base", "a" + number);
  }
}
