package org.comfreygap.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.comfreygap.decisions.ConnectionReuse;
import org.comfreygap.decisions.IdleConnectionLimit;
import org.comfreygap.decisions.ResponseMatch;

/**
 * The connections of this gateway to one endpoint.
 *
 * <p>Invariants: a connection is either idle here or carries one request; while reuse is suspended
 * a connection carries one request in all. Thread safety: used on the event loop only.
 */
final class ConnectionPool implements EndpointConnection.FaultListener {

  /** Far above a handshake between zones; a lost SYN is resent only after a second. */
  static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  /** Idle time after which the kernel starts sending keep-alive probes. */
  static final int KEEP_ALIVE_IDLE_SECONDS = 1;

  /** Time between two keep-alive probes. */
  static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;

  /** Unanswered keep-alive probes after which the connection is closed. */
  static final int KEEP_ALIVE_COUNT = 2;

  /** Idle connections that are kept; beyond this number the oldest are closed. */
  static final int MAX_IDLE = 24;

  private final EventLoop loop;
  private final RequestDialect dialect;
  private final InetSocketAddress address;
  private final IdleConnectionLimit trust;
  private final Observer observer;
  private final ConnectionReuse reuse = new ConnectionReuse();
  private final Deque<EndpointConnection> idle = new ArrayDeque<>();
  private final Set<EndpointConnection> open = new HashSet<>();

  /**
   * Creates an empty pool.
   *
   * @param trust learned limits on idle connections, shared by the endpoints of a pool
   * @param observer notified of faults of the endpoint and what follows from them
   */
  ConnectionPool(
      EventLoop loop,
      RequestDialect dialect,
      InetSocketAddress address,
      IdleConnectionLimit trust,
      Observer observer) {
    this.loop = loop;
    this.dialect = dialect;
    this.address = address;
    this.trust = trust;
    this.observer = observer;
  }

  /** Is notified of faults of an endpoint and what follows from them. */
  interface Observer {

    /** Called when more bytes arrived on a connection than belong to its responses so far. */
    void surplusReceived(int responses);

    /** Called when each connection carries one request from now on. */
    void reuseSuspended(String cause);

    /** Called when connections are kept again. */
    void reuseResumed();
  }

  @Override
  public void surplusReceived(int responses) {
    observer.surplusReceived(responses);
    suspendReuse("surplus");
  }

  @Override
  public void responseDistrusted(ResponseMatch match) {
    suspendReuse(match.label());
  }

  /**
   * Passes a connection that may carry the request {@code requestId} to {@code ready}, or the cause
   * to {@code failed}.
   */
  void acquire(
      long nowNanos,
      String requestId,
      Consumer<EndpointConnection> ready,
      Consumer<Throwable> failed) {
    if (reuse.endElapsed(nowNanos)) {
      observer.reuseResumed();
    }
    Optional<EndpointConnection> kept = takeIdle(nowNanos, requestId);
    if (kept.isPresent()) {
      ready.accept(kept.get());
      return;
    }
    EndpointConnection connection = new EndpointConnection(dialect, trust, this);
    ChannelFuture future = bootstrap(loop, connection).connect(address);
    future.addListener(
        done -> {
          if (done.isSuccess()) {
            open.add(connection);
            future.channel().closeFuture().addListener(closed -> open.remove(connection));
            ready.accept(connection);
          } else {
            failed.accept(done.cause());
          }
        });
  }

  /**
   * Returns the number of connections, idle or not, whose end would have been noticed: a connection
   * that is not read stays open after its peer has closed it.
   *
   * @param span time for which they have been read without a pause
   */
  int provenOpen(Duration span, long nowNanos) {
    return (int) open.stream().filter(one -> one.provenOpen(span, nowNanos)).count();
  }

  /** Returns a connection to the pool after a complete response. */
  void release(EndpointConnection connection, long nowNanos) {
    connection.markIdle(nowNanos);
    if (!reuse.allowed(nowNanos) || !connection.usable(nowNanos)) {
      connection.close();
      return;
    }
    idle.addFirst(connection);
    if (idle.size() > MAX_IDLE) {
      idle.pollLast().close();
    }
  }

  void closeIdle() {
    idle.forEach(EndpointConnection::close);
    idle.clear();
  }

  /**
   * Sets the options of a connection to a peer: it is closed within seconds when the peer is
   * unreachable, and what arrives without a pause takes turns with other connections.
   */
  static Bootstrap withKeepAlive(Bootstrap bootstrap) {
    return bootstrap
        .option(ChannelOption.RCVBUF_ALLOCATOR, onePartPerTurn())
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .option(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
            KEEP_ALIVE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_COUNT)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis());
  }

  private Optional<EndpointConnection> takeIdle(long nowNanos, String requestId) {
    Iterator<EndpointConnection> all = idle.iterator();
    while (all.hasNext()) {
      EndpointConnection kept = all.next();
      kept.readArrived();
      if (!reuse.allowed(nowNanos) || !kept.usable(nowNanos)) {
        all.remove();
        kept.close();
      } else if (kept.mayCarry(requestId)) {
        all.remove();
        return Optional.of(kept);
      }
    }
    return Optional.empty();
  }

  private void suspendReuse(String cause) {
    if (reuse.faultSeen(System.nanoTime())) {
      observer.reuseSuspended(cause);
    }
  }

  /** Returns the sizes of reads, of which the event loop does one before it serves others. */
  private static RecvByteBufAllocator onePartPerTurn() {
    return new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(1);
  }

  private static Bootstrap bootstrap(EventLoop loop, EndpointConnection connection) {
    return withKeepAlive(new Bootstrap().group(loop).channel(NioSocketChannel.class))
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new ExactRequestEncoder(), connection.decoder(), connection);
              }
            });
  }
}
