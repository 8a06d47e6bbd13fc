package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;

/**
 * Bytes of a response that cannot be sent on yet, in one buffer of their own.
 *
 * <p>The bytes are copied: a slice of a few bytes would keep the whole buffer that was read.
 *
 * <p>Invariant: appending takes amortized time linear in the appended bytes. Thread safety: used on
 * the event loop only.
 */
final class HeldBuffer {

  private final int maxBytes;
  private final HeldBytes.Share share;
  private ByteBuf held = Unpooled.EMPTY_BUFFER;
  private Optional<Excess> excess = Optional.empty();

  /** Creates an empty buffer for at most {@code maxBytes}, counted in {@code total}. */
  HeldBuffer(int maxBytes, HeldBytes total) {
    this.maxBytes = maxBytes;
    this.share = total.share();
  }

  /**
   * A limit that was exceeded.
   *
   * @param byEndpoint true when the endpoint alone is the cause, false when the sum over all is
   */
  record Excess(String reason, boolean byEndpoint) {}

  /** Returns the held bytes, which stay here. */
  ByteBuf bytes() {
    return held;
  }

  int size() {
    return held.readableBytes();
  }

  /** Adds a copy of {@code part}, and releases it. */
  void append(ByteBuf part) {
    if (!held.isReadable()) {
      held = Unpooled.buffer(part.readableBytes());
    }
    held.writeBytes(part);
    part.release();
    account();
  }

  /** Removes and returns the first {@code count} bytes. */
  ByteBuf takeFirst(int count) {
    ByteBuf first = held;
    int rest = held.readableBytes() - count;
    held = rest > 0 ? Unpooled.buffer(rest) : Unpooled.EMPTY_BUFFER;
    if (rest > 0) {
      held.writeBytes(first, first.readerIndex() + count, rest);
    }
    first.writerIndex(first.readerIndex() + count);
    account();
    return first;
  }

  /** Removes and returns all bytes. */
  ByteBuf takeAll() {
    ByteBuf all = held;
    held = Unpooled.EMPTY_BUFFER;
    account();
    return all;
  }

  /** Returns which limit the held bytes exceed. */
  Optional<Excess> excess() {
    return excess;
  }

  private void account() {
    if (held.readableBytes() > maxBytes) {
      excess =
          Optional.of(
              new Excess("given more than " + maxBytes + " bytes that belong together", true));
    } else if (!share.resize(held.capacity())) {
      excess =
          Optional.of(new Excess("all responses together hold as many bytes as they may", false));
    } else {
      excess = Optional.empty();
    }
  }
}
