package org.comfreygap.testkit;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free ports on loopback for programs under test.
 *
 * <p>Invariant: the ports are below those that the system gives to connections, any of which could
 * take a port before the program does; no port is given twice by one process. Thread safety: any
 * thread may call.
 *
 * @since 0.2
 */
public final class FreePorts {

  /** The system gives ports from 32768 on to connections. */
  private static final int FIRST_PORT = 30_000;

  private static final int PORT_COUNT = 2_700;

  /** Two runs of the tests beside each other begin at different ports. */
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 97));

  private FreePorts() {}

  /**
   * Returns an address on loopback that nothing listens at.
   *
   * @throws IOException when there is none
   */
  public static InetSocketAddress address() throws IOException {
    for (int tries = 0; tries < PORT_COUNT; tries++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORT_COUNT);
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return new InetSocketAddress(
            InetAddress.getLoopbackAddress().getHostAddress(), probe.getLocalPort());
      } catch (BindException e) {
        // Another process has it; the next one is tried.
        continue;
      }
    }
    throw new IOException("no free port from " + FIRST_PORT + " on");
  }
}
