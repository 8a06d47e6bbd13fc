package org.comfreygap.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.comfreygap.runtime.Addresses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An HTTP client for small calls to one peer over one kept connection, one call at a time.
 *
 * <pre>{@code
 * client.call(HttpMethod.GET, "/state", Map.of(), "", this::read, this::log);
 * }</pre>
 *
 * <p>Invariant: every call ends with exactly one of the two callbacks; none is sent twice. Thread
 * safety: used on the event loop only.
 *
 * @since 0.2
 */
public final class HttpPeerClient {

  private static final Logger LOG = LoggerFactory.getLogger(HttpPeerClient.class);

  /** Largest response of one endpoint, which describes itself. */
  public static final int ENDPOINT_RESPONSE_BYTES = 1024 * 1024;

  /** Largest page of a list of endpoints. */
  static final int LIST_RESPONSE_BYTES = 8 * 1024 * 1024;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Duration timeout;
  private final int maxBytes;
  private Optional<Channel> channel = Optional.empty();
  private Optional<Call> current = Optional.empty();
  private ResponseObserver observer = (response, sentNanos) -> {};

  /**
   * Creates a client of {@code address}.
   *
   * @param timeout time after which calls fail
   * @param maxBytes largest body of a response; a larger one fails its call
   */
  public HttpPeerClient(EventLoop loop, InetSocketAddress address, Duration timeout, int maxBytes) {
    this.loop = loop;
    this.address = address;
    this.timeout = timeout;
    this.maxBytes = maxBytes;
  }

  /** A response. */
  public record Response(int status, HttpHeaders headers, byte[] body) {}

  /** Calls {@code added} with each response, before the call ends, after those added before. */
  public void onResponse(ResponseObserver added) {
    ResponseObserver before = observer;
    observer =
        (response, sentNanos) -> {
          before.received(response, sentNanos);
          added.received(response, sentNanos);
        };
  }

  /** Observes the responses to all calls. */
  public interface ResponseObserver {

    /**
     * Called with a response.
     *
     * @param sentNanos time at which the call was sent
     */
    void received(Response response, long sentNanos);
  }

  /** Returns true while a call is in progress. */
  public boolean busy() {
    return current.isPresent();
  }

  /**
   * Makes a call.
   *
   * @param failed called with the cause when there is no response; the peer may have executed the
   *     call
   * @throws IllegalStateException when another call is in progress
   */
  public void call(
      HttpMethod method,
      String path,
      Map<String, String> headers,
      String body,
      Consumer<Response> done,
      Consumer<IOException> failed) {
    if (current.isPresent()) {
      throw new IllegalStateException("given a call while another is in progress, expected none");
    }
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            path,
            Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8)));
    request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
    headers.forEach(request.headers()::set);
    if (!body.isEmpty()) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      HttpUtil.setContentLength(request, request.content().readableBytes());
    }
    Call call = new Call(done, failed, System.nanoTime());
    current = Optional.of(call);
    loop.schedule(
        () -> failCall(call, "no response within " + timeout),
        timeout.toMillis(),
        TimeUnit.MILLISECONDS);
    channel.filter(HttpPeerClient::hasSurplus).ifPresent(this::closeAfterSurplus);
    if (channel.isPresent() && channel.get().isActive()) {
      channel.get().writeAndFlush(request);
      return;
    }
    connect(request, call);
  }

  /** Closes the connection; a call in progress fails. */
  public void close() {
    channel.ifPresent(Channel::close);
  }

  private void connect(FullHttpRequest request, Call call) {
    ConnectionPool.withKeepAlive(new Bootstrap().group(loop).channel(NioSocketChannel.class))
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel opened) {
                opened
                    .pipeline()
                    .addLast(
                        new HttpRequestEncoder(),
                        new StrictResponseDecoder(
                            () -> current.isPresent(), () -> closeAfterSurplus(opened)),
                        new HttpObjectAggregator(maxBytes),
                        new ResponseHandler());
              }
            })
        .connect(address)
        .addListener(
            (ChannelFuture done) -> {
              if (!done.isSuccess()) {
                request.release();
                failCall(call, String.valueOf(done.cause()));
              } else if (current.isPresent() && current.get() == call) {
                channel = Optional.of(done.channel());
                done.channel().writeAndFlush(request);
              } else {
                request.release();
                done.channel().close();
              }
            });
  }

  private static boolean hasSurplus(Channel kept) {
    return Optional.ofNullable(kept.pipeline().get(StrictResponseDecoder.class))
        .map(StrictResponseDecoder::hasSurplus)
        .orElse(false);
  }

  private void closeAfterSurplus(Channel surplus) {
    LOG.info(
        "{} sent bytes that belong to no call; closing the connection", Addresses.text(address));
    if (channel.isPresent() && channel.get() == surplus) {
      channel = Optional.empty();
    }
    surplus.close();
  }

  private void failCall(Call call, String reason) {
    if (current.isPresent() && current.get() == call) {
      current = Optional.empty();
      channel.ifPresent(Channel::close);
      channel = Optional.empty();
      call.failed.accept(new IOException(Addresses.text(address) + ": " + reason));
    }
  }

  private record Call(Consumer<Response> done, Consumer<IOException> failed, long sentNanos) {}

  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      // Closing the connection of a failed call ends a response without length, as if it were
      // whole.
      if (channel.isEmpty() || channel.get() != ctx.channel()) {
        ctx.close();
        return;
      }
      if (!HttpUtil.isKeepAlive(response) || response.decoderResult().isFailure()) {
        channel = Optional.empty();
        ctx.close();
      }
      if (current.isEmpty()) {
        ctx.close();
        return;
      }
      Call call = current.get();
      if (response.decoderResult().isFailure()) {
        failCall(call, "malformed response: " + response.decoderResult().cause());
        return;
      }
      current = Optional.empty();
      Response read =
          new Response(
              response.status().code(),
              response.headers(),
              ByteBufUtil.getBytes(response.content()));
      observer.received(read, call.sentNanos);
      call.done.accept(read);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (channel.isPresent() && channel.get() == ctx.channel()) {
        channel = Optional.empty();
        current.ifPresent(call -> failCall(call, "the connection was closed"));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
      if (channel.isPresent() && channel.get() == ctx.channel()) {
        current.ifPresent(call -> failCall(call, String.valueOf(cause)));
      }
    }
  }
}
