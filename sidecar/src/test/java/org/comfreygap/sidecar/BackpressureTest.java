package org.comfreygap.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.comfreygap.protocol.generated.FrameBody;
import org.comfreygap.protocol.generated.FrameEnd;
import org.comfreygap.protocol.generated.FrameHead;
import org.comfreygap.sidecar.AttemptOutput.FrameSink;
import org.comfreygap.testkit.RawHttpServer;
import org.junit.jupiter.api.Test;

/** Tests the limits on the bytes of a response that the sidecar buffers. */
class BackpressureTest {

  private static final long TOTAL = 64L * 1024 * 1024;

  /** Guards against buffering a whole response of the endpoint for a slow gateway. */
  @Test
  void readsEndpointOnlyAsFastAsDemanded() throws Exception {
    AtomicLong written = new AtomicLong();
    CountDownLatch ended = new CountDownLatch(1);
    try (RawHttpServer server =
            new RawHttpServer(
                new InetSocketAddress("127.0.0.1", 0),
                (request, response) -> {
                  response.beginChunked(200, Map.of("content-type", "text/plain"));
                  byte[] chunk = new byte[16 * 1024];
                  while (written.addAndGet(chunk.length) < TOTAL) {
                    response.sendChunk(chunk);
                  }
                  response.endChunked();
                });
        HttpEngineClient client =
            new HttpEngineClient(java.net.URI.create("http://127.0.0.1:" + server.port()))) {
      AtomicLong received = new AtomicLong();
      EngineClient.EngineRequest request =
          new EngineClient.EngineRequest(
              "t1", "GET", "/", Map.of(), new byte[0], false, Duration.ofSeconds(60));
      EngineClient.ResponseHandle answer = client.start(request, listener(received, ended));
      SidecarFixture.await("some bytes arrive", () -> received.get() > 0);
      long before = -1;
      while (before != received.get()) {
        before = received.get();
        Thread.sleep(300);
      }
      // A single read may exceed the window.
      assertThat(received.get()).isLessThanOrEqualTo(2L * EngineClient.INITIAL_DEMAND);
      assertThat(written.get())
          .as("bytes written while the client demands no more")
          .isLessThan(TOTAL);
      while (!ended.await(1, TimeUnit.MILLISECONDS)) {
        answer.demand(1024 * 1024);
      }
      assertThat(received.get()).isGreaterThan(TOTAL - 64 * 1024);
    }
  }

  /** Guards against a buffer that grows with the response, and a gap after reattachment. */
  @Test
  void keepsOnlyNewestBytesForReattachment() {
    BufferBudget budget = new BufferBudget();
    for (int i = 0; i < 10_000; i++) {
      budget.addAttempt();
    }
    AttemptOutput output = new AttemptOutput(budget, 0);
    Collector first = new Collector(output);
    output.attach(first, 0);
    output.head(new FrameHead(200, "b1"));
    output.beginExchange(1);
    for (int i = 0; i < 100_000; i++) {
      output.append(1, ByteBuffer.wrap((i + ";").getBytes(StandardCharsets.UTF_8)));
    }
    long total = output.receivedBytes();
    Collector second = new Collector(output);
    assertThat(output.attach(second, 0).attached()).as("attached at a dropped offset").isFalse();
    assertThat(output.attach(second, total + 1).attached())
        .as("attached beyond the received bytes")
        .isFalse();
    long offset = total - 4_000;
    assertThat(output.attach(second, offset).replaced()).contains(first);
    output.finish(new FrameEnd(total, 1));
    String whole = first.text.toString();
    assertThat(second.text.toString()).isEqualTo(whole.substring((int) offset));
    assertThat(first.last.get()).as("frames after the sink was replaced").isNull();
    assertThat(second.last.get().isSetFinish()).isTrue();
  }

  /**
   * Guards against duplicated bytes when a stalled connection delivers data after the response was
   * resumed on another one (I9).
   */
  @Test
  void ignoresBytesOfSupersededExchange() {
    AttemptOutput output = new AttemptOutput(new BufferBudget(), 0);
    Collector reader = new Collector(output);
    output.attach(reader, 0);
    output.head(new FrameHead(200, "b1"));
    output.beginExchange(1);
    assertThat(output.append(1, bytes("one;"))).isTrue();
    assertThat(output.beginExchange(2)).isEqualTo(4);

    assertThat(output.append(1, bytes("two;"))).isFalse();
    assertThat(output.append(2, bytes("two;three;"))).isTrue();
    output.finish(new FrameEnd(output.receivedBytes(), 1));

    assertThat(reader.text.toString()).isEqualTo("one;two;three;");
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }

  private static EngineClient.ResponseListener listener(AtomicLong received, CountDownLatch ended) {
    return new EngineClient.ResponseListener() {
      @Override
      public void onHead(int status, Map<String, String> headers, String bootId) {
        // Only the body matters here.
      }

      @Override
      public boolean onData(ByteBuffer bytes) {
        received.addAndGet(bytes.remaining());
        return true;
      }

      @Override
      public void onComplete(long totalTokens) {
        ended.countDown();
      }

      @Override
      public void onFailure(EngineException failure) {
        ended.countDown();
      }
    };
  }

  private static final class Collector implements FrameSink {

    private final AttemptOutput output;
    private final StringBuilder text = new StringBuilder();
    private final AtomicReference<FrameBody> last = new AtomicReference<>();

    Collector(AttemptOutput output) {
      this.output = output;
    }

    @Override
    public void setOutput(AttemptOutput newOutput) {
      // The output is passed to the constructor.
    }

    @Override
    public void onFramesAvailable() {
      Optional<FrameBody> frame = output.take(this);
      while (frame.isPresent()) {
        if (frame.get().isSetData()) {
          text.append(new String(frame.get().getData().getBytes(), StandardCharsets.UTF_8));
        } else if (!frame.get().isSetHead()) {
          last.set(frame.get());
        }
        frame = output.take(this);
      }
    }

    @Override
    public void onReplaced() {
      // Not needed: the test checks the received frames.
    }
  }
}
