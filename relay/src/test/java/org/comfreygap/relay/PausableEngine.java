package org.comfreygap.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.EndpointStatus;
import org.comfreygap.protocol.generated.ResidencyMessage;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.testkit.FreePorts;

/**
 * An engine and the sidecar beside it, on a loopback host of their own, which may be suspended
 * together: their sockets take connections and bytes, and nothing is read or written.
 *
 * <p>Thread safety: all methods may be called from any thread.
 */
final class PausableEngine implements AutoCloseable {

  private static final long STATUS_PERIOD_MILLIS = 200;

  private final String instanceId;
  private final String host;
  private final SharedKey key;
  private final Closer closer = new Closer();
  private final AcceptLoop server;
  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final Set<Channel> gateways = ConcurrentHashMap.newKeySet();
  private final Set<String> requests = ConcurrentHashMap.newKeySet();
  private final Object gate = new Object();
  private Channel reporter;
  private boolean paused;
  private volatile boolean reporting = true;

  /** Starts both; {@code host} is a loopback address that no other engine has. */
  PausableEngine(String instanceId, String host, int sidecarPort, SharedKey key) throws Exception {
    this.instanceId = instanceId;
    this.host = host;
    this.key = key;
    InetSocketAddress address = new InetSocketAddress(host, FreePorts.address().getPort());
    this.server = closer.register(AcceptLoop.start("pausable-engine", address, this::serve));
    closer.register("group", () -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await());
    startSidecar(sidecarPort);
    group
        .next()
        .scheduleAtFixedRate(
            this::report, STATUS_PERIOD_MILLIS, STATUS_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Starts the sidecar, which reports the engine. */
  void startSidecar(int port) throws InterruptedException {
    reporter =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(new PeerMessages(PeerMessages.Side.SERVER, key, new Gateways()))
            .bind(new InetSocketAddress(host, port))
            .sync()
            .channel();
  }

  /** Ends the sidecar; the engine goes on. */
  void stopSidecar() throws InterruptedException {
    reporter.close().sync();
    for (Channel gateway : gateways) {
      gateway.close().sync();
    }
  }

  /** Lets the sidecar alone send nothing more. */
  void silenceSidecar() {
    reporting = false;
  }

  String listed() {
    return instanceId + " " + host + ":" + server.address().getPort() + " v1\n";
  }

  /** Suspends both until {@link #resume}. */
  void pause() {
    synchronized (gate) {
      paused = true;
    }
  }

  void resume() {
    synchronized (gate) {
      paused = false;
      gate.notifyAll();
    }
  }

  /** Returns the ids of the requests that were read. */
  Set<String> requests() {
    return requests;
  }

  @Override
  public void close() throws Exception {
    resume();
    closer.close();
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      Optional<RawRequest> request = RawRequest.read(in);
      while (request.isPresent()) {
        awaitResume();
        requests.add(request.get().id());
        String response =
            "HTTP/1.1 200 OK\r\n"
                + HeaderDialect.REQUEST
                + ": "
                + request.get().id()
                + "\r\nContent-Length: 5\r\n\r\nwhole";
        connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        request = RawRequest.read(in);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The gateway may close the connection at any time.
      return;
    }
  }

  private void awaitResume() throws InterruptedException {
    synchronized (gate) {
      while (paused) {
        gate.wait();
      }
    }
  }

  private void report() {
    synchronized (gate) {
      if (paused || !reporting) {
        return;
      }
    }
    EndpointStatus status =
        new EndpointStatus(instanceId, 1, true, 0, 0, 0, 0, 0, false, List.of());
    PeerMessages.send(List.copyOf(gateways), ResidencyMessage.status(status));
  }

  private final class Gateways implements PeerMessages.Receiver {

    @Override
    public void opened(Channel channel) {
      gateways.add(channel);
      report();
    }

    @Override
    public void received(Channel channel, ResidencyMessage message) {
      // The engine holds no adapters, and no request needs one.
    }

    @Override
    public void closed(Channel channel, String reason) {
      gateways.remove(channel);
    }
  }
}
