package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Field;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.Timeline;
import org.comfreygap.settings.Documents.RequestLimits;
import org.comfreygap.testkit.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests how a caller's connection ends, over real sockets.
 *
 * <p>Guards against a response that the gateway takes as delivered and of which the caller does not
 * get the end.
 */
class CallerDeliveryTest {

  private static final int IDLE_MILLIS = 300;
  private static final RequestLimits LIMITS = new RequestLimits(8_192, 65_536, 5_000, IDLE_MILLIS);
  private static final int WAIT_SECONDS = 10;

  /** More than the buffers of both sockets hold while the caller does not read. */
  private static final int LARGE_BYTES = 6 * 1024 * 1024;

  /** More than the caller's socket holds, and less than that of the gateway. */
  private static final int SMALL_BYTES = 256 * 1024;

  private final Closer closer = new Closer();
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final LinkedBlockingQueue<CallerConnection> accepted = new LinkedBlockingQueue<>();
  private EventLog events;
  private RelayContext relay;
  private InetSocketAddress address;

  @BeforeEach
  void listen() throws IOException {
    closer.register(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
    events =
        closer.register(
            new EventLog(
                "test", new HybridClock(() -> 0), new Timeline(Timeline.DEFAULT_CAPACITY)));
    relay = createContext();
    address = FreePorts.address();
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                CallerConnection caller = new CallerConnection(relay, stopping::get);
                caller.install(channel, LIMITS);
                accepted.add(caller);
              }
            })
        .bind(address)
        .syncUninterruptibly();
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** The next request arrives, unread, while the last response is being written. */
  @Test
  void deliversWholeResponseToACallerThatHasWrittenMore() throws Exception {
    try (Socket caller = connect()) {
      CallerConnection connection = accepted.poll(WAIT_SECONDS, TimeUnit.SECONDS);
      CountDownLatch blocked = new CountDownLatch(1);
      CountDownLatch written = new CountDownLatch(1);
      group
          .next()
          .execute(
              () -> {
                blocked.countDown();
                awaitQuietly(written);
                stopping.set(true);
                respond(connection, SMALL_BYTES);
              });
      blocked.await();
      write(caller, "POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\norder");
      Thread.sleep(50);
      written.countDown();
      Thread.sleep(50);

      assertThat(skipHead(caller).readNBytes(SMALL_BYTES).length).isEqualTo(SMALL_BYTES);
    }
  }

  /** Guards against a stop that closes a connection on a request that has arrived. */
  @Test
  void answersRequestThatArrivesUnreadBeforeAnIdleConnectionIsClosed() throws Exception {
    try (Socket caller = connect()) {
      CallerConnection connection = accepted.poll(WAIT_SECONDS, TimeUnit.SECONDS);
      CountDownLatch blocked = new CountDownLatch(1);
      CountDownLatch written = new CountDownLatch(1);
      group
          .next()
          .execute(
              () -> {
                blocked.countDown();
                awaitQuietly(written);
                stopping.set(true);
                connection.closeIfIdle(System.nanoTime());
              });
      blocked.await();
      // Answered by the connection itself, with 400.
      write(caller, "POST /next HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n");
      Thread.sleep(50);
      written.countDown();

      assertThat(new String(caller.getInputStream().readNBytes(12), StandardCharsets.US_ASCII))
          .isEqualTo("HTTP/1.1 400");
    }
  }

  /** Guards against an idle timeout that counts only what the caller writes. */
  @Test
  void deliversWholeResponseToACallerThatPausesForLongerThanTheIdleTimeout() throws Exception {
    try (Socket caller = connect()) {
      CallerConnection connection = accepted.poll(WAIT_SECONDS, TimeUnit.SECONDS);
      group.next().execute(() -> respond(connection, LARGE_BYTES));
      InputStream in = skipHead(caller);
      // The caller goes on reading all the time, with pauses shorter than the timeout.
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(3L * IDLE_MILLIS);
      int early = 0;
      while (System.nanoTime() - end < 0) {
        early += in.readNBytes(16_384).length;
        Thread.sleep(IDLE_MILLIS / 6);
      }

      assertThat(early + in.readNBytes(LARGE_BYTES - early).length).isEqualTo(LARGE_BYTES);
    }
  }

  /**
   * Guards against a stop that resets a connection whose last response is in the buffers of the
   * sockets, when the caller has written its next request meanwhile.
   */
  @Test
  void deliversResponseToASlowCallerWhoseIdleConnectionIsClosed() throws Exception {
    try (Socket caller = connect()) {
      CallerConnection connection = accepted.poll(WAIT_SECONDS, TimeUnit.SECONDS);
      // As after the head of a request; only an exchange would set it here.
      Field keepAlive = CallerConnection.class.getDeclaredField("keepAlive");
      keepAlive.setAccessible(true);
      keepAlive.setBoolean(connection, true);
      group.next().submit(() -> respond(connection, SMALL_BYTES)).get();
      InputStream in = skipHead(caller);
      Thread.sleep(250);
      stopping.set(true);
      assertThat(group.next().submit(connection::isDelivering).get()).isFalse();
      group.next().submit(() -> connection.closeIfIdle(System.nanoTime())).get();
      write(caller, "POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\norder");
      Thread.sleep(50);

      assertThat(in.readNBytes(SMALL_BYTES).length).isEqualTo(SMALL_BYTES);
    }
  }

  private static void respond(CallerConnection connection, int bytes) {
    connection.beginResponse(
        HttpResponseStatus.OK, new DefaultHttpHeaders(), OptionalLong.of(bytes));
    connection.sendPart(Unpooled.wrappedBuffer(new byte[bytes]));
    connection.endResponse();
  }

  private RelayContext createContext() {
    return new RelayContext(
        group.next(),
        new HeaderDialect(),
        null,
        null,
        null,
        null,
        null,
        null,
        null,
        null,
        null,
        Optional.empty(),
        null,
        null,
        null,
        null,
        null,
        null,
        events,
        new RelayMetrics(),
        RouteTable::empty,
        () -> true,
        OptionalLong::empty,
        OptionalInt::empty);
  }

  private Socket connect() throws IOException {
    Socket caller = new Socket();
    caller.setReceiveBufferSize(8_192);
    caller.setSoTimeout(WAIT_SECONDS * 1_000);
    caller.connect(address);
    return caller;
  }

  private static InputStream skipHead(Socket caller) throws IOException {
    InputStream in = new BufferedInputStream(caller.getInputStream());
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("the connection ended after \"" + head + "\"");
      }
      head.append((char) next);
    }
    return in;
  }

  private static void write(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    caller.getOutputStream().flush();
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await(WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
