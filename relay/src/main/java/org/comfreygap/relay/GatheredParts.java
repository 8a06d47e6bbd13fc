package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;

/**
 * The parts of a body, joined into few large ones.
 *
 * <p>A peer decides how small the chunks of its body are. Small ones are copied together, so that
 * what is done for each part later, a write for example, is done for a few large ones.
 *
 * <pre>{@code
 * GatheredParts parts = new GatheredParts(channel.alloc());
 * parts.append(chunk);
 * ByteBuf body = parts.takeAll();
 * }</pre>
 *
 * <p>Invariants: the bytes keep their order; appending takes time linear in the appended bytes; two
 * adjacent components have at least {@link #LARGE_PART_BYTES} together. Thread safety: used on the
 * event loop only.
 *
 * @since 0.6
 */
final class GatheredParts {

  /** Parts from this size on are not copied. */
  static final int LARGE_PART_BYTES = 4 * 1024;

  private static final int BUFFER_BYTES = 4 * LARGE_PART_BYTES;

  private final ByteBufAllocator allocator;
  private Optional<CompositeByteBuf> earlier = Optional.empty();
  private ByteBuf last = Unpooled.EMPTY_BUFFER;
  private boolean lastIsCopy;
  private int count;

  GatheredParts(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /** Adds a part, which is released or kept here. */
  void append(ByteBuf part) {
    if (!part.isReadable()) {
      part.release();
      return;
    }
    count++;
    int bytes = part.readableBytes();
    boolean bothSmall = Math.max(bytes, last.readableBytes()) < LARGE_PART_BYTES;
    if (!last.isReadable()) {
      replaceLast(part, false);
    } else if (lastIsCopy && bytes < LARGE_PART_BYTES && bytes <= last.writableBytes()) {
      last.writeBytes(part);
      part.release();
    } else if (!lastIsCopy && bothSmall) {
      ByteBuf joined = allocator.buffer(BUFFER_BYTES);
      joined.writeBytes(last).writeBytes(part);
      last.release();
      part.release();
      replaceLast(joined, true);
    } else {
      keepLast();
      replaceLast(part, false);
    }
  }

  /** Returns the number of bytes. */
  int size() {
    return last.readableBytes() + earlier.map(ByteBuf::readableBytes).orElse(0);
  }

  /** Returns the number of parts that were added since the last were taken. */
  int count() {
    return count;
  }

  /** Removes and returns all bytes, in one buffer that the receiver releases. */
  ByteBuf takeAll() {
    ByteBuf all = last;
    if (earlier.isPresent()) {
      keepLast();
      all = earlier.get();
    }
    earlier = Optional.empty();
    replaceLast(Unpooled.EMPTY_BUFFER, false);
    count = 0;
    return all;
  }

  private void keepLast() {
    CompositeByteBuf whole =
        earlier.orElseGet(
            // The number of components is bounded by the bytes: joining them would copy all again.
            () -> allocator.compositeBuffer(Integer.MAX_VALUE));
    whole.addComponent(true, last);
    earlier = Optional.of(whole);
  }

  private void replaceLast(ByteBuf part, boolean copy) {
    last = part;
    lastIsCopy = copy;
  }
}
