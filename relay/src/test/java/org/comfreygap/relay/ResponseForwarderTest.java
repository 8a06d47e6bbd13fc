package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests what a response does when all unfinished responses hold as many bytes as they may. */
class ResponseForwarderTest {

  private static final int LIMIT_BYTES = 100_000;
  private static final int BODY_BYTES = 60_000;

  private final RecordingCaller caller = new RecordingCaller();
  private final HeldBytes held = new HeldBytes(LIMIT_BYTES);
  private final ResponseForwarder forwarder = new ResponseForwarder(caller, false, held, () -> {});

  /** Guards against a sound response that fails because other endpoints stall. */
  @Test
  void forwardsSuccessThatCannotBeHeld() {
    assertThat(held.share().resize(LIMIT_BYTES)).isTrue();

    append(HttpResponseStatus.OK);

    assertThat(forwarder.excess()).isEmpty();
    assertThat(caller.forwardedBytes).isEqualTo(BODY_BYTES);
  }

  /** Guards against a status without a proof that reaches the caller before it is checked. */
  @Test
  void forwardsNoFailureThatCannotBeHeld() {
    assertThat(held.share().resize(LIMIT_BYTES)).isTrue();

    append(HttpResponseStatus.SERVICE_UNAVAILABLE);

    assertThat(forwarder.excess()).hasValueSatisfying(e -> assertThat(e.byEndpoint()).isFalse());
    assertThat(caller.forwardedBytes).isZero();
  }

  @Test
  void holdsResponseWhileThereIsRoom() {
    append(HttpResponseStatus.OK);

    assertThat(forwarder.excess()).isEmpty();
    assertThat(forwarder.started()).isFalse();
  }

  private void append(HttpResponseStatus status) {
    forwarder.beginResponse(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status));
    forwarder.appendBody(Unpooled.wrappedBuffer(new byte[BODY_BYTES]), BODY_BYTES);
  }

  private static final class RecordingCaller implements Caller {

    private int forwardedBytes;

    @Override
    public void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
      sendPart(content);
    }

    @Override
    public void beginResponse(HttpResponseStatus status, HttpHeaders headers, OptionalLong length) {
      forwardedBytes = 0;
    }

    @Override
    public void sendPart(ByteBuf bytes) {
      forwardedBytes += bytes.readableBytes();
      bytes.release();
    }

    @Override
    public void endResponse() {
      throw new AssertionError("the response has not ended");
    }

    @Override
    public void abort() {
      throw new AssertionError("the response is not broken off");
    }

    @Override
    public boolean readArrived() {
      return true;
    }

    @Override
    public boolean writable() {
      return true;
    }
  }
}
