package org.comfreygap.runtime;

import java.security.SecureRandom;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Mutual authentication on a new connection: each side sends a nonce and proves that it holds the
 * shared key by signing both nonces. The role is part of the signature, so that a proof cannot be
 * reflected.
 *
 * <p>Thread safety: stateless but for the random generator, which is thread-safe.
 */
final class PeerHandshake {

  private static final int NONCE_BYTES = 16;
  private static final byte[] SERVER = {'s'};
  private static final byte[] CLIENT = {'c'};
  private static final SecureRandom RANDOM = new SecureRandom();

  private PeerHandshake() {}

  /**
   * Runs the client's side.
   *
   * @throws TTransportException when the server does not hold the key or the connection fails
   */
  static void client(TTransport transport, SharedKey key) throws TTransportException {
    byte[] own = nonce();
    write(transport, own);
    byte[] theirs = read(transport, NONCE_BYTES);
    write(transport, key.sign(CLIENT, own, theirs));
    byte[] proof = read(transport, SharedKey.SIGNATURE_BYTES);
    if (!key.verify(proof, SERVER, own, theirs)) {
      throw new TTransportException("the server does not hold the shared key");
    }
  }

  /**
   * Runs the server's side.
   *
   * @throws TTransportException when the client does not hold the key or the connection fails
   */
  static void server(TTransport transport, SharedKey key) throws TTransportException {
    byte[] theirs = read(transport, NONCE_BYTES);
    byte[] own = nonce();
    write(transport, own);
    byte[] proof = read(transport, SharedKey.SIGNATURE_BYTES);
    if (!key.verify(proof, CLIENT, theirs, own)) {
      throw new TTransportException("the client does not hold the shared key");
    }
    write(transport, key.sign(SERVER, theirs, own));
  }

  private static byte[] nonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    return nonce;
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
