package org.comfreygap.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.comfreygap.protocol.generated.LimitReport;
import org.comfreygap.protocol.generated.ResidencyMessage;
import org.comfreygap.protocol.generated.SendPermitReply;
import org.comfreygap.protocol.generated.SendPermitRequest;
import org.comfreygap.runtime.SharedKey;

/**
 * The connection to another gateway that grants sends, opened when it is needed.
 *
 * <p>Invariant: each request ends with exactly one reply, or with none of the limiter within {@link
 * #REPLY_TIMEOUT}. Thread safety: used on the event loop only.
 */
final class LimiterConnection implements PeerMessages.Receiver {

  /** Far above a round trip between zones and the opening of a connection. */
  static final Duration REPLY_TIMEOUT = Duration.ofMillis(300);

  /** Messages that wait for the connection; further ones are dropped. */
  private static final int MAX_UNSENT = 256;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final SharedKey key;
  private final Map<Long, Consumer<Optional<SendPermitReply>>> open = new HashMap<>();
  private final List<ResidencyMessage> unsent = new ArrayList<>();
  private Optional<Channel> channel = Optional.empty();
  private boolean connecting;
  private boolean closed;
  private long lastNumber;
  private long lastUsedNanos;

  LimiterConnection(EventLoop loop, InetSocketAddress address, SharedKey key, long nowNanos) {
    this.loop = loop;
    this.address = address;
    this.key = key;
    this.lastUsedNanos = nowNanos;
  }

  /**
   * Asks for a send.
   *
   * @param receiver gets the reply; empty when there is none in time
   */
  void request(
      SendPermitRequest request, Consumer<Optional<SendPermitReply>> receiver, long nowNanos) {
    long number = ++lastNumber;
    request.setNumber(number);
    open.put(number, receiver);
    send(ResidencyMessage.sendPermitRequest(request), nowNanos);
    loop.schedule(
        () -> reply(number, Optional.empty()), REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Sends a report, which has no reply. */
  void report(LimitReport report, long nowNanos) {
    send(ResidencyMessage.limitReport(report), nowNanos);
  }

  /** Returns the time of the last message to the limiter. */
  long lastUsedNanos() {
    return lastUsedNanos;
  }

  void close() {
    closed = true;
    channel.ifPresent(Channel::close);
  }

  @Override
  public void opened(Channel opened) {
    connecting = false;
    if (closed) {
      opened.close();
      return;
    }
    channel = Optional.of(opened);
    unsent.forEach(message -> PeerMessages.send(opened, message));
    unsent.clear();
  }

  @Override
  public void received(Channel from, ResidencyMessage message) {
    if (message.isSetSendPermitReply()) {
      SendPermitReply reply = message.getSendPermitReply();
      reply(reply.getNumber(), Optional.of(reply));
    }
  }

  @Override
  public void closed(Channel ended, String reason) {
    connecting = false;
    channel = channel.filter(current -> current != ended);
    unsent.clear();
    List.copyOf(open.keySet()).forEach(number -> reply(number, Optional.empty()));
  }

  private void send(ResidencyMessage message, long nowNanos) {
    lastUsedNanos = nowNanos;
    if (channel.isPresent()) {
      PeerMessages.send(channel.get(), message);
      return;
    }
    if (unsent.size() < MAX_UNSENT) {
      unsent.add(message);
    }
    if (!connecting && !closed) {
      connect();
    }
  }

  private void connect() {
    connecting = true;
    ConnectionPool.withKeepAlive(new Bootstrap().group(loop).channel(NioSocketChannel.class))
        .handler(new PeerMessages(PeerMessages.Side.CLIENT, key, this))
        .connect(address)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                closed(null, String.valueOf(done.cause()));
              }
            });
  }

  private void reply(long number, Optional<SendPermitReply> reply) {
    Consumer<Optional<SendPermitReply>> receiver = open.remove(number);
    if (receiver != null) {
      receiver.accept(reply);
    }
  }
}
