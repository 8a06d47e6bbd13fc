package org.comfreygap.bench;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards TCP connections to a list of addresses and counts the bytes in both directions.
 *
 * <p>Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
final class ByteCounter implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ByteCounter.class);

  private static final int BUFFER_BYTES = 16_384;

  private final List<ServerSocket> listeners = new ArrayList<>();
  private final AtomicLong bytes = new AtomicLong();

  ByteCounter(List<InetSocketAddress> targets) throws IOException {
    for (InetSocketAddress target : targets) {
      ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
      listeners.add(listener);
      run(() -> accept(listener, target));
    }
  }

  /** Returns the listening addresses, in the order of the targets. */
  List<InetSocketAddress> addresses() {
    return listeners.stream()
        .map(listener -> new InetSocketAddress("127.0.0.1", listener.getLocalPort()))
        .toList();
  }

  /** Returns the number of bytes since the last call. */
  long take() {
    return bytes.getAndSet(0);
  }

  @Override
  public void close() throws IOException {
    for (ServerSocket listener : listeners) {
      listener.close();
    }
  }

  private void accept(ServerSocket listener, InetSocketAddress target) {
    while (!listener.isClosed()) {
      try {
        Socket client = listener.accept();
        Socket upstream = new Socket(target.getAddress(), target.getPort());
        client.setTcpNoDelay(true);
        upstream.setTcpNoDelay(true);
        run(() -> copy(client, upstream));
        run(() -> copy(upstream, client));
      } catch (IOException e) {
        LOG.debug("failed to forward a connection", e);
      }
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (Socket source = from;
        Socket sink = to) {
      InputStream in = source.getInputStream();
      OutputStream out = sink.getOutputStream();
      int count = in.read(buffer);
      while (count >= 0) {
        out.write(buffer, 0, count);
        bytes.addAndGet(count);
        count = in.read(buffer);
      }
    } catch (IOException e) {
      LOG.debug("a forwarded connection ended", e);
    }
  }

  private static void run(Runnable task) {
    Thread thread = new Thread(null, task, "byte-counter", 128 * 1_024);
    thread.setDaemon(true);
    thread.start();
  }
}
