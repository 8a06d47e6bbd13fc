package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.OptionalLong;
import org.comfreygap.decisions.IdleConnectionLimit;

/**
 * One connection to an endpoint; it carries one request at a time.
 *
 * <p>Invariants: bytes that belong to no request in progress close the connection; an answer to
 * another request is read and dropped; a connection that was reset never completes an answer.
 * Thread safety: used on the event loop only.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {

  private final RequestDialect dialect;
  private final IdleConnectionLimit trust;
  private Channel channel;
  private Optional<Listener> listener = Optional.empty();
  private String requestId = "";
  private boolean skipResponse;
  private boolean responseBegun;
  private boolean requestWritten;
  private boolean reusable = true;
  private boolean reset;
  private OptionalLong idleMillis = OptionalLong.empty();
  private long idleSinceNanos;
  private boolean usedBefore;
  private long idleBeforeNanos;
  private long sentNanos;

  EndpointConnection(RequestDialect dialect, IdleConnectionLimit trust) {
    this.dialect = dialect;
    this.trust = trust;
  }

  /** What the sender of a request learns. */
  interface Listener {

    /** The answer to the request begins. */
    void onHead(HttpResponse response, ResponseHead stated);

    /** A part of the body; the listener releases it. */
    void onContent(ByteBuf bytes);

    /** The answer is complete. */
    void onComplete();

    /** The connection ended, or sent what is no answer, before the answer was complete. */
    void onFailure(String reason);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  /** Returns true when a request may be sent now. */
  boolean usable(long nowNanos) {
    boolean fresh =
        idleMillis.isEmpty() || nowNanos - idleSinceNanos < usableIdleNanos(idleMillis.getAsLong());
    return reusable
        && fresh
        && trust.usable(nowNanos - idleSinceNanos, nowNanos)
        && listener.isEmpty()
        && channel.isActive();
  }

  /** Sends a request; its answer goes to {@code receiver}. */
  void send(String id, FullHttpRequest request, Listener receiver) {
    listener = Optional.of(receiver);
    requestId = id;
    skipResponse = false;
    responseBegun = false;
    requestWritten = false;
    sentNanos = System.nanoTime();
    idleBeforeNanos = sentNanos - idleSinceNanos;
    ChannelFuture future = channel.writeAndFlush(request);
    future.addListener(
        done -> {
          requestWritten = true;
          if (!done.isSuccess()) {
            fail("the request could not be written: " + done.cause());
          }
        });
  }

  /** Stops or resumes reading, while the caller does not take what was read. */
  void setAutoRead(boolean enabled) {
    channel.config().setAutoRead(enabled);
  }

  /** Drops the request in progress, and the connection with it. */
  void cancel() {
    listener = Optional.empty();
    close();
  }

  void close() {
    reusable = false;
    channel.close();
  }

  /** Notes the beginning of the idle time. */
  void markIdle(long nowNanos) {
    idleSinceNanos = nowNanos;
    usedBefore = true;
    channel.config().setAutoRead(true);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      read((HttpObject) message);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(reset ? "the connection was reset" : "the connection was closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // The decoder takes any end of the connection as the end of an answer without a length.
    reset = true;
    fail("the connection failed: " + cause);
  }

  private void read(HttpObject message) {
    if (listener.isEmpty()) {
      close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      fail("the endpoint sent what is no answer: " + message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpResponse response) {
      beginResponse(response);
    }
    if (message instanceof HttpContent content) {
      forwardContent(content);
    }
  }

  private void beginResponse(HttpResponse response) {
    boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (interim) {
      skipResponse = true;
      return;
    }
    ResponseHead stated = dialect.readResponse(response);
    skipResponse = stated.requestId().isPresent() && !stated.requestId().get().equals(requestId);
    if (skipResponse) {
      // A late answer to an earlier request; ours may follow, but nothing more after it.
      reusable = false;
      return;
    }
    responseBegun = true;
    idleMillis = stated.idleMillis();
    if (!HttpUtil.isKeepAlive(response)) {
      reusable = false;
    }
    listener.get().onHead(response, stated);
  }

  private void forwardContent(HttpContent content) {
    if (!skipResponse && responseBegun) {
      if (content.content().isReadable()) {
        listener.ifPresent(receiver -> receiver.onContent(content.content().retain()));
      }
      if (content instanceof LastHttpContent && !reset) {
        completeResponse();
      }
    }
  }

  private void completeResponse() {
    if (listener.isEmpty()) {
      return;
    }
    Listener receiver = listener.get();
    listener = Optional.empty();
    if (!requestWritten) {
      // The endpoint answered before it had read the request; the rest is still on its way.
      reusable = false;
    }
    receiver.onComplete();
  }

  private void fail(String reason) {
    reusable = false;
    channel.close();
    if (listener.isPresent()) {
      recordLoss();
      Listener receiver = listener.get();
      listener = Optional.empty();
      receiver.onFailure(reason);
    }
  }

  private void recordLoss() {
    long now = System.nanoTime();
    if (usedBefore && !responseBegun) {
      trust.connectionLost(idleBeforeNanos, now - sentNanos, now);
    }
  }

  /**
   * Most of the time that the endpoint states is left unused, since a request that crosses its
   * close may or may not have run.
   */
  private static long usableIdleNanos(long millis) {
    return millis * 1_000_000 / 2;
  }
}
