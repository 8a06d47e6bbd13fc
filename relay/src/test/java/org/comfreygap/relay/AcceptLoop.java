package org.comfreygap.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Accepts connections for an endpoint of a test and serves each on a thread of its own.
 *
 * <p>Thread safety: all methods may be called from any thread.
 */
final class AcceptLoop implements AutoCloseable {

  private final String name;
  private final ServerSocket socket;
  private final Consumer<Socket> server;
  private final List<Socket> connections = new CopyOnWriteArrayList<>();

  private AcceptLoop(String name, ServerSocket socket, Consumer<Socket> server) {
    this.name = name;
    this.socket = socket;
    this.server = server;
  }

  static AcceptLoop start(String name, InetSocketAddress address, Consumer<Socket> server)
      throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.bind(address);
    AcceptLoop loop = new AcceptLoop(name, socket, server);
    loop.thread(loop::accept);
    return loop;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
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
        thread(() -> server.accept(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void thread(Runnable run) {
    Thread thread = new Thread(run, name);
    thread.setDaemon(true);
    thread.start();
  }
}
