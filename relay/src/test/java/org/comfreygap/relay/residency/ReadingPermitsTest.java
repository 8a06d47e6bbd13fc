package org.comfreygap.relay.residency;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.comfreygap.protocol.generated.EndpointStatus;
import org.comfreygap.protocol.generated.ReadingPermitReply;
import org.comfreygap.protocol.generated.ReadingPermitRequest;
import org.comfreygap.protocol.generated.ResidencyMessage;
import org.comfreygap.relay.HttpPeerClient;
import org.junit.jupiter.api.Test;

/** Guards against gateways that get no reply, or one that tells nothing for the next choice. */
class ReadingPermitsTest {

  private static final int RUNNING = 5;

  private final ReadingPermits permits =
      new ReadingPermits(new EngineLimitTest.LimitDialect(), OptionalInt.empty());
  private final EmbeddedChannel gateway = new EmbeddedChannel();

  /** Load pattern: five prompts at once to an engine at the usual time. */
  @Test
  void refusesWhatWouldPauseTheStreamsAndStatesWhy() throws Exception {
    long now = System.nanoTime();
    permits.observed(100, now);
    for (int i = 0; i < 5; i++) {
      permits.requested(gateway, prompt(i), RUNNING, now);
    }

    assertThat(reply().isGranted()).isTrue();
    ReadingPermitReply last = reply();
    for (int i = 2; i < 5; i++) {
      last = reply();
    }
    assertThat(last.getNumber()).isEqualTo(4);
    assertThat(last.isGranted()).isFalse();
    assertThat(last.getWaitMicros()).isPositive();
    assertThat(last.getPacePercent()).isEqualTo(100);
    assertThat(last.getReadingMicros()).isEqualTo(2 * 76_000);
  }

  @Test
  void statesNoPaceBeforeTheEngineDoes() {
    EndpointStatus status = new EndpointStatus();
    permits.describe(status, System.nanoTime());
    assertThat(status.isSetPacePercent()).isFalse();

    permits.observed(250, System.nanoTime());
    permits.describe(status, System.nanoTime());
    assertThat(status.getPacePercent()).isEqualTo(250);
  }

  @Test
  void assumesAPaceOnlyWhereSettingsSaySoAndStreamsPauseTooLong() throws Exception {
    ReadingPermitRequest paused = prompt(1).setPausesTooLong(true);
    permits.requested(gateway, paused, RUNNING, 0);
    assertThat(reply().isSetPacePercent()).isFalse();
    assertThat(statedAt(permits, 0)).isEmpty();

    ReadingPermits assuming =
        new ReadingPermits(new EngineLimitTest.LimitDialect(), OptionalInt.of(100));
    assuming.requested(gateway, prompt(2), RUNNING, 0);
    assertThat(reply().isSetPacePercent()).isFalse();
    assertThat(statedAt(assuming, 0)).isEmpty();

    assuming.requested(gateway, paused, RUNNING, 0);
    assertThat(reply().getPacePercent()).isEqualTo(100);
    assertThat(statedAt(assuming, 1)).hasValue(100);
    // The pauses are short again.
    assertThat(statedAt(assuming, ReadingPermits.ASSUMED_TIME.toNanos())).isEmpty();

    assuming.observed(250, 1);
    assertThat(statedAt(assuming, 2)).hasValue(250);
  }

  private static OptionalInt statedAt(ReadingPermits permits, long nowNanos) {
    permits.reported(nowNanos);
    EndpointStatus status = new EndpointStatus();
    permits.describe(status, nowNanos);
    return status.isSetPacePercent()
        ? OptionalInt.of(status.getPacePercent())
        : OptionalInt.empty();
  }

  /** Guards against a prompt that waits for an engine which no longer answers. */
  @Test
  void decidesByWhatItKnowsWhenTheEngineDoesNotAnswer() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try {
      HttpPeerClient client =
          new HttpPeerClient(
              group.next(), new InetSocketAddress("127.0.0.1", 1), ReadingPermits.ASK_TIMEOUT, 64);
      permits.ask(client, () -> Optional.of("/health"));
      long old = System.nanoTime() - TimeUnit.SECONDS.toNanos(2);
      permits.observed(100, old);
      group
          .submit(() -> permits.requested(gateway, prompt(7), RUNNING, System.nanoTime()))
          .get(5, TimeUnit.SECONDS);

      assertThat(reply().getNumber()).isEqualTo(7);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  private static ReadingPermitRequest prompt(long number) {
    return new ReadingPermitRequest(number, 76_000, 31_000, 300_000, 0, false);
  }

  private ReadingPermitReply reply() throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    ByteBuf bytes = gateway.readOutbound();
    while (bytes == null && System.nanoTime() - deadline < 0) {
      Thread.sleep(5);
      gateway.runPendingTasks();
      bytes = gateway.readOutbound();
    }
    ResidencyMessage message = new ResidencyMessage();
    new TDeserializer(new TCompactProtocol.Factory())
        .deserialize(message, ByteBufUtil.getBytes(bytes));
    return message.getReadingPermitReply();
  }
}
