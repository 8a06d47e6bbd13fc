package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

/**
 * Decodes the responses on a kept connection, and rejects bytes that no request waits for and heads
 * whose status has no meaning.
 *
 * <p>The plain decoder keeps the beginning of a message until the rest arrives, so that surplus
 * bytes after a response would become the beginning of the next one.
 *
 * <p>Invariants: a response begins with the first byte that arrives while a request is in progress;
 * its status is a number from 100 to 599 in three digits, and not 101, as no protocol is offered to
 * switch to. Any other head fails like one that cannot be read. Thread safety: used on the event
 * loop of its channel only.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final String RESPONSE_BEGINNING = "HTTP/1.";
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");
  private static final String SWITCHING_PROTOCOLS = "101";

  private final BooleanSupplier inProgress;
  private final Runnable onSurplus;
  private boolean surplus;
  private long decodedBytes;

  /**
   * Creates the decoder of one connection.
   *
   * @param inProgress returns true from the sending of a request to the end of its response
   * @param onSurplus called once, when bytes arrive while no request is in progress; closes the
   *     connection
   */
  StrictResponseDecoder(BooleanSupplier inProgress, Runnable onSurplus) {
    super(MAX_HEADER_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, false);
    this.inProgress = inProgress;
    this.onSurplus = onSurplus;
  }

  /** Returns true when bytes beyond the last response have arrived. */
  boolean hasSurplus() {
    return surplus || actualReadableBytes() > 0;
  }

  /** Returns the number of bytes read as parts of responses. */
  long decodedBytes() {
    return decodedBytes;
  }

  /** Passes the bytes beyond the last response to {@code processor}, without reading them. */
  void forEachSurplusByte(ByteProcessor processor) {
    internalBuffer().forEachByte(processor);
  }

  /** Returns true when the bytes beyond the last response may be the beginning of another one. */
  boolean surplusBeginsResponse() {
    ByteBuf bytes = internalBuffer();
    int compared = Math.min(bytes.readableBytes(), RESPONSE_BEGINNING.length());
    String beginning = bytes.toString(bytes.readerIndex(), compared, StandardCharsets.ISO_8859_1);
    return RESPONSE_BEGINNING.startsWith(beginning);
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    String status = initialLine[1];
    if (!STATUS.matcher(status).matches() || status.equals(SWITCHING_PROTOCOLS)) {
      throw new CorruptedFrameException(
          "given status " + status + ", expected 100 to 599 without " + SWITCHING_PROTOCOLS);
    }
    return super.createMessage(initialLine);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (!surplus && inProgress.getAsBoolean()) {
      int before = in.readableBytes();
      super.decode(ctx, in, out);
      decodedBytes += before - in.readableBytes();
      return;
    }
    in.skipBytes(in.readableBytes());
    if (!surplus) {
      surplus = true;
      onSurplus.run();
    }
  }
}
