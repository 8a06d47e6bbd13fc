package org.comfreygap.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.comfreygap.protocol.generated.Change;
import org.comfreygap.protocol.generated.ChangeKind;
import org.comfreygap.settings.Documents.EndpointKind;
import org.junit.jupiter.api.Test;

/** Guards against stale indexes, reverted revisions and access across teams. */
class SettingsViewTest {

  private static final String HASH = "ab".repeat(32);

  @Test
  void aWithdrawnKeyIsNoLongerFoundByItsHash() {
    SettingsView view = SettingsView.empty().with(List.of(key("active", 1)), 1);
    assertThat(view.activeKey(HASH)).isPresent();

    SettingsView later = view.with(List.of(key("withdrawn", 2)), 2);

    assertThat(later.activeKey(HASH)).isEmpty();
    assertThat(later.isKeyActive("blue/press", "k1")).isFalse();
    assertThat(view.activeKey(HASH)).as("the earlier view is unchanged").isPresent();
  }

  @Test
  void aLowerRevisionIsRefused() {
    SettingsView view = SettingsView.empty().with(List.of(), 7);

    assertThatThrownBy(() -> view.with(List.of(), 6))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("given revision 6, expected at least 7");
  }

  @Test
  void anAdapterOpenToEveryCustomerIsNotOpenToOtherTeams() {
    SettingsView view =
        SettingsView.empty()
            .with(
                List.of(
                    put("/teams/blue/adapters/hymn", "{\"baseModel\":\"m\",\"customers\":[\"*\"]}"),
                    put("/teams/blue/adapters/own", "{\"baseModel\":\"m\",\"customers\":[\"a\"]}")),
                1);

    Documents.Adapter hymn = view.adapter("blue/hymn").orElseThrow();
    assertThat(hymn.permits("blue/press")).isTrue();
    assertThat(hymn.permits("blueish/press")).isFalse();
    assertThat(hymn.permits("blu/press")).isFalse();
    assertThat(hymn.permits("")).isFalse();
    Documents.Adapter own = view.adapter("blue/own").orElseThrow();
    assertThat(own.permits("blue/a")).isTrue();
    assertThat(own.permits("blue/b")).isFalse();
  }

  @Test
  void readsAnEndpointWithItsDefaults() {
    SettingsView view =
        SettingsView.empty()
            .with(
                List.of(
                    put(
                        "/platform/endpoints/e1",
                        "{\"zone\":\"north\",\"kind\":\"engine\",\"baseModel\":\"m\","
                            + "\"sidecar\":\"127.0.0.1:9\",\"slots\":8,\"maxBatch\":16,"
                            + "\"coldStart\":{\"initialConcurrency\":2,\"rampSeconds\":10}}")),
                1);

    Documents.Endpoint endpoint = view.endpoint("e1").orElseThrow();
    assertThat(endpoint.kind()).isEqualTo(EndpointKind.ENGINE);
    assertThat(endpoint.checksFencing()).isFalse();
    assertThat(endpoint.state()).isEqualTo(Documents.EndpointState.IN);
    assertThat(view.zoneIn("north")).as("a zone without a document is in").isTrue();
  }

  @Property(tries = 200, seed = "20261204")
  void deltasGiveTheSameTreeAsOneSnapshot(@ForAll("changes") List<Change> changes) {
    SettingsView stepwise = SettingsView.empty();
    Map<String, Change> naive = new TreeMap<>();
    long revision = 0;
    for (Change change : changes) {
      stepwise = stepwise.with(List.of(change), ++revision);
      naive.put(change.getPath(), change);
    }
    SettingsView snapshot =
        SettingsView.snapshot(
            new ArrayList<>(
                naive.values().stream().filter(c -> c.getKind() == ChangeKind.PUT).toList()),
            revision);

    for (int i = 0; i < 4; i++) {
      String customer = "blue/c" + i;
      assertThat(stepwise.customer(customer)).isEqualTo(snapshot.customer(customer));
      assertThat(stepwise.limits(customer)).isEqualTo(snapshot.limits(customer));
    }
    assertThat(stepwise.activeKey(HASH)).isEqualTo(snapshot.activeKey(HASH));
  }

  @Provide
  Arbitrary<List<Change>> changes() {
    Arbitrary<Change> one =
        Arbitraries.integers()
            .between(0, 11)
            .flatMap(
                n ->
                    Arbitraries.of(true, false)
                        .map(
                            put -> {
                              String path = "/teams/blue/customers/c" + n % 4;
                              String limits =
                                  "{\"tokensPerSecond\":" + (n + 1) + ",\"burstTokens\":10}";
                              return switch (n / 4) {
                                case 0 -> put ? put(path, "{}") : delete(path);
                                case 1 ->
                                    put ? put(path + "/limits", limits) : delete(path + "/limits");
                                default -> key(put ? "active" : "withdrawn", 0);
                              };
                            }));
    return one.list().ofMaxSize(30);
  }

  private static Change key(String state, long revision) {
    return put(
        "/teams/blue/customers/press/keys/k1",
        "{\"sha256\":\"" + HASH + "\",\"state\":\"" + state + "\"}");
  }

  private static Change put(String path, String document) {
    return new Change(path, ChangeKind.PUT, 1).setDocument(document);
  }

  private static Change delete(String path) {
    return new Change(path, ChangeKind.DELETE, 1);
  }
}
