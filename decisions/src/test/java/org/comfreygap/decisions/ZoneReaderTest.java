package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.comfreygap.decisions.ZoneReader.Candidate;
import org.junit.jupiter.api.Test;

/** Guards against calls for the list that grow with the number of gateways. */
class ZoneReaderTest {

  @Test
  void oneGatewayOfEachZoneReads() {
    for (int gatewaysPerZone : new int[] {1, 7, 60}) {
      List<Candidate> all = fleet(5, gatewaysPerZone);

      long readers =
          all.stream()
              .filter(own -> ZoneReader.choose(own.processId(), own.zone(), all).isEmpty())
              .count();

      assertThat(readers).isEqualTo(5);
    }
  }

  @Test
  void nextGatewayReadsWhenReaderIsNotLive() {
    List<Candidate> all = fleet(1, 3);
    all.set(0, new Candidate("g0-0", "z0", false, "a"));

    assertThat(ZoneReader.choose("g0-1", "z0", all)).isEmpty();
    assertThat(ZoneReader.choose("g0-2", "z0", all).map(Candidate::processId)).hasValue("g0-1");
  }

  @Test
  void readsListItselfWhenNoOtherGatewayIsKnown() {
    assertThat(ZoneReader.choose("g", "z", List.of())).isEqualTo(Optional.empty());
  }

  private static List<Candidate> fleet(int zones, int gatewaysPerZone) {
    List<Candidate> all = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      for (int i = 0; i < gatewaysPerZone; i++) {
        all.add(new Candidate("g" + zone + "-" + i, "z" + zone, true, "a"));
      }
    }
    return all;
  }
}
