package org.comfreygap.relay;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads what a socket has received before the event loop is told of it.
 *
 * <p>Thread safety: used on the channel's event loop only.
 */
final class ArrivedBytes {

  private ArrivedBytes() {}

  /** Passes what has arrived on an open connection, or its end, through its pipeline now. */
  static void read(Channel channel) {
    if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe transport) {
      transport.read();
    }
  }
}
