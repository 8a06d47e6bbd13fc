package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.comfreygap.decisions.EmbeddedHead;
import org.comfreygap.decisions.IdleConnectionLimit;
import org.comfreygap.decisions.MergedHead;
import org.comfreygap.decisions.ResponseMatch;

/**
 * A connection to an endpoint, which carries one request at a time.
 *
 * <p>Invariants: bytes that belong to no request in progress close the connection; a response to
 * another request is read and discarded; a body that holds the head of another response is never
 * completed; the parts of a body that are read at once are passed on together; a request that was
 * sent here lately is not sent here again, one that was refused here never; a connection that was
 * reset never completes a response. Thread safety: used on the event loop only.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {

  /** Refused requests after which a connection is not used any more, which bounds their ids. */
  private static final int MAX_REFUSED = 32;

  /** Latest requests whose ids are kept, of which copies of responses may still arrive. */
  private static final int MAX_RECENT = 32;

  /** Bytes that an endpoint may send before the response that is forwarded. */
  static final int MAX_SKIPPED_BYTES = 1024 * 1024;

  /**
   * Time in which a request that is cancelled may still be delivered: below the half second after
   * which it must not reach an endpoint, and enough for a lost packet to be repeated.
   */
  static final Duration DELIVERY_TIME = Duration.ofMillis(400);

  /** Bytes of a body that are passed on before the end of a read. */
  private static final int MAX_GATHERED_BYTES = 64 * 1024;

  private static final Set<String> FRAMING_FIELDS = Set.of("content-length", "transfer-encoding");

  private final RequestDialect dialect;
  private final IdleConnectionLimit trust;
  private final Set<String> refused = new HashSet<>();
  private final Set<String> recent = new LinkedHashSet<>();
  private final FaultListener faults;
  private final StrictResponseDecoder decoder;
  private final Set<String> headFields;
  private Channel channel;
  private GatheredParts gathered;
  private Optional<Listener> listener = Optional.empty();
  private Optional<HttpResponse> response = Optional.empty();
  private Optional<EmbeddedHead> embedded = Optional.empty();
  private long bodyBytes;
  private String requestId = "";
  private boolean skipResponse;
  private boolean responseBegun;
  private boolean requestWritten;
  private boolean reusable = true;
  private boolean reset;
  private boolean cancelled;
  private OptionalLong idleMillis = OptionalLong.empty();
  private long idleSinceNanos;
  private boolean usedBefore;
  private boolean refusal;
  private int responses;
  private boolean idsStated;
  private long idleBeforeNanos;
  private long sentNanos;
  private long readBefore;
  private long readSinceNanos = System.nanoTime();

  /**
   * Creates a connection that is not open yet.
   *
   * @param trust learned limits on idle connections
   * @param faults notified of bytes that belong to no request in progress
   */
  EndpointConnection(RequestDialect dialect, IdleConnectionLimit trust, FaultListener faults) {
    this.dialect = dialect;
    this.trust = trust;
    this.faults = faults;
    this.headFields = new HashSet<>(dialect.singleResponseFields());
    headFields.addAll(FRAMING_FIELDS);
    this.decoder = new StrictResponseDecoder(() -> listener.isPresent(), this::surplusArrived);
  }

  /** Is notified of bytes on a connection that belong to no request in progress. */
  interface FaultListener {

    /**
     * Called when bytes arrived while no request was in progress.
     *
     * @param responses number of responses on the connection so far
     */
    void surplusReceived(int responses);

    /** Called when a response was not, or not only, that to the request in progress. */
    void responseDistrusted(ResponseMatch match);
  }

  /** Receives the response to a request. */
  interface Listener {

    /** Called with the head of the response. */
    void onHead(HttpResponse response, ResponseHead stated);

    /** Called with the head of a response that is skipped, or ends the request unproved. */
    void onMismatch(HttpResponse response, ResponseMatch match);

    /**
     * Called with parts of the body that were read at once, which the listener releases.
     *
     * @param parts number of parts that the endpoint sent, at least 1
     */
    void onContent(ByteBuf bytes, int parts);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when the connection ended or received a malformed response before the response was
     * complete.
     */
    void onFailure(String reason);

    /** Called instead of {@link #onFailure} when the endpoint sent more than it may. */
    default void onExcess(String reason) {
      onFailure(reason);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    gathered = new GatheredParts(ctx.alloc());
  }

  /** Returns the decoder of the responses, which precedes this handler in the pipeline. */
  StrictResponseDecoder decoder() {
    return decoder;
  }

  /**
   * Reads what has arrived on the idle connection and is not read yet: bytes that belong to no
   * request, or the end of the connection. Either makes the connection unusable.
   */
  void readArrived() {
    ArrivedBytes.read(channel);
  }

  /** Returns true when a request may be sent now. */
  boolean usable(long nowNanos) {
    boolean fresh =
        idleMillis.isEmpty() || nowNanos - idleSinceNanos < usableIdleNanos(idleMillis.getAsLong());
    return reusable
        && fresh
        && trust.usable(nowNanos - idleSinceNanos, nowNanos)
        && listener.isEmpty()
        && !decoder.hasSurplus()
        && channel.isActive();
  }

  /**
   * Returns true when a request may be sent over this connection: not after its own response, of
   * which a copy may still arrive.
   */
  boolean mayCarry(String id) {
    return !refused.contains(id) && !recent.contains(id);
  }

  /** Sends a request; {@code receiver} gets its response. */
  void send(String id, FullHttpRequest request, Listener receiver) {
    listener = Optional.of(receiver);
    requestId = id;
    remember(id);
    skipResponse = false;
    responseBegun = false;
    refusal = false;
    requestWritten = false;
    sentNanos = System.nanoTime();
    readBefore = decoder.decodedBytes();
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

  /** Returns true until the connection has ended. */
  boolean isOpen() {
    return channel.isActive();
  }

  /** Resumes reading, or pauses it while the caller reads too slowly. */
  void setAutoRead(boolean enabled) {
    if (enabled && !channel.config().isAutoRead()) {
      readSinceNanos = System.nanoTime();
    }
    channel.config().setAutoRead(enabled);
  }

  /**
   * Returns true when the connection is open and has been read without a pause for {@code span}, so
   * that its end would have been noticed.
   */
  boolean provenOpen(Duration span, long nowNanos) {
    return channel.isActive()
        && channel.config().isAutoRead()
        && nowNanos - readSinceNanos >= span.toNanos();
  }

  /** Returns the number of bytes that were received for the request in progress. */
  long receivedBytes() {
    return decoder.decodedBytes() - readBefore;
  }

  /**
   * Cancels the request in progress and closes the connection. The endpoint learns it at once; what
   * it has not received within {@link #DELIVERY_TIME} is discarded.
   */
  void cancel() {
    listener = Optional.empty();
    gathered.takeAll().release();
    if (receivedBytes() > 0 || !channel.isActive()) {
      close();
      return;
    }
    reusable = false;
    cancelled = true;
    // The end of the connection is repeated while it is lost, and follows what was written; a reset
    // is sent once, and takes back what is still in the send buffer.
    setAutoRead(false);
    ((DuplexChannel) channel).shutdownOutput();
    channel
        .eventLoop()
        .schedule(this::discardUndelivered, DELIVERY_TIME.toMillis(), TimeUnit.MILLISECONDS);
  }

  void close() {
    reusable = false;
    channel.close();
  }

  /** Records the start of an idle period. */
  void markIdle(long nowNanos) {
    idleSinceNanos = nowNanos;
    usedBefore = true;
    setAutoRead(true);
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
  public void channelReadComplete(ChannelHandlerContext ctx) {
    forwardGathered();
    boolean skipping = !responseBegun || refusal;
    if (skipping && receivedBytes() > MAX_SKIPPED_BYTES) {
      fail(
          "given more than " + MAX_SKIPPED_BYTES + " bytes that are no response to the request",
          Listener::onExcess);
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(reset ? "the connection was reset" : "the connection was closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // The decoder treats any end of the connection as the end of a response without a length.
    reset = true;
    fail("the connection failed: " + cause);
  }

  private void read(HttpObject message) {
    if (listener.isEmpty()) {
      close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      Throwable cause = message.decoderResult().cause();
      fail(
          "the endpoint sent a malformed response: " + cause,
          cause instanceof TooLongFrameException ? Listener::onExcess : Listener::onFailure);
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
    if (isMerged(response)) {
      mismatched(response, ResponseMatch.MERGED);
      fail("a response whose head holds the beginning of another response");
      return;
    }
    if (ResponseFraming.isUnknown(response)) {
      fail("a response with a transfer coding other than chunked");
      return;
    }
    ResponseHead stated = dialect.readResponse(response);
    refusal = stated.verdict() != ResponseHead.Verdict.RAN;
    ResponseMatch match =
        ResponseMatch.of(
            stated.requestId(),
            requestId,
            refusal,
            new ResponseMatch.History(responses, idsStated || dialect.statesRequestIds()));
    skipResponse = match != ResponseMatch.EXPECTED;
    if (skipResponse) {
      // The expected response may follow, but no other request.
      reusable = false;
      mismatched(response, match);
      if (match == ResponseMatch.UNPROVED) {
        fail("a refusal that does not name its request, on a connection with earlier ones");
      } else if (ResponseFraming.endsWithConnection(response)) {
        fail("a response to another request that states no end, so that no other can follow");
      }
      return;
    }
    this.response = Optional.of(response);
    // Only a connection that has carried a response brings a copy of one.
    embedded = responses > 0 ? Optional.of(new EmbeddedHead(headFields)) : Optional.empty();
    bodyBytes = 0;
    responses++;
    idsStated |= stated.requestId().isPresent();
    responseBegun = true;
    idleMillis = stated.idleMillis();
    if (!HttpUtil.isKeepAlive(response)) {
      reusable = false;
    }
    listener.get().onHead(response, stated);
  }

  private void forwardContent(HttpContent content) {
    if (!skipResponse && responseBegun) {
      ByteBuf bytes = content.content();
      boolean last = content instanceof LastHttpContent && !reset;
      if (holdsCopy(bytes) || (last && endsInsideCopy())) {
        listener.ifPresent(
            receiver -> mismatched(response.orElseThrow(), ResponseMatch.INTERLEAVED));
        fail("a response whose body holds bytes of another response");
        return;
      }
      gathered.append(bytes.retain());
      if (last || gathered.size() >= MAX_GATHERED_BYTES) {
        forwardGathered();
      }
      if (last) {
        completeResponse();
      }
    }
  }

  private void forwardGathered() {
    if (gathered.size() > 0) {
      int parts = gathered.count();
      ByteBuf bytes = gathered.takeAll();
      listener.ifPresentOrElse(receiver -> receiver.onContent(bytes, parts), bytes::release);
    }
  }

  /** Returns true when the body, up to and with {@code bytes}, holds the head of a response. */
  private boolean holdsCopy(ByteBuf bytes) {
    bodyBytes += bytes.readableBytes();
    if (embedded.isEmpty()) {
      return false;
    }
    bytes.forEachByte(this::scan);
    return embedded.get().offset().isPresent();
  }

  /**
   * Returns true when bytes follow the end of the body that do not begin a response of their own: a
   * copy inside the body has moved the rest of it beyond its end.
   */
  private boolean endsInsideCopy() {
    if (embedded.isEmpty() || !decoder.hasSurplus()) {
      return false;
    }
    decoder.forEachSurplusByte(this::scan);
    OptionalLong offset = embedded.get().offset();
    boolean begunInside = offset.isPresent() && offset.getAsLong() < bodyBytes;
    return begunInside || !decoder.surplusBeginsResponse();
  }

  private boolean scan(byte next) {
    embedded.orElseThrow().add(next);
    return true;
  }

  private void mismatched(HttpResponse response, ResponseMatch match) {
    faults.responseDistrusted(match);
    listener.get().onMismatch(response, match);
  }

  private boolean isMerged(HttpResponse response) {
    return MergedHead.isSuspected(
        response.protocolVersion().text(),
        response.status().reasonPhrase(),
        response.headers(),
        dialect.singleResponseFields());
  }

  private void remember(String id) {
    recent.add(id);
    if (recent.size() > MAX_RECENT) {
      recent.remove(recent.iterator().next());
    }
  }

  private void surplusArrived() {
    if (!cancelled) {
      faults.surplusReceived(responses);
    }
    close();
  }

  private void discardUndelivered() {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  private void completeResponse() {
    if (listener.isEmpty()) {
      return;
    }
    Listener receiver = listener.get();
    listener = Optional.empty();
    if (refusal) {
      refused.add(requestId);
      reusable &= refused.size() < MAX_REFUSED;
    }
    if (!requestWritten) {
      // The endpoint responded before it had read the request; the rest is still being written.
      reusable = false;
    }
    receiver.onComplete();
  }

  private void fail(String reason) {
    fail(reason, Listener::onFailure);
  }

  private void fail(String reason, BiConsumer<Listener, String> end) {
    reusable = false;
    forwardGathered();
    channel.close();
    if (listener.isPresent()) {
      recordLoss();
      Listener receiver = listener.get();
      listener = Optional.empty();
      end.accept(receiver, reason);
    }
  }

  private void recordLoss() {
    long now = System.nanoTime();
    if (usedBefore && !responseBegun) {
      trust.connectionLost(idleBeforeNanos, now - sentNanos, now);
    }
  }

  /**
   * Returns half of the idle timeout that the endpoint states, since a request that crosses the
   * endpoint's close may or may not have run.
   */
  private static long usableIdleNanos(long millis) {
    return millis * 1_000_000 / 2;
  }
}
