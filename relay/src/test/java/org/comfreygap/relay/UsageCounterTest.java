package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.WindowUsage;
import org.comfreygap.runtime.ClockReading;
import org.junit.jupiter.api.Test;

/** Tests the counts of requests by window. */
class UsageCounterTest {

  /** The fleet's time at the monotonic time 0; a window begins then. */
  private static final long FLEET = 1_796_000_000_000L;

  private static final long FIRST = FLEET / 5_000;

  private final UsageCounter counter =
      new UsageCounter(Duration.ofSeconds(5), Duration.ofSeconds(10));

  /** Offset of this instance's wall clock to the fleet's. */
  private long offMillis = 40_000;

  @Test
  void windowsFollowTheFleetAlsoWhenTheOwnClockIsOffAndJumps() {
    heartbeat(1_000);
    began("main/a", 4_900);
    began("main/a", 5_100);
    offMillis = -7_000;
    began("main/a", 5_200);
    offMillis = 0;
    began("main/b", 10_300);

    heartbeat(10_500);

    assertThat(stated(10_600))
        .isEqualTo(
            Map.of(
                FIRST,
                Map.of("main/a", 1L),
                FIRST + 1,
                Map.of("main/a", 2L),
                FIRST + 2,
                Map.of("main/b", 1L)));
  }

  @Test
  void requestsBeforeTheFleetsTimeIsKnownAreNotLost() {
    began("main/a", 4_000);
    assertThat(stated(4_500)).isEmpty();
    began("main/a", 6_000);
    heartbeat(6_500);
    assertThat(stated(6_600))
        .isEqualTo(Map.of(FIRST, Map.of("main/a", 1L), FIRST + 1, Map.of("main/a", 1L)));
  }

  @Test
  void windowsAreStatedUntilControlHasHadThemWhole() {
    heartbeat(1_000);
    began("main/a", 2_000);
    // Control does not reply for 20 s.
    assertThat(stated(21_000)).containsEntry(FIRST, Map.of("main/a", 1L));
    heartbeat(21_500);
    assertThat(stated(22_000)).doesNotContainKey(FIRST);
  }

  @Test
  void nothingIsStatedWhenNothingAsks() {
    UsageCounter off = new UsageCounter(Duration.ZERO, Duration.ofSeconds(10));
    off.began("main/a", reading(0));
    HeartbeatRequest request = request();
    off.fill(request, reading(0));
    assertThat(request).isEqualTo(request());
  }

  private void began(String customer, long millis) {
    counter.began(customer, reading(millis));
  }

  private void heartbeat(long millis) {
    HeartbeatRequest request = request();
    counter.fill(request, reading(millis));
    HeartbeatReply reply = new HeartbeatReply(1, 1, 1, List.of(), false, List.of());
    reply.setFleetMillis(FLEET + millis);
    counter.replied(request, reply, reading(millis), reading(millis).nanos());
  }

  private Map<Long, Map<String, Long>> stated(long millis) {
    HeartbeatRequest request = request();
    counter.fill(request, reading(millis));
    Map<Long, Map<String, Long>> stated = new HashMap<>();
    for (WindowUsage usage : request.getUsage()) {
      stated.put(usage.getWindow(), usage.getBegun());
    }
    return stated;
  }

  private ClockReading reading(long millis) {
    return new ClockReading(millis * 1_000_000, FLEET + millis + offMillis);
  }

  private static HeartbeatRequest request() {
    return new HeartbeatRequest(new ProcessIdentity(), 0, false, 0);
  }
}
