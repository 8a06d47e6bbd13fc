package org.comfreygap.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
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
  private final AcceptLoop server;
  private final List<RawRequest> requests = new CopyOnWriteArrayList<>();
  private final long workMillis;
  private volatile boolean breaking;

  SlowEndpoint(String instanceId, long workMillis) throws IOException {
    this.instanceId = instanceId;
    this.workMillis = workMillis;
    this.server = AcceptLoop.start("slow-endpoint", FreePorts.address(), this::serve);
  }

  /** Closes the connection of each request from here on, at the end of its work. */
  void breakOff() {
    breaking = true;
  }

  String listed() {
    return instanceId + " " + Addresses.text(server.address()) + " v1\n";
  }

  /** Returns the requests in the order of their arrival. */
  List<RawRequest> requests() {
    return requests;
  }

  @Override
  public void close() throws IOException {
    server.close();
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
}
