package org.comfreygap.sidecar;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Determines whether a response that ended is complete. A body may be truncated although its
 * transfer coding is complete, for example when a proxy writes the last chunk after losing the
 * origin.
 *
 * <p>Server-sent events are complete when the last event is {@code [DONE]}, JSON when its outermost
 * value is closed, and any other body when its length was declared or it was sent in chunks. A JSON
 * value without brackets shows no end, so that it counts as any other body, and so does an empty
 * body: a head that was cut before the field that states the length is read as one without it.
 *
 * <p>Thread safety: all methods are synchronized, since a resumed response continues in another
 * thread.
 */
final class ResponseCompleteness {

  private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
  private static final int TAIL_BYTES = 512;

  private final Form form;

  /** True for an engine; a service may return any JSON value, or none. */
  private final boolean objectExpected;

  /** True when the head states where the response ends. */
  private final boolean framed;

  private final byte[] tail = new byte[TAIL_BYTES];
  private long total;
  private int depth;
  private boolean inString;
  private boolean escaped;
  private boolean outermostClosed;

  private ResponseCompleteness(Form form, boolean objectExpected, boolean framed) {
    this.form = form;
    this.objectExpected = objectExpected;
    this.framed = framed;
  }

  private enum Form {
    EVENTS,
    JSON,
    OTHER
  }

  /**
   * Returns the check for a response with the given headers.
   *
   * @param checked true for an engine, whose responses carry an end marker
   * @param hasBody false when the status or the request's method excludes a body
   */
  static ResponseCompleteness forHeaders(
      Map<String, String> headers, boolean checked, boolean hasBody) {
    String type = headers.getOrDefault("content-type", "");
    boolean framed =
        !hasBody
            || headers.containsKey("content-length")
            || headers.containsKey("transfer-encoding");
    Form form = Form.OTHER;
    if (checked && type.startsWith("text/event-stream")) {
      form = Form.EVENTS;
    } else if (type.startsWith("application/json")) {
      form = Form.JSON;
    }
    return new ResponseCompleteness(form, checked, framed);
  }

  /** Adds bytes of the body; does not change the position of {@code bytes}. */
  synchronized void update(ByteBuffer bytes) {
    int length = bytes.remaining();
    int kept = Math.min(length, TAIL_BYTES);
    for (int i = bytes.limit() - kept; i < bytes.limit(); i++) {
      tail[(int) ((total + i - bytes.position()) % TAIL_BYTES)] = bytes.get(i);
    }
    total += length;
    if (form == Form.JSON) {
      for (int i = bytes.position(); i < bytes.limit(); i++) {
        scan(bytes.get(i));
      }
    }
  }

  /** Returns true when the body received so far is complete. */
  synchronized boolean complete() {
    return switch (form) {
      case EVENTS -> endsWithDone();
      case JSON -> depth == 0 && !inString && (outermostClosed || !objectExpected && framed);
      case OTHER -> framed;
    };
  }

  /** Returns the total tokens that the engine reported near the end of the body, or -1. */
  synchronized long totalTokens() {
    String text = new String(tailBytes(), StandardCharsets.ISO_8859_1);
    int at = text.lastIndexOf("\"total_tokens\":");
    if (at < 0) {
      return -1;
    }
    long value = -1;
    for (int i = at + "\"total_tokens\":".length(); i < text.length(); i++) {
      char c = text.charAt(i);
      if (c >= '0' && c <= '9') {
        value = Math.max(0, value) * 10 + (c - '0');
      } else if (c != ' ' || value >= 0) {
        break;
      }
    }
    return value;
  }

  private void scan(byte b) {
    if (inString) {
      if (escaped) {
        escaped = false;
      } else if (b == '\\') {
        escaped = true;
      } else if (b == '"') {
        inString = false;
      }
      return;
    }
    switch (b) {
      case '"' -> inString = true;
      case '{', '[' -> depth++;
      case '}', ']' -> {
        depth--;
        outermostClosed = depth == 0;
      }
      default -> {
        // Literals and white space do not change the nesting.
      }
    }
  }

  private boolean endsWithDone() {
    byte[] bytes = tailBytes();
    int end = bytes.length;
    while (end > 0 && (bytes[end - 1] == '\n' || bytes[end - 1] == '\r')) {
      end--;
    }
    if (end < DONE.length) {
      return false;
    }
    int start = end - DONE.length;
    for (int i = 0; i < DONE.length; i++) {
      if (bytes[start + i] != DONE[i]) {
        return false;
      }
    }
    return start == 0 || bytes[start - 1] == '\n';
  }

  private byte[] tailBytes() {
    int length = (int) Math.min(total, TAIL_BYTES);
    byte[] ordered = new byte[length];
    for (int i = 0; i < length; i++) {
      ordered[i] = tail[(int) ((total - length + i) % TAIL_BYTES)];
    }
    return ordered;
  }
}
