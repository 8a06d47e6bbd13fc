package org.comfreygap.relay;

/**
 * Bounds the bytes of unfinished responses that all exchanges of a gateway hold together.
 *
 * <p>Invariants: the shares above {@link #SMALL_SHARE_BYTES} never add up to more than the limit;
 * smaller ones are always granted, so that responses of usual size do not depend on others. Thread
 * safety: used on the event loop only.
 */
final class HeldBytes {

  /** Bytes that an exchange may hold whatever the others hold. */
  static final int SMALL_SHARE_BYTES = 16 * 1024;

  /** Part of the heap that unfinished responses may take. */
  private static final int HEAP_DIVISOR = 4;

  private final long limit;
  private long counted;

  /** Creates the account of a gateway that may hold {@code limit} bytes. */
  HeldBytes(long limit) {
    this.limit = limit;
  }

  /** Returns an account whose limit is a quarter of the heap. */
  static HeldBytes ofHeap() {
    return new HeldBytes(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /** Returns the bytes in shares that count against the limit. */
  long counted() {
    return counted;
  }

  /** Returns a new, empty share. */
  Share share() {
    return new Share();
  }

  /** The bytes that one holder has. */
  final class Share {

    private long bytes;

    /** Changes the share, or returns false and leaves it when the limit would be exceeded. */
    boolean resize(long newBytes) {
      long growth = countable(newBytes) - countable(bytes);
      if (growth > 0 && counted + growth > limit) {
        return false;
      }
      counted += growth;
      bytes = newBytes;
      return true;
    }

    private static long countable(long bytes) {
      return bytes > SMALL_SHARE_BYTES ? bytes : 0;
    }
  }
}
