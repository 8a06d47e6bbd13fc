package org.comfreygap.relay;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Ends a connection so that its peer receives all that was written to it: closes the sending side,
 * and the whole connection once the peer has closed its own, or after a time limit.
 *
 * <p>A socket that is closed while received bytes are unread is reset, and a reset discards what
 * the peer has not read yet. The owner of the connection reads and discards what still arrives.
 *
 * <p>Thread safety: used on the channel's event loop only.
 */
final class LingeringClose {

  /** Time for a slow peer to read the rest and to close; most close within a round trip. */
  static final Duration LIMIT = Duration.ofSeconds(5);

  private LingeringClose() {}

  /** Begins to end a connection to which everything was written. */
  static void begin(Channel channel) {
    if (!(channel instanceof DuplexChannel duplex) || !channel.isActive()) {
      channel.close();
      return;
    }
    ScheduledFuture<?> limit =
        channel
            .eventLoop()
            .schedule(() -> channel.close(), LIMIT.toMillis(), TimeUnit.MILLISECONDS);
    channel.closeFuture().addListener(closed -> limit.cancel(false));
    duplex
        .shutdownOutput()
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                channel.close();
              }
            });
  }
}
