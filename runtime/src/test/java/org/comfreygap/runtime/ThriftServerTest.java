package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.TMultiplexedProcessor;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.junit.jupiter.api.Test;

/** Tests the end of a Thrift server. */
class ThriftServerTest {

  private static final PeerSecurity SECURITY =
      PeerSecurity.of(SharedKey.of("a shared key for tests".getBytes(StandardCharsets.UTF_8)));

  /** Guards against a server that goes on accepting because it was closed before it began. */
  @Test
  void endsAcceptingWhenClosedRightAfterItsStart() throws Exception {
    for (int i = 0; i < 200; i++) {
      ThriftServer.start(
              "brief", new InetSocketAddress("127.0.0.1", 0), SECURITY, new TMultiplexedProcessor())
          .close();
    }

    assertThat(Thread.getAllStackTraces().keySet())
        .extracting(Thread::getName)
        .doesNotContain("brief-acceptor");
  }

  /**
   * Guards against a call that is executed while the server closes, and whose reply is cut: control
   * commits a command, and its caller hears of a lost connection.
   */
  @Test
  void repliesToCallThatRunsWhenTheServerCloses() throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    ThriftServer server =
        ThriftServer.start(
            "busy",
            new InetSocketAddress("127.0.0.1", 0),
            SECURITY,
            (in, out) -> {
              TMessage message = in.readMessageBegin();
              TProtocolUtil.skip(in, TType.STRUCT);
              in.readMessageEnd();
              begun.countDown();
              commit();
              reply(out, message);
            });
    try (ControlClient client = new ControlClient(List.of(server.address()), SECURITY)) {
      CompletableFuture<Boolean> call =
          CompletableFuture.supplyAsync(() -> isReplied(client, server.address()));
      begun.await();
      server.close();

      assertThat(call.get(10, TimeUnit.SECONDS)).isTrue();
    }
  }

  /** Takes as long as a disk that syncs slowly. */
  private static void commit() throws TException {
    try {
      TimeUnit.MILLISECONDS.sleep(100);
    } catch (InterruptedException e) {
      throw new TException("interrupted before the reply", e);
    }
  }

  private static void reply(TProtocol out, TMessage message) throws TException {
    out.writeMessageBegin(new TMessage(message.name, TMessageType.REPLY, message.seqid));
    out.writeStructBegin(new TStruct());
    out.writeFieldStop();
    out.writeStructEnd();
    out.writeMessageEnd();
    out.getTransport().flush();
  }

  private static boolean isReplied(ControlClient client, InetSocketAddress server) {
    try {
      return client.callAt(
          server,
          Duration.ofSeconds(5),
          control -> {
            control.releaseLoadPermit("p");
            return true;
          });
    } catch (ControlUnavailableException e) {
      return false;
    }
  }
}
