package org.comfreygap.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.comfreygap.runtime.Timeline;

/**
 * A small HTTP server for readiness, metrics and the timeline of programs that do not run
 * Dropwizard. The body of a request is read and discarded.
 *
 * <pre>{@code
 * PlainHttpServer.start(group, address, path -> Page.text(200, "ready"));
 * }</pre>
 *
 * <p>Thread safety: the pages are created on the event loop, which they must not block.
 *
 * @since 0.2
 */
public final class PlainHttpServer {

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final String PLAIN_TEXT = "text/plain; charset=utf-8";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private PlainHttpServer() {}

  /** A response. */
  public record Page(
      int status, String contentType, byte[] body, Map<CharSequence, String> headers) {

    /** Returns a page of plain text. */
    public static Page text(int status, String body) {
      return new Page(status, PLAIN_TEXT, body.getBytes(StandardCharsets.UTF_8), Map.of());
    }

    /** Returns a redirect to {@code url} that keeps the method and body of the request. */
    public static Page redirect(String url) {
      return new Page(
          HttpResponseStatus.TEMPORARY_REDIRECT.code(),
          PLAIN_TEXT,
          new byte[0],
          Map.of(HttpHeaderNames.LOCATION, url));
    }

    /** Returns a page with status 503 and the time after which to retry. */
    public static Page unavailable(int retryAfterSeconds, String body) {
      return new Page(
          HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
          PLAIN_TEXT,
          body.getBytes(StandardCharsets.UTF_8),
          Map.of(HttpHeaderNames.RETRY_AFTER, String.valueOf(retryAfterSeconds)));
    }

    /** Returns the page for an unknown path. */
    public static Page notFound() {
      return text(HttpResponseStatus.NOT_FOUND.code(), "not found\n");
    }
  }

  /**
   * Returns the events of a process as a JSON list.
   *
   * @param uri path with the parameters {@code since} (milliseconds since the epoch), {@code
   *     request} and {@code team}, all optional
   */
  public static Page timeline(Timeline timeline, String uri) {
    Map<String, List<String>> given = new QueryStringDecoder(uri).parameters();
    try {
      long since = first(given, "since").map(Long::parseLong).orElse(0L);
      List<Timeline.Entry> found =
          timeline.eventsSince(since, first(given, "request"), first(given, "team"));
      return new Page(OK, "application/json", MAPPER.writeValueAsBytes(found), Map.of());
    } catch (NumberFormatException e) {
      return Page.text(BAD_REQUEST, "since: expected milliseconds\n");
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize events as JSON", e);
    }
  }

  /**
   * Binds {@code address} and serves.
   *
   * @param pages creates the response to a request from its path with query
   * @throws IllegalStateException when the address cannot be bound
   */
  public static Channel start(
      EventLoopGroup group, InetSocketAddress address, Function<String, Page> pages) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new HttpServerCodec(),
                        new HttpServerExpectContinueHandler(),
                        new PageHandler(pages));
              }
            })
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  private static Optional<String> first(Map<String, List<String>> given, String name) {
    return given.getOrDefault(name, List.of()).stream().findFirst();
  }

  private static final class PageHandler extends SimpleChannelInboundHandler<HttpObject> {

    private final Function<String, Page> pages;
    private Optional<HttpRequest> head = Optional.empty();

    PageHandler(Function<String, Page> pages) {
      this.pages = pages;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      if (part.decoderResult().isFailure()) {
        ctx.close();
        return;
      }
      if (part instanceof HttpRequest request) {
        head = Optional.of(request);
      }
      // A response before the end of the body would close the connection while the caller sends.
      if (part instanceof LastHttpContent && head.isPresent()) {
        respond(ctx, head.get());
        head = Optional.empty();
      }
    }

    private void respond(ChannelHandlerContext ctx, HttpRequest request) {
      Page page = pages.apply(request.uri());
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(page.status()),
              Unpooled.wrappedBuffer(page.body()));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
      page.headers().forEach(response.headers()::set);
      HttpUtil.setContentLength(response, response.content().readableBytes());
      boolean keep = HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(response, keep);
      var written = ctx.writeAndFlush(response);
      if (!keep) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
