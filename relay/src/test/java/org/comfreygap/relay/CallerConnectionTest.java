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

/** Guards against requests that a gateway accepts but can no longer complete. */
class CallerConnectionTest {

  private final AtomicBoolean stopping = new AtomicBoolean();
  private final CallerConnection connection = new CallerConnection(null, stopping::get);
  private final EmbeddedChannel channel = new EmbeddedChannel(connection);

  @Test
  void keepsConnectionAfterResponseWhileTheGatewayServes() {
    startStream();
    connection.endResponse();
    channel.runPendingTasks();

    assertThat(channel.isOpen()).isTrue();
  }

  private void startStream() {
    channel.writeInbound(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x/"));
    connection.beginResponse(
        HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE, OptionalLong.empty());
    connection.sendPart(Unpooled.copiedBuffer(new byte[] {'a'}));
  }
}
