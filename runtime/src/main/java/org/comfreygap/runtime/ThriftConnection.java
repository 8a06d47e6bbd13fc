package org.comfreygap.runtime;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * One authenticated client connection to a {@link ThriftServer}.
 *
 * <pre>{@code
 * try (ThriftConnection c = ThriftConnection.open(address, security, timeout)) {
 *   new ControlService.Client(c.protocol()).heartbeat(request);
 * }
 * }</pre>
 *
 * <p>Invariant: after a failed or timed-out call the connection must be closed, since a late
 * response would be taken for the response to the next call. Thread safety: one thread at a time,
 * except for the close of {@link #socket}.
 *
 * @since 0.1
 */
public final class ThriftConnection implements AutoCloseable {

  private final TTransport transport;
  private final TProtocol protocol;
  private final Socket socket;
  // Below TLS, if it is used.
  private final Socket plain;

  private ThriftConnection(TTransport transport, Socket socket, Socket plain) {
    this.transport = transport;
    this.socket = socket;
    this.plain = plain;
    this.protocol = new TCompactProtocol(transport);
  }

  /**
   * Connects and authenticates.
   *
   * @param timeout time limit of the connect and of each read
   * @throws IOException when the peer cannot be reached or does not hold the shared key
   */
  public static ThriftConnection open(
      InetSocketAddress address, PeerSecurity security, Duration timeout) throws IOException {
    return open(new Socket(), address, security, timeout);
  }

  /**
   * Connects {@code socket} and authenticates; another thread may close the socket, which ends the
   * call in progress.
   */
  static ThriftConnection open(
      Socket socket, InetSocketAddress address, PeerSecurity security, Duration timeout)
      throws IOException {
    try {
      socket.setTcpNoDelay(true);
      socket.connect(address, (int) timeout.toMillis());
      socket.setSoTimeout((int) timeout.toMillis());
      Socket connected = security.tls().isPresent() ? tls(socket, address, security) : socket;
      TTransport base = new TSocket(connected);
      PeerHandshake.authenticateAsClient(base, security.sharedKey());
      return new ThriftConnection(
          new TFramedTransport(base, ThriftServer.MAX_FRAME_BYTES), connected, socket);
    } catch (TTransportException | IOException e) {
      socket.close();
      throw new IOException("cannot connect to " + Addresses.text(address), e);
    }
  }

  /**
   * Returns the socket of the connection, whose close by any thread ends the call in progress. With
   * TLS it is the socket below, since the close of the other one may wait for the peer.
   */
  Socket socket() {
    return plain;
  }

  /** Returns the protocol with which to create a Thrift client. */
  public TProtocol protocol() {
    return protocol;
  }

  /**
   * Sets the time limit of each subsequent read.
   *
   * @throws IOException when the connection is closed
   */
  public void timeout(Duration timeout) throws IOException {
    socket.setSoTimeout((int) timeout.toMillis());
  }

  @Override
  public void close() {
    transport.close();
  }

  private static Socket tls(Socket plain, InetSocketAddress address, PeerSecurity security)
      throws IOException {
    SSLSocket socket =
        (SSLSocket)
            security
                .tls()
                .get()
                .getSocketFactory()
                .createSocket(plain, address.getHostString(), address.getPort(), true);
    socket.startHandshake();
    return socket;
  }
}
