package org.comfreygap.runtime;

import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Mutual authentication on a new Thrift connection, see {@link PeerProof}.
 *
 * <p>Thread safety: stateless.
 */
final class PeerHandshake {

  private PeerHandshake() {}

  /**
   * Runs the client side of the handshake.
   *
   * @throws TTransportException when the server does not hold the key or the connection fails
   */
  static void authenticateAsClient(TTransport transport, SharedKey key) throws TTransportException {
    byte[] own = PeerProof.newNonce();
    write(transport, own);
    byte[] theirs = read(transport, PeerProof.NONCE_BYTES);
    write(transport, PeerProof.clientProof(key, own, theirs));
    byte[] proof = read(transport, SharedKey.SIGNATURE_BYTES);
    if (!PeerProof.verifyServerProof(key, proof, own, theirs)) {
      throw new TTransportException("the server does not hold the shared key");
    }
  }

  /**
   * Runs the server side of the handshake.
   *
   * @throws TTransportException when the client does not hold the key or the connection fails
   */
  static void authenticateAsServer(TTransport transport, SharedKey key) throws TTransportException {
    byte[] theirs = read(transport, PeerProof.NONCE_BYTES);
    byte[] own = PeerProof.newNonce();
    write(transport, own);
    byte[] proof = read(transport, SharedKey.SIGNATURE_BYTES);
    if (!PeerProof.verifyClientProof(key, proof, theirs, own)) {
      throw new TTransportException("the client does not hold the shared key");
    }
    write(transport, PeerProof.serverProof(key, theirs, own));
  }

  private static void write(TTransport transport, byte[] bytes) throws TTransportException {
    transport.write(bytes, 0, bytes.length);
    transport.flush();
  }

  private static byte[] read(TTransport transport, int length) throws TTransportException {
    byte[] bytes = new byte[length];
    transport.readAll(bytes, 0, length);
    return bytes;
  }
}
