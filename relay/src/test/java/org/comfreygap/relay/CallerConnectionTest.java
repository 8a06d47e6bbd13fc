package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Guards against requests that a gateway takes when it can no longer finish them. */
class CallerConnectionTest {

  private final AtomicBoolean stopping = new AtomicBoolean();
  private final CallerConnection connection = new CallerConnection(null, stopping::get);
  private final EmbeddedChannel channel = new EmbeddedChannel(connection);

  @Test
  void keepsConnectionAfterAnswerWhileTheGatewayServes() {
    stream();
    connection.endResponse();
    channel.runPendingTasks();

    assertThat(channel.isOpen()).isTrue();
  }

  /** Load pattern: a planned stop while a long stream is on its way over a kept connection. */
  @Test
  void closesConnectionAfterStreamThatBeganBeforeTheStop() {
    stream();
    stopping.set(true);
    connection.endResponse();
    channel.runPendingTasks();

    assertThat(channel.isOpen()).isFalse();
  }

  private void stream() {
    channel.writeInbound(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x/"));
    connection.beginResponse(
        HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE, OptionalLong.empty());
    connection.sendPart(Unpooled.copiedBuffer(new byte[] {'a'}));
  }
}
