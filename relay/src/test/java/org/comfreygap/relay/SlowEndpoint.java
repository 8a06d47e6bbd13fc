package org.comfreygap.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.testkit.FreePorts;

/**
 * An endpoint that takes a set time for each request, and may close the connection then instead of
 * responding.
 *
 * <p>Thread safety: each connection has a thread; the other methods may be called from any thread.
 */
final class SlowEndpoint implements AutoCloseable {

  private final String instanceId;
  private final ServerSocket socket = new ServerSocket();
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final List<RawRequest> requests = new CopyOnWriteArrayList<>();
  private final long workMillis;
  private volatile boolean breaking;

  SlowEndpoint(String instanceId, long workMillis) throws IOException {
    this.instanceId = instanceId;
    this.workMillis = workMillis;
    socket.bind(FreePorts.address());
    thread(this::accept);
  }

  /** Closes the connection of each request from here on, at the end of its work. */
  void breakOff() {
    breaking = true;
  }

  String listed() {
    InetSocketAddress address = (InetSocketAddress) socket.getLocalSocketAddress();
    return instanceId + " " + Addresses.text(address) + " v1\n";
  }

  /** Returns the requests in the order of their arrival. */
  List<RawRequest> requests() {
    return requests;
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        thread(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      Optional<RawRequest> request = RawRequest.read(in);
      while (request.isPresent()) {
        requests.add(request.get());
        Thread.sleep(workMillis);
        if (breaking) {
          return;
        }
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

  private static void thread(Runnable run) {
    Thread thread = new Thread(run, "slow-endpoint");
    thread.setDaemon(true);
    thread.start();
  }
}
