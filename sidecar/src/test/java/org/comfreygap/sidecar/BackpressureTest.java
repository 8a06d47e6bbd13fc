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
import org.comfreygap.testkit.WireServer;
import org.junit.jupiter.api.Test;

/** The bounds on the bytes of an answer that the sidecar holds. */
class BackpressureTest {

  private static final long TOTAL = 64L * 1024 * 1024;

  /** Guards against a slow gateway that makes the sidecar take in the endpoint's whole answer. */
  @Test
  void readsEndpointOnlyAsFastAsDemanded() throws Exception {
    AtomicLong written = new AtomicLong();
    CountDownLatch over = new CountDownLatch(1);
    try (WireServer server =
            new WireServer(
                new InetSocketAddress("127.0.0.1", 0),
                (request, response) -> {
                  response.begin(200, Map.of("content-type", "text/plain"));
                  byte[] chunk = new byte[16 * 1024];
                  while (written.addAndGet(chunk.length) < TOTAL) {
                    response.chunk(chunk);
                  }
                  response.end();
                });
        HttpEngineClient client =
            new HttpEngineClient(java.net.URI.create("http://127.0.0.1:" + server.port()))) {
      AtomicLong received = new AtomicLong();
      EngineClient.EngineRequest request =
          new EngineClient.EngineRequest(
              "t1", "GET", "/", Map.of(), new byte[0], false, Duration.ofSeconds(60));
      EngineClient.ResponseHandle answer = client.start(request, listener(received, over));
      SidecarFixture.await("some bytes arrive", () -> received.get() > 0);
      long before = -1;
      while (before != received.get()) {
        before = received.get();
        Thread.sleep(300);
      }
      // One read may end beyond the window.
      assertThat(received.get()).isLessThanOrEqualTo(2L * EngineClient.INITIAL_DEMAND);
      assertThat(written.get()).as("held by the kernel").isLessThan(TOTAL);
      while (!over.await(1, TimeUnit.MILLISECONDS)) {
        answer.demand(1024 * 1024);
      }
      assertThat(received.get()).isGreaterThan(TOTAL - 64 * 1024);
    }
  }

  /** Guards against a buffer that grows with the answer, and against a gap after re-attachment. */
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
    Collector late = new Collector(output);
    assertThat(output.attach(late, 0).attached()).as("the start was dropped").isFalse();
    assertThat(output.attach(late, total + 1).attached()).as("not yet received").isFalse();
    long offset = total - 4_000;
    assertThat(output.attach(late, offset).replaced()).contains(first);
    output.finish(new FrameEnd(total, 1));
    String whole = first.text.toString();
    assertThat(late.text.toString()).isEqualTo(whole.substring((int) offset));
    assertThat(first.last.get()).as("a replaced sink gets nothing more").isNull();
    assertThat(late.last.get().isSetFinish()).isTrue();
  }

  /**
   * Guards against an answer with bytes twice: a connection that was silent delivers after the
   * answer was resumed on another one (I9).
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

  private static EngineClient.ResponseListener listener(AtomicLong received, CountDownLatch over) {
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
        over.countDown();
      }

      @Override
      public void onFailure(EngineException failure) {
        over.countDown();
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
      // Given at construction.
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
      // The test looks at what arrives.
    }
  }
}
