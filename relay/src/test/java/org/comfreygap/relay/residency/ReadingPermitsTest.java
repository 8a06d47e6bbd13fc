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
  void assumesAPaceOnlyWhereSettingsSaySoAndTheEngineStatesNone() {
    permits.reported(0);
    EndpointStatus status = new EndpointStatus();
    permits.describe(status, 0);
    assertThat(status.isSetPacePercent()).isFalse();

    ReadingPermits assuming =
        new ReadingPermits(new EngineLimitTest.LimitDialect(), OptionalInt.of(100));
    assuming.reported(0);
    assuming.describe(status, 0);
    assertThat(status.getPacePercent()).isEqualTo(100);
    assuming.observed(250, 1);
    assuming.reported(2);
    assuming.describe(status, 2);
    assertThat(status.getPacePercent()).isEqualTo(250);
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
