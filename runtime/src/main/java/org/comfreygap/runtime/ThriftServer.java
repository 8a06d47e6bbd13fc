package org.comfreygap.runtime;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLServerSocket;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.TTransportFactory;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * A Thrift server with framed transport, compact protocol and an authenticated handshake on each
 * connection.
 *
 * <pre>{@code
 * ThriftServer server =
 *     ThriftServer.start("control", address, security, new ControlService.Processor<>(handler));
 * }</pre>
 *
 * <p>Invariants: no call reaches the processor before the peer has proven that it holds the shared
 * key; a call in progress when the server closes gets its reply, unless it takes too long. Thread
 * safety: {@link #close} may be called from any thread.
 *
 * @since 0.1
 */
public final class ThriftServer implements AutoCloseable {

  /** Largest message in bytes. */
  static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;

  private static final int MAX_CONNECTIONS = 2_048;
  private static final int BACKLOG = 512;
  // Every peer sends at least once per second; a connection idle for longer has lost its peer.
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration STOP_TIMEOUT = Duration.ofMillis(250);
  // A command is committed within a few milliseconds; a watch takes longer, and is repeated.
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(250);
  private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(5);
  private static final long WORKER_STACK_BYTES = 256 * 1024;

  private final TThreadPoolServer server;
  private final ServerSocket socket;
  private final ThreadPoolExecutor workers;
  private final RunningCalls calls;
  private final Thread acceptor;

  private ThriftServer(
      TThreadPoolServer server,
      ServerSocket socket,
      ThreadPoolExecutor workers,
      RunningCalls calls,
      Thread acceptor) {
    this.server = server;
    this.socket = socket;
    this.workers = workers;
    this.calls = calls;
    this.acceptor = acceptor;
  }

  /**
   * Binds {@code address} and serves until closed.
   *
   * @throws IOException when the address cannot be bound
   */
  public static ThriftServer start(
      String name, InetSocketAddress address, PeerSecurity security, TProcessor processor)
      throws IOException {
    ServerSocket socket = bind(address, security);
    ThreadPoolExecutor workers = workers(name);
    RunningCalls calls = new RunningCalls(processor);
    try {
      TServerSocket transport = new TServerSocket(socket, (int) IDLE_TIMEOUT.toMillis());
      TThreadPoolServer.Args args =
          new TThreadPoolServer.Args(transport)
              .processor(calls)
              .protocolFactory(new TCompactProtocol.Factory())
              .inputTransportFactory(new AuthenticatingTransportFactory(security.sharedKey()))
              .outputTransportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
              .executorService(workers);
      args.stopTimeoutUnit = TimeUnit.MILLISECONDS;
      args.stopTimeoutVal = (int) STOP_TIMEOUT.toMillis();
      TThreadPoolServer server = new TThreadPoolServer(args);
      Thread acceptor = new Thread(server::serve, name + "-acceptor");
      acceptor.setDaemon(true);
      acceptor.start();
      awaitServing(server, acceptor);
      return new ThriftServer(server, socket, workers, calls, acceptor);
    } catch (TTransportException e) {
      socket.close();
      throw new IOException("cannot serve on " + Addresses.text(address), e);
    }
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  /**
   * Ends the calls in progress, stops accepting and closes open connections; the address is free
   * when this returns.
   */
  @Override
  public void close() throws IOException {
    try {
      // The server interrupts its workers as soon as it is stopped.
      calls.endAll(REPLY_TIMEOUT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    server.stop();
    socket.close();
    workers.shutdownNow();
    try {
      // The kernel keeps the port until the thread blocked in accept has returned.
      acceptor.join(JOIN_TIMEOUT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A server that is stopped before it has begun to serve would begin nevertheless. */
  private static void awaitServing(TThreadPoolServer server, Thread acceptor) {
    try {
      while (!server.isServing() && acceptor.isAlive()) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static ServerSocket bind(InetSocketAddress address, PeerSecurity security)
      throws IOException {
    ServerSocket socket;
    if (security.tls().isPresent()) {
      SSLServerSocket tls =
          (SSLServerSocket) security.tls().get().getServerSocketFactory().createServerSocket();
      tls.setNeedClientAuth(true);
      socket = tls;
    } else {
      socket = new ServerSocket();
    }
    socket.setReuseAddress(true);
    socket.bind(address, BACKLOG);
    return socket;
  }

  private static ThreadPoolExecutor workers(String name) {
    AtomicInteger count = new AtomicInteger();
    return new ThreadPoolExecutor(
        2,
        MAX_CONNECTIONS,
        30,
        TimeUnit.SECONDS,
        new SynchronousQueue<>(),
        task -> {
          String threadName = name + "-" + count.incrementAndGet();
          Thread thread = new Thread(null, task, threadName, WORKER_STACK_BYTES);
          thread.setDaemon(true);
          return thread;
        });
  }

  private static final class AuthenticatingTransportFactory extends TTransportFactory {

    private final SharedKey key;

    AuthenticatingTransportFactory(SharedKey key) {
      this.key = key;
    }

    @Override
    public TTransport getTransport(TTransport base) throws TTransportException {
      PeerHandshake.authenticateAsServer(base, key);
      return new TFramedTransport(base, MAX_FRAME_BYTES);
    }
  }
}
