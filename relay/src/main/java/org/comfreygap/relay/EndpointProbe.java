package org.comfreygap.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.time.Duration;
import java.util.function.Consumer;
import org.comfreygap.decisions.ResponseEnd;
import org.comfreygap.runtime.Addresses;

/**
 * Finds out whether an endpoint accepts connections, by opening one and closing it at once.
 *
 * <p>An endpoint that has ended refuses connections at once, as long as its instance runs; a
 * restart takes seconds. Thread safety: stateless; used on the event loop only.
 */
final class EndpointProbe {

  private EndpointProbe() {}

  /**
   * The result of a probe.
   *
   * @param detail what happened, for the log
   */
  record Result(ResponseEnd.Endpoint state, String detail) {}

  /** Probes {@code address} ({@code ip:port}); {@code receiver} gets the result within the time. */
  static void check(EventLoop loop, String address, Duration timeout, Consumer<Result> receiver) {
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
        .handler(new ChannelInboundHandlerAdapter())
        .connect(Addresses.parse(address))
        .addListener(
            (ChannelFuture done) -> {
              done.channel().close();
              receiver.accept(resultOf(done));
            });
  }

  private static Result resultOf(ChannelFuture connection) {
    if (connection.isSuccess()) {
      return new Result(ResponseEnd.Endpoint.ACCEPTS, "accepted");
    }
    Throwable cause = connection.cause();
    boolean refused =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    return new Result(
        refused ? ResponseEnd.Endpoint.REFUSES : ResponseEnd.Endpoint.UNKNOWN,
        String.valueOf(cause));
  }
}
