package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.protocol.generated.Change;
import org.comfreygap.protocol.generated.ChangeKind;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.PoolDemand;
import org.comfreygap.runtime.ClockReading;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.runtime.Timeline;
import org.comfreygap.settings.SettingsView;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: a gateway of zone a with attempts in two zones, requests that are refused, and
 * heartbeats that fail. Guards against load that is reported for pools without bounds, room that
 * leaving endpoints do not have, and refused requests that are lost or reported for good.
 */
class PoolDemandsTest {

  private static final String SCALING = "/routing/scaling/app";

  private final EventLog events =
      new EventLog("g", new HybridClock(System::currentTimeMillis), new Timeline(100));
  private final EndpointDirectory directory =
      new EndpointDirectory(null, null, 1, SharedKey.of(new byte[16]), events);
  private RouteTable table = table(SCALING);
  private final PoolDemands demands =
      new PoolDemands(directory, new WaitQueue(null, events), "a", () -> table);

  @AfterEach
  void closeLog() {
    events.close();
  }

  @Test
  void reportsWorkAndRoomOfEachZone() {
    list(entry("i-1", "a", false), entry("i-2", "b", false), entry("i-3", "b", true));
    directory.find("i-1").orElseThrow().attemptStarted();
    directory.find("i-3").orElseThrow().attemptStarted();
    demands.refused("app");

    assertThat(report())
        .containsExactly(
            new PoolDemand("app", "a", 1, 0, 1, 1, 64), new PoolDemand("app", "b", 1, 0, 0, 1, 64));
  }

  @Test
  void reportsRefusedRequestsUntilAHeartbeatIsAcknowledged() {
    list(entry("i-1", "a", false));
    demands.refused("app");
    demands.refused("other");
    assertThat(report().get(0).getRefused()).isEqualTo(1);
    demands.refused("app");
    assertThat(report().get(0).getRefused()).isEqualTo(2);
    acknowledge();
    assertThat(report().get(0).getRefused()).isZero();
    demands.refused("app");
    assertThat(report().get(0).getRefused()).isEqualTo(1);
  }

  @Test
  void attributesRefusedRequestsToAnotherZoneWhereThePoolIsNotInItsOwn() {
    list(entry("i-1", "b", false), entry("i-2", "c", false), entry("i-3", "c", false));
    demands.refused("app");

    assertThat(report())
        .containsExactly(
            new PoolDemand("app", "b", 0, 0, 0, 1, 64),
            new PoolDemand("app", "c", 0, 0, 1, 2, 128));
  }

  @Test
  void reportsNothingForPoolsWithoutBounds() {
    table = table();
    list(entry("i-1", "a", false));
    demands.refused("app");
    demands.collect(System.nanoTime());

    assertThat(filled().isSetDemand()).isFalse();
  }

  /** Guards against a load that looks fresh although the event loop stands still. */
  @Test
  void reportsNoOldLoad() {
    list(entry("i-1", "a", false));
    demands.collect(System.nanoTime() - 2_000_000_000L);

    assertThat(filled().isSetDemand()).isFalse();
  }

  private List<PoolDemand> report() {
    demands.collect(System.nanoTime());
    return filled().getDemand();
  }

  private HeartbeatRequest filled() {
    HeartbeatRequest request = new HeartbeatRequest();
    demands.fill(request);
    return request;
  }

  private void acknowledge() {
    demands.replied(
        new HeartbeatRequest(), new HeartbeatReply(), ClockReading.now(), System.nanoTime());
  }

  private void list(ListedEndpoint... entries) {
    directory.updateListing(List.of(entries), Set.of(), System.nanoTime());
  }

  private static ListedEndpoint entry(String id, String zone, boolean leaving) {
    return new ListedEndpoint(
        id,
        "app",
        "10.0.0." + id.charAt(2) + ":80",
        zone,
        Optional.empty(),
        64,
        leaving ? ListedEndpoint.Departure.AFTER_ITS_REQUESTS : ListedEndpoint.Departure.NONE,
        0,
        Set.of(),
        Map.of());
  }

  private static RouteTable table(String... scaling) {
    List<Change> changes = new ArrayList<>();
    for (String path : scaling) {
      changes.add(new Change(path, ChangeKind.PUT, 1).setDocument("{\"min\":1,\"max\":9}"));
    }
    return RouteTable.of(SettingsView.snapshot(changes, 1), RouteTable.empty(), 0, 0);
  }
}
