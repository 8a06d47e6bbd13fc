package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a stream that resumes at another endpoint in the middle of an event. */
class EventSplitterTest {

  private static final String STREAM =
      "id: 1\ndata: a\n\nversion:2\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: d";

  @Test
  void holdsUnfinishedEventBack() {
    EventSplitter splitter = new EventSplitter(new HeldBytes(Long.MAX_VALUE));

    assertThat(text(splitter.add(bytes(STREAM))))
        .isEqualTo(STREAM.substring(0, STREAM.indexOf("id: 4")));
    assertThat(splitter.lastId()).contains("3");
    assertThat(text(splitter.remainder())).isEqualTo("id: 4\ndata: d");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void returnsEveryByteOnceForAnySplit(long seed) {
    Random random = new Random(seed);
    EventSplitter splitter = new EventSplitter(new HeldBytes(Long.MAX_VALUE));
    StringBuilder passed = new StringBuilder();
    int at = 0;
    while (at < STREAM.length()) {
      int end = Math.min(STREAM.length(), at + 1 + random.nextInt(9));
      passed.append(text(splitter.add(bytes(STREAM.substring(at, end)))));
      at = end;
    }
    assertThat(splitter.lastId()).contains("3");
    assertThat(passed + text(splitter.remainder())).isEqualTo(STREAM);
  }

  /** Guards against a stream with other line ends that counts as broken off, or is held back. */
  @ParameterizedTest
  @ValueSource(strings = {"\n", "\r\n", "\r"})
  void recognizesWholeEventsAtEveryCut(String lineEnd) {
    String event = "id: 7" + lineEnd + "data: \u017eab" + lineEnd + lineEnd;
    byte[] stream = (event + event + event).getBytes(StandardCharsets.UTF_8);
    int length = stream.length / 3;
    for (int cut = 0; cut <= stream.length; cut++) {
      for (int part = 1; part <= 5; part++) {
        EventSplitter splitter = new EventSplitter(new HeldBytes(Long.MAX_VALUE));
        int forwarded = 0;
        for (int at = 0; at < cut; at += part) {
          int size = Math.min(part, cut - at);
          forwarded += splitter.add(Unpooled.copiedBuffer(stream, at, size)).readableBytes();
        }
        assertThat(forwarded).isEqualTo(cut - cut % length);
        assertThat(splitter.isInsideEvent()).isEqualTo(cut % length != 0);
        assertThat(splitter.completeEvents()).isEqualTo(cut / length);
      }
    }
  }

  /** Guards against an event that is sent on although the stream cannot resume after it. */
  @ParameterizedTest
  @ValueSource(strings = {"\n", "\r\n", "\r"})
  void keepsBackAnEventWhoseIdIsTooLong(String lineEnd) {
    String first = "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd;
    String id = "x".repeat(EventSplitter.MAX_ID_BYTES);
    String second = "id: " + id + lineEnd + "data: b" + lineEnd + lineEnd;
    EventSplitter splitter = new EventSplitter(new HeldBytes(Long.MAX_VALUE));

    assertThat(text(splitter.add(bytes(first + second + first)))).isEqualTo(first);

    assertThat(splitter.lastId()).contains("1");
    assertThat(splitter.completeEvents()).isEqualTo(1);
    assertThat(splitter.excess()).isPresent();
  }

  @Test
  void doesNotCountCommentsAsEvents() {
    EventSplitter splitter = new EventSplitter(new HeldBytes(Long.MAX_VALUE));

    assertThat(text(splitter.add(bytes(": wait\n\n")))).isEqualTo(": wait\n\n");

    assertThat(splitter.completeEvents()).isZero();
    assertThat(splitter.isInsideEvent()).isFalse();
  }

  @Test
  void forgetsUnfinishedEventThatWasDropped() {
    EventSplitter splitter = new EventSplitter(new HeldBytes(Long.MAX_VALUE));
    splitter.add(bytes("id: 1\ndata: a\n\nid: 2\r"));
    splitter.dropRemainder();

    assertThat(text(splitter.add(bytes("\nid: 2\ndata: b\n\n")))).endsWith("data: b\n\n");
    assertThat(splitter.lastId()).contains("2");
    assertThat(splitter.completeEvents()).isEqualTo(2);
  }

  /** Guards against an event without end that takes up memory, or time that grows with it. */
  @Test
  void reportsEventBeyondTheLimit() {
    EventSplitter splitter = new EventSplitter(new HeldBytes(Long.MAX_VALUE));
    String line = "data: " + "x".repeat(1_017) + "\n";
    for (int size = 0; size < EventSplitter.MAX_EVENT_BYTES; size += line.length()) {
      assertThat(splitter.excess()).isEmpty();
      splitter.add(bytes(line));
    }
    assertThat(splitter.excess()).isEmpty();
    splitter.add(bytes("x"));

    assertThat(splitter.excess()).isPresent();
    splitter.dropRemainder();
    assertThat(splitter.excess()).isEmpty();
  }

  /** Guards against an id that is kept as long as its stream, and fits into no request. */
  @Test
  void reportsIdBeyondTheLimit() {
    EventSplitter splitter = new EventSplitter(new HeldBytes(Long.MAX_VALUE));
    splitter.add(bytes("id: 1\ndata: a\n\nid: " + "x".repeat(EventSplitter.MAX_ID_BYTES)));
    splitter.add(bytes("\ndata: b\n\n"));

    assertThat(splitter.excess()).isPresent();
    assertThat(splitter.lastId()).contains("1");
  }

  /** Guards against events that are each within their limit and together take up memory. */
  @Test
  void reportsEventsThatAreTooLargeTogether() {
    HeldBytes total = new HeldBytes(100_000);
    EventSplitter large = new EventSplitter(total);
    EventSplitter next = new EventSplitter(total);
    EventSplitter small = new EventSplitter(total);
    large.add(bytes("x".repeat(60_000)));
    small.add(bytes("x".repeat(HeldBytes.SMALL_SHARE_BYTES)));
    next.add(bytes("x".repeat(60_000)));

    assertThat(next.excess()).isPresent();
    assertThat(large.excess()).isEmpty();
    assertThat(small.excess()).isEmpty();
    next.dropRemainder();
    large.add(bytes("\n\n"));
    next.add(bytes("x".repeat(60_000)));
    assertThat(next.excess()).isEmpty();
    next.dropRemainder();
    assertThat(total.counted()).isZero();
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  private static String text(ByteBuf bytes) {
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
