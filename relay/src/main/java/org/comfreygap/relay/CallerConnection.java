package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.comfreygap.runtime.Field;
import org.comfreygap.settings.Documents.RequestLimits;

/**
 * A connection of a caller: reads whole requests one after the other and writes their responses.
 *
 * <p>The connection is always read, so that a disconnect is noticed at once. Pipelined requests are
 * queued until the response to the earlier one is complete.
 *
 * <p>Invariants: requests are served, and responses sent, in the order in which the requests
 * arrive; a planned stop answers what arrived before the close was announced; a response that
 * breaks off cannot be mistaken for a whole one: it lacks its last chunk or a part of its length,
 * or, for a caller that knows no chunks, the connection is reset. Thread safety: used on the event
 * loop only.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements Caller {

  /** Queued parts of pipelined requests beyond which no further request is read. */
  private static final int MAX_QUEUED = 256;

  private static final int MAX_CHUNK_BYTES = 16 * 1024;

  private final RelayContext relay;
  private final BooleanSupplier stopping;
  private final DeliveryLog deliveries;
  private final Deque<HttpObject> queued = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private Optional<HttpRequest> head = Optional.empty();
  private CompositeByteBuf body = Unpooled.compositeBuffer();
  private Optional<Exchange> exchange = Optional.empty();
  private boolean keepAlive;
  private boolean omitBody;
  private boolean knowsChunks;
  private boolean endsWithConnection;
  private boolean overflowed;
  private boolean closing;
  private String endReason = "the caller or this process ended the connection";

  CallerConnection(RelayContext relay, BooleanSupplier stopping) {
    this.relay = relay;
    this.stopping = stopping;
    this.deliveries = new DeliveryLog(relay);
  }

  /** Sets up an accepted connection, which ends when nothing moves on it for the idle timeout. */
  void install(Channel channel, RequestLimits limits) {
    // What is written counts as well: a response may take longer than the timeout.
    channel
        .pipeline()
        .addLast(
            new IdleStateHandler(true, 0, 0, limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS),
            new StrictRequestDecoder(limits.maxHeaderBytes(), MAX_CHUNK_BYTES),
            new HttpResponseEncoder(),
            this);
  }

  /** Returns true while a request is being read or served, or waits behind another one. */
  boolean isBusy() {
    return head.isPresent() || exchange.isPresent() || !queued.isEmpty();
  }

  /** Returns true while a response that is complete here is not written to the caller. */
  boolean isDelivering() {
    return deliveries.isPending();
  }

  /** Closes the connection unless a request is in progress, has arrived or was just answered. */
  void closeIfIdle(long nowNanos) {
    if (closing || isBusy() || !deliveries.isSettled(nowNanos)) {
      return;
    }
    ArrivedBytes.read(context.channel());
    if (closing || isBusy()) {
      return;
    }
    closing = true;
    endReason = "the gateway stops";
    if (deliveries.isRecent(nowNanos)) {
      LingeringClose.begin(context.channel());
    } else {
      context.close();
    }
  }

  /** Ends the request in progress, with an answer as long as none has begun. */
  void gatewayStops() {
    if (exchange.isPresent()) {
      exchange.get().gatewayStops();
    } else if (head.isPresent()) {
      head = Optional.empty();
      rejectAndClose(Refusal.STOPPING.status(), Refusal.STOPPING.text());
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    HttpObject part = (HttpObject) message;
    if (closing) {
      deliveries.drop(part, "the connection was closing");
    } else if (exchange.isEmpty() && queued.isEmpty()) {
      read(part);
    } else if (queued.size() < MAX_QUEUED && !overflowed) {
      deliveries.queued(part);
      queued.addLast(part);
    } else {
      overflowed = true;
      deliveries.drop(part, "more than " + MAX_QUEUED + " parts of further requests arrived");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    exchange.ifPresent(Exchange::callerDisconnected);
    exchange = Optional.empty();
    deliveries.ended(endReason);
    queued.forEach(part -> deliveries.drop(part, endReason));
    queued.clear();
    body.release();
    ctx.fireChannelInactive();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    exchange.ifPresent(Exchange::writabilityChanged);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (!(event instanceof IdleStateEvent) || exchange.isPresent()) {
      return;
    }
    if (!deliveries.isPending() || deliveries.isOverdue(System.nanoTime())) {
      endReason = "nothing moved on the connection";
      ctx.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    relay
        .events()
        .record(
            RelayEvent.CALLER_REJECTED,
            Field.of("request", exchange.map(Exchange::requestId).orElse("")),
            Field.of("cause", cause));
    endReason = "the connection failed";
    ctx.close();
  }

  @Override
  public void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, omitBody ? Unpooled.EMPTY_BUFFER : content);
    response.headers().set(headers);
    HttpUtil.setContentLength(response, content.readableBytes());
    if (omitBody) {
      content.release();
    }
    boolean last = announceClose(response);
    responseWritten(context.writeAndFlush(response), last);
  }

  @Override
  public void beginResponse(HttpResponseStatus status, HttpHeaders headers, OptionalLong length) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(headers);
    if (length.isPresent()) {
      HttpUtil.setContentLength(response, length.getAsLong());
    } else if (knowsChunks) {
      HttpUtil.setTransferEncodingChunked(response, true);
    } else {
      endsWithConnection = true;
      keepAlive = false;
      // Until the response is whole, any close has to be a reset, also when this process ends.
      context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    }
    keepAlive &= !announceClose(response);
    context.write(response);
  }

  @Override
  public void sendPart(ByteBuf bytes) {
    context.writeAndFlush(new DefaultHttpContent(bytes));
  }

  @Override
  public void endResponse() {
    // A close that was not announced waits until nothing arrives: the caller may be reading still,
    // or writing its next request.
    boolean last = !keepAlive;
    ChannelFuture written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    if (endsWithConnection) {
      written.addListener(done -> closeGracefully(done.isSuccess()));
    }
    responseWritten(written, last);
  }

  @Override
  public void abort() {
    exchange = Optional.empty();
    closing = true;
    endReason = "an earlier response broke off";
    if (endsWithConnection) {
      // Only a reset tells this caller that the response is not whole.
      context.close();
    } else {
      // A caller may take a stream up after the last event that it has read.
      closeAfter(context.writeAndFlush(Unpooled.EMPTY_BUFFER));
    }
  }

  @Override
  public boolean readArrived() {
    ArrivedBytes.read(context.channel());
    return context.channel().isActive();
  }

  @Override
  public boolean writable() {
    return context.channel().isWritable();
  }

  private void read(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      rejectMalformed(part);
      return;
    }
    try {
      if (part instanceof HttpRequest request) {
        beginRequest(request);
      }
      if (part instanceof HttpContent content && head.isPresent()) {
        appendBody(content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void beginRequest(HttpRequest request) {
    head = Optional.of(request);
    keepAlive = HttpUtil.isKeepAlive(request);
    omitBody = request.method().equals(HttpMethod.HEAD);
    knowsChunks = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
    body = Unpooled.compositeBuffer();
    if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void appendBody(HttpContent content) {
    long maxBytes = relay.tables().get().limits().maxBodyBytes();
    if (body.readableBytes() + content.content().readableBytes() > maxBytes) {
      head = Optional.empty();
      rejectAndClose(
          HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
          "the request body exceeds " + maxBytes + " bytes");
      return;
    }
    if (content.content().isReadable()) {
      body.addComponent(true, content.content().retain());
    }
    if (content instanceof LastHttpContent) {
      startExchange();
    }
  }

  private void startExchange() {
    HttpRequest request = head.orElseThrow();
    head = Optional.empty();
    CallerRequest callerRequest;
    try {
      callerRequest = relay.dialect().readRequest(request);
    } catch (MalformedRequestException e) {
      rejectAndClose(HttpResponseStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    CompositeByteBuf whole = body;
    body = Unpooled.compositeBuffer();
    exchange = Optional.of(createExchange(request, whole, callerRequest));
    exchange.get().begin();
  }

  private Exchange createExchange(HttpRequest request, ByteBuf whole, CallerRequest read) {
    try {
      return new Exchange(relay, this, request, whole, read, System.nanoTime());
    } catch (RuntimeException e) {
      whole.release();
      throw e;
    }
  }

  private void rejectMalformed(HttpObject part) {
    Throwable cause = part.decoderResult().cause();
    ReferenceCountUtil.release(part);
    HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
    if (cause instanceof TooLongHttpHeaderException) {
      status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    } else if (cause instanceof TooLongHttpLineException) {
      status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
    }
    rejectAndClose(status, "malformed HTTP request: " + cause.getMessage());
  }

  private void rejectAndClose(HttpResponseStatus status, String reason) {
    closing = true;
    relay
        .events()
        .record(
            RelayEvent.CALLER_REJECTED,
            Field.of("status", status.code()),
            Field.of("cause", reason));
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Refusal.text(reason));
    HttpUtil.setContentLength(response, response.content().readableBytes());
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    closeAfter(context.writeAndFlush(response));
  }

  /** Sets the Connection header when this response is the last one, and returns whether it is. */
  private boolean announceClose(HttpResponse response) {
    boolean last = isLast();
    if (last) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return last;
  }

  /** Returns true when no further request of this connection gets a response. */
  private boolean isLast() {
    return !keepAlive || ((stopping.getAsBoolean() || overflowed) && queued.isEmpty());
  }

  private void responseWritten(ChannelFuture written, boolean last) {
    String requestId = exchange.map(Exchange::requestId).orElse("");
    deliveries.completed(requestId, written, System.nanoTime());
    exchange = Optional.empty();
    if (last) {
      closing = true;
      closeAfter(written);
      return;
    }
    // Deferred to the next turn of the loop: a response may be sent while its request is read.
    context.executor().execute(this::readNext);
  }

  /** Ends the connection once its last bytes are written. */
  private void closeAfter(ChannelFuture written) {
    written.addListener(
        done -> {
          if (done.isSuccess()) {
            LingeringClose.begin(context.channel());
          } else {
            context.close();
          }
        });
  }

  /** Lets the close that follows a whole response be an ordinary one. */
  private void closeGracefully(boolean written) {
    if (written) {
      context.channel().config().setOption(ChannelOption.SO_LINGER, -1);
    }
  }

  /** Reads what is queued; its errors end the connection like those of what is read at once. */
  private void readNext() {
    try {
      readQueued();
    } catch (RuntimeException e) {
      exceptionCaught(context, e);
    }
  }

  private void readQueued() {
    while (!closing && exchange.isEmpty() && !queued.isEmpty()) {
      read(queued.pollFirst());
    }
    if (overflowed && !closing && exchange.isEmpty()) {
      // The rest of the last request, or the next one, was dropped.
      closing = true;
      closeAfter(context.writeAndFlush(Unpooled.EMPTY_BUFFER));
    }
  }
}
