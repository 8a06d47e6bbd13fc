package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.comfreygap.runtime.Closer;
import org.comfreygap.testkit.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requests that are given up while their endpoint has not read them. */
class AbandonedRequestTest {

  /** Fits into the send buffer of a loopback connection, not into {@link #RECEIVE_BYTES}. */
  private static final int BODY_BYTES = 400_000;

  private static final int RECEIVE_BYTES = 4_096;

  @TempDir private Path folder;
  private final Closer closer = new Closer();

  @AfterEach
  void stop() {
    closer.close();
  }

  /**
   * Guards against a request that reaches its endpoint after it was given up, because the kernel
   * goes on delivering what was written.
   */
  @Test
  void isNotDeliveredAfterItsCallerLeft() throws Exception {
    ServerSocket endpoint = closer.register(new ServerSocket());
    endpoint.setReceiveBufferSize(RECEIVE_BYTES);
    endpoint.bind(FreePorts.address());
    GatewayFleet fleet =
        closer.register(
            new GatewayFleet(
                folder, () -> "endpoint-1 127.0.0.1:" + endpoint.getLocalPort() + " v1\n"));
    fleet.open(1);

    Socket reached;
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller
          .getOutputStream()
          .write(
              ("POST /unsafe/a HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: "
                      + BODY_BYTES
                      + "\r\n"
                      + HeaderDialect.REQUEST
                      + ": left\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      caller.getOutputStream().write(new byte[BODY_BYTES]);
      reached = closer.register(endpoint.accept());
      Thread.sleep(300);
    }
    // The gateway notices the caller's end and gives the request up.
    Thread.sleep(500);

    assertThat(readAll(reached)).as("bytes that arrive").isLessThan(BODY_BYTES);
  }

  private static long readAll(Socket connection) {
    long total = 0;
    byte[] buffer = new byte[8_192];
    try {
      connection.setSoTimeout(3_000);
      InputStream in = new BufferedInputStream(connection.getInputStream());
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        total += read;
      }
    } catch (IOException e) {
      return total;
    }
    return total;
  }
}
