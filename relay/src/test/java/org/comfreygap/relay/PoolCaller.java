package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.comfreygap.decisions.IdleConnectionLimit;
import org.comfreygap.decisions.ResponseMatch;

/**
 * Sends requests to one endpoint over the connections of a pool, one at a time.
 *
 * <p>Thread safety: used by one thread.
 */
final class PoolCaller implements AutoCloseable {

  /** Outcome of a request without a complete response. */
  static final int FAILED = 0;

  private static final long TIMEOUT_SECONDS = 5;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final AtomicInteger surplus = new AtomicInteger();
  private final List<ResponseMatch> mismatches = new CopyOnWriteArrayList<>();
  private final AtomicInteger suspensions = new AtomicInteger();
  private final InetSocketAddress endpoint;
  private ConnectionPool pool;

  /**
   * The end of a request.
   *
   * @param status status of the complete response, or {@link #FAILED}
   * @param body what was received of the body
   */
  record Result(int status, String body) {}

  PoolCaller(InetSocketAddress endpoint) {
    this.endpoint = endpoint;
    this.pool = createPool();
  }

  /**
   * Sends a request and returns the status of its response, once the connection is back, or {@link
   * #FAILED}.
   */
  int send(String id) throws Exception {
    return sendForBody(id).status();
  }

  /** Sends a request and returns its end, once the connection is back. */
  Result sendForBody(String id) throws Exception {
    CompletableFuture<Result> result = new CompletableFuture<>();
    ConnectionPool used = pool;
    loop.execute(
        () ->
            used.acquire(
                System.nanoTime(),
                id,
                connection ->
                    connection.send(id, request(id), new Receiver(used, connection, result)),
                result::completeExceptionally));
    return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Returns how often the pools suspended the reuse of connections. */
  int suspensions() {
    return suspensions.get();
  }

  /** Returns how many connections brought bytes that belong to no request. */
  int surplus() {
    return surplus.get();
  }

  /** Waits until more than {@code known} connections brought such bytes, or time is over. */
  void awaitSurplus(int known) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (surplus() <= known && System.nanoTime() < deadline) {
      Thread.sleep(1);
    }
  }

  /** Returns why responses were not taken for those to the requests in progress. */
  List<ResponseMatch> mismatches() {
    return mismatches;
  }

  /** Closes the idle connections and forgets what was learned of the endpoint. */
  void renewPool() throws Exception {
    loop.submit(pool::closeIdle).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    pool = createPool();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private ConnectionPool createPool() {
    return new ConnectionPool(
        loop, new HeaderDialect(), endpoint, new IdleConnectionLimit(), new Counter());
  }

  private static FullHttpRequest request(String id) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/unsafe/1");
    request.headers().set(HeaderDialect.REQUEST, id);
    return request;
  }

  private final class Counter implements ConnectionPool.Observer {

    @Override
    public void surplusReceived(int responses) {
      surplus.incrementAndGet();
    }

    @Override
    public void reuseSuspended(String cause) {
      suspensions.incrementAndGet();
    }

    @Override
    public void reuseResumed() {}
  }

  private final class Receiver implements EndpointConnection.Listener {

    private final ConnectionPool owner;
    private final EndpointConnection connection;
    private final CompletableFuture<Result> result;
    private final StringBuilder body = new StringBuilder();
    private int received;

    Receiver(
        ConnectionPool owner, EndpointConnection connection, CompletableFuture<Result> result) {
      this.owner = owner;
      this.connection = connection;
      this.result = result;
    }

    @Override
    public void onHead(HttpResponse response, ResponseHead stated) {
      received = response.status().code();
    }

    @Override
    public void onMismatch(HttpResponse response, ResponseMatch match) {
      mismatches.add(match);
    }

    @Override
    public void onContent(ByteBuf bytes, int parts) {
      body.append(bytes.toString(StandardCharsets.US_ASCII));
      bytes.release();
    }

    @Override
    public void onComplete() {
      loop.execute(
          () -> {
            owner.release(connection, System.nanoTime());
            result.complete(new Result(received, body.toString()));
          });
    }

    @Override
    public void onFailure(String reason) {
      result.complete(new Result(FAILED, body.toString()));
    }
  }
}
