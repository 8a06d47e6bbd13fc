package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.Timeline;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that what a caller's connection ends without is named.
 *
 * <p>Guards against lost responses and requests that leave no line.
 */
class DeliveryLogTest {

  private final Closer closer = new Closer();
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final Timeline timeline = new Timeline(Timeline.DEFAULT_CAPACITY);
  private final EventLog events =
      closer.register(new EventLog("test", new HybridClock(() -> 0), timeline));
  private final DeliveryLog deliveries = new DeliveryLog(createContext());

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Two responses of a caller that writes requests ahead and does not read. */
  @Test
  void namesEachResponseThatWasNotWritten() throws Exception {
    ChannelPromise first = new DefaultChannelPromise(channel);
    ChannelPromise second = new DefaultChannelPromise(channel);
    deliveries.completed("first", first, 0);
    deliveries.completed("second", second, 0);

    deliveries.ended("the caller left");

    GatewayFleet.await(() -> named(RelayEvent.RESPONSE_NOT_DELIVERED).contains("second"));
    assertThat(named(RelayEvent.RESPONSE_NOT_DELIVERED)).containsExactly("first", "second");
  }

  /** A request that was read whole when the connection was closing. */
  @Test
  void namesARequestThatIsDropped() throws Exception {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/slow/1");
    head.headers().set(HeaderDialect.REQUEST, "dropped");
    deliveries.drop(head, "the connection was closing");
    deliveries.drop(LastHttpContent.EMPTY_LAST_CONTENT, "the connection was closing");

    GatewayFleet.await(() -> !named(RelayEvent.REQUEST_NOT_ANSWERED).isEmpty());
    assertThat(named(RelayEvent.REQUEST_NOT_ANSWERED)).containsExactly("dropped");
  }

  private List<String> named(RelayEvent event) {
    return timeline.eventsSince(0, Optional.empty(), Optional.empty()).stream()
        .filter(entry -> entry.number() == event.number())
        .map(entry -> entry.fields().get("request"))
        .toList();
  }

  private RelayContext createContext() {
    return new RelayContext(
        null,
        new HeaderDialect(),
        null,
        null,
        null,
        null,
        null,
        null,
        null,
        null,
        null,
        Optional.empty(),
        null,
        null,
        null,
        null,
        null,
        null,
        events,
        new RelayMetrics(),
        RouteTable::empty,
        () -> true,
        OptionalLong::empty,
        OptionalInt::empty);
  }
}
