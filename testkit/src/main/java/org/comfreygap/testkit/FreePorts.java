package org.comfreygap.testkit;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates free loopback ports for programs under test.
 *
 * <p>Invariants: ports lie below the ephemeral range, so that no outgoing connection takes a port
 * before the program binds it; no port is returned twice by one process until the range wraps
 * around. Thread safety: all methods may be called from any thread.
 *
 * @since 0.2
 */
public final class FreePorts {

  /** The ephemeral port range starts at 32768. */
  private static final int FIRST_PORT = 30_000;

  private static final int PORT_COUNT = 2_700;

  /** Depends on the process id, so that concurrent test runs start at different ports. */
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 97));

  private FreePorts() {}

  /**
   * Returns a loopback address on which no process listens.
   *
   * @throws IOException if no port is free
   */
  public static InetSocketAddress address() throws IOException {
    for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORT_COUNT);
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return new InetSocketAddress(
            InetAddress.getLoopbackAddress().getHostAddress(), probe.getLocalPort());
      } catch (BindException e) {
        // The port is in use; try the next one.
        continue;
      }
    }
    throw new IOException("no free port in " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
  }
}
