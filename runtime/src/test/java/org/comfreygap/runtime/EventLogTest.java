package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Checks the order and bound of the timeline, and that closing releases every resource. */
class EventLogTest {

  @Test
  void keepsEventsInOrderWhenTheWallClockJumpsBack() {
    AtomicLong wall = new AtomicLong(10_000);
    HybridClock clock = new HybridClock(wall::get);
    long before = clock.next();
    wall.set(5_000);

    assertThat(clock.next()).isGreaterThan(before);
    clock.observe(20_000L << 16);
    assertThat(HybridClock.millis(clock.next())).isEqualTo(20_000);
  }

  @Test
  void dropsTheOldestEventsAtItsBound() {
    Timeline timeline = new Timeline(3);
    for (int i = 0; i < 5; i++) {
      timeline.add(new Timeline.Entry("p", (long) i << 16, i, "E", Map.of("request", "r" + i)));
    }

    assertThat(timeline.eventsSince(0, Optional.empty(), Optional.empty()))
        .extracting(Timeline.Entry::number)
        .containsExactly(2, 3, 4);
    assertThat(timeline.eventsSince(0, Optional.of("r3"), Optional.empty())).hasSize(1);
    assertThat(timeline.eventsSince(4, Optional.empty(), Optional.empty())).hasSize(1);
  }

  @Test
  void writesRecordedEventsOnClose() {
    Timeline timeline = new Timeline(10);
    EventLog events = new EventLog("p", new HybridClock(() -> 1_000), timeline);
    events.record(RuntimeEvent.PROCESS_STARTED, Field.of("port", 80));
    events.close();

    assertThat(timeline.eventsSince(0, Optional.empty(), Optional.empty()))
        .singleElement()
        .satisfies(
            entry -> {
              assertThat(entry.number()).isEqualTo(1001);
              assertThat(entry.fields()).containsEntry("port", "80");
            });
  }

  @Test
  void closesEveryResourceInReverseOrderEvenWhenOneFails() {
    List<String> closed = new ArrayList<>();
    Closer closer = new Closer();
    closer.register(() -> closed.add("first"));
    closer.register(
        () -> {
          throw new IllegalStateException("broken");
        });
    closer.register(() -> closed.add("last"));

    assertThatThrownBy(closer::close).hasRootCauseMessage("broken");
    assertThat(closed).containsExactly("last", "first");
  }
}
