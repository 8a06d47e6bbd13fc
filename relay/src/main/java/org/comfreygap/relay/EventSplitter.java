package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits the bytes of an event stream after its last complete event and records that event's id.
 *
 * <p>An endpoint may fail in the middle of an event; only whole events are forwarded, so that a
 * stream can resume at another endpoint after the last one. Lines end with LF, CR LF or CR, as the
 * format allows; the CR of an empty line that may become CR LF is not the end of an event yet.
 *
 * <p>Invariants: every byte is returned exactly once and in order; an unfinished event beyond
 * {@link #MAX_EVENT_BYTES} is reported by {@link #excess}. Thread safety: not thread-safe.
 */
final class EventSplitter {

  /** Largest event of a stream. */
  static final int MAX_EVENT_BYTES = 1024 * 1024;

  /** Longest id of an event, which must fit into the head of a request that resumes after it. */
  static final int MAX_ID_BYTES = 4 * 1024;

  private static final String ID_FIELD = "id:";

  private final HeldBuffer partialEvent;
  private Optional<String> lastId = Optional.empty();
  private Optional<String> partialEventId = Optional.empty();
  private boolean partialEventHasField;
  private int completeEvents;
  // Offset in the partial event at which the current line begins.
  private int lineStart;
  private boolean lineIsEmpty = true;
  private boolean afterCr;
  private boolean previousLineEndedWithCr;
  private boolean emptyLineEndedWithCr;
  private boolean idTooLong;

  /** Creates a splitter whose unfinished event counts in {@code total}. */
  EventSplitter(HeldBytes total) {
    this.partialEvent = new HeldBuffer(MAX_EVENT_BYTES, total);
  }

  /** Adds bytes and returns those up to the end of the last complete event. */
  ByteBuf add(ByteBuf bytes) {
    int scanned = partialEvent.size();
    if (scanned > 0) {
      partialEvent.append(bytes);
      int end = scan(partialEvent.bytes(), scanned);
      lineStart -= end;
      return end == 0 ? Unpooled.EMPTY_BUFFER : partialEvent.takeFirst(end);
    }
    int end = scan(bytes, 0);
    lineStart -= end;
    if (end == bytes.readableBytes()) {
      return bytes;
    }
    ByteBuf complete = bytes.readRetainedSlice(end);
    partialEvent.append(bytes);
    return complete;
  }

  /** Returns which limit the unfinished event exceeds. */
  Optional<HeldBuffer.Excess> excess() {
    return idTooLong
        ? Optional.of(
            new HeldBuffer.Excess(
                "given an event id of more than " + MAX_ID_BYTES + " bytes", true))
        : partialEvent.excess();
  }

  /** Returns true when the last bytes belong to an unfinished event. */
  boolean isInsideEvent() {
    return partialEvent.size() > 0;
  }

  /** Returns the number of complete events; a block of comments is none. */
  int completeEvents() {
    return completeEvents;
  }

  /** Returns the bytes of an unfinished event, at the end of the stream. */
  ByteBuf remainder() {
    ByteBuf left = partialEvent.takeAll();
    partialEventId = Optional.empty();
    partialEventHasField = false;
    lineStart = 0;
    lineIsEmpty = true;
    afterCr = false;
    previousLineEndedWithCr = false;
    emptyLineEndedWithCr = false;
    idTooLong = false;
    return left;
  }

  /** Drops an unfinished event. */
  void dropRemainder() {
    remainder().release();
  }

  /** Returns the id of the last complete event that has one. */
  Optional<String> lastId() {
    return lastId;
  }

  /**
   * Scans the bytes after the first {@code from} ones, and returns the number of bytes up to the
   * end of the last complete event.
   */
  private int scan(ByteBuf bytes, int from) {
    int end = 0;
    for (int at = from; at < bytes.readableBytes(); at++) {
      byte next = bytes.getByte(bytes.readerIndex() + at);
      if (afterCr) {
        afterCr = false;
        if (next == '\n') {
          previousLineEndedWithCr = false;
          lineStart = at + 1;
          if (emptyLineEndedWithCr) {
            emptyLineEndedWithCr = false;
            end = Math.max(end, endEvent(at + 1));
          } else if (end == at) {
            // The event ended with the CR before this byte.
            end = at + 1;
          }
          continue;
        }
        previousLineEndedWithCr = true;
        if (emptyLineEndedWithCr) {
          emptyLineEndedWithCr = false;
          end = Math.max(end, endEvent(at));
        }
      }
      if (next == '\n' || next == '\r') {
        end = Math.max(end, endLine(bytes, at, next == '\r'));
      } else {
        lineIsEmpty = false;
      }
    }
    return end;
  }

  /** Ends a line, and returns the end of the event if the line ends one; 0 otherwise. */
  private int endLine(ByteBuf bytes, int at, boolean cr) {
    int end = 0;
    if (!lineIsEmpty) {
      readLine(bytes, at);
    } else if (cr && !previousLineEndedWithCr) {
      emptyLineEndedWithCr = true;
    } else {
      end = endEvent(at + 1);
    }
    afterCr = cr;
    if (!cr) {
      previousLineEndedWithCr = false;
    }
    lineIsEmpty = true;
    lineStart = at + 1;
    return end;
  }

  private int endEvent(int end) {
    if (idTooLong) {
      // A stream cannot resume after this event, so that it must not be sent on.
      return 0;
    }
    completeEvents += partialEventHasField ? 1 : 0;
    lastId = partialEventId.or(() -> lastId);
    partialEventId = Optional.empty();
    partialEventHasField = false;
    return end;
  }

  private void readLine(ByteBuf bytes, int lineEnd) {
    int first = bytes.readerIndex() + lineStart;
    int length = lineEnd - lineStart;
    partialEventHasField |= bytes.getByte(first) != ':';
    boolean id = length >= ID_FIELD.length();
    for (int i = 0; id && i < ID_FIELD.length(); i++) {
      id = bytes.getByte(first + i) == ID_FIELD.charAt(i);
    }
    idTooLong |= id && length > MAX_ID_BYTES;
    if (id && !idTooLong) {
      int value = ID_FIELD.length();
      String text = bytes.toString(first + value, length - value, StandardCharsets.UTF_8);
      partialEventId = Optional.of(text.strip());
    }
  }
}
