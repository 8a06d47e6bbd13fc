package org.comfreygap.decisions;

import java.util.Locale;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Detects the head of a response among the bytes of another response's body.
 *
 * <p>A faulty endpoint may write an earlier response once more while it writes the expected one. A
 * head is found by its status line, in any place of a line, followed by fields up to one that is
 * known. Text about HTTP looks the same, so that the check is meant for connections that have
 * carried earlier responses.
 *
 * <pre>{@code
 * EmbeddedHead embedded = new EmbeddedHead(Set.of("content-length"));
 * for (byte next : body) { embedded.add(next); }
 * boolean damaged = embedded.offset().isPresent();
 * }</pre>
 *
 * <p>Invariant: the result does not depend on how the bytes are split. Thread safety: not
 * thread-safe.
 *
 * @since 0.7
 */
public final class EmbeddedHead {

  /** A status line up to its code; {@code 0} stands for any digit. */
  private static final String STATUS_LINE = "HTTP/0.0 000";

  private static final int MAX_NAME_CHARS = 64;

  private final Set<String> knownFields;
  private final StringBuilder name = new StringBuilder();
  private OptionalLong offset = OptionalLong.empty();
  private State state = State.OUTSIDE;
  private int matched;
  private boolean afterCr;
  private long position;
  private long statusLineOffset;

  private enum State {
    OUTSIDE,
    REST_OF_LINE,
    FIELD_NAME
  }

  /**
   * Creates a detector at the first byte of a body.
   *
   * @param knownFields lower-case names of fields that heads of responses have
   */
  public EmbeddedHead(Set<String> knownFields) {
    this.knownFields = Set.copyOf(knownFields);
  }

  /** Returns the offset of the first head that was found. */
  public OptionalLong offset() {
    return offset;
  }

  /** Adds the next byte. */
  public void add(byte next) {
    position++;
    if (state == State.REST_OF_LINE) {
      endLine(next);
    } else if (state == State.FIELD_NAME) {
      addToName((char) (next & 0xff));
    }
    matchStatusLine(next);
  }

  private void matchStatusLine(byte next) {
    if (!matches(next, STATUS_LINE.charAt(matched))) {
      matched = 0;
    }
    if (matches(next, STATUS_LINE.charAt(matched))) {
      matched++;
    }
    if (matched == STATUS_LINE.length()) {
      matched = 0;
      statusLineOffset = position - STATUS_LINE.length();
      state = State.REST_OF_LINE;
      afterCr = false;
    }
  }

  private static boolean matches(byte next, char expected) {
    return expected == '0' ? next >= '0' && next <= '9' : next == expected;
  }

  private void endLine(byte next) {
    if (next == '\n') {
      state = afterCr ? State.FIELD_NAME : State.OUTSIDE;
      name.setLength(0);
    }
    afterCr = next == '\r';
  }

  private void addToName(char next) {
    if (next == ':') {
      if (offset.isEmpty() && knownFields.contains(name.toString().toLowerCase(Locale.ROOT))) {
        offset = OptionalLong.of(statusLineOffset);
      }
      state = State.REST_OF_LINE;
    } else if (next <= ' ' || name.length() == MAX_NAME_CHARS) {
      state = State.OUTSIDE;
    } else {
      name.append(next);
    }
  }
}
