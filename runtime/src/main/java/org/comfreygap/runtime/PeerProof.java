package org.comfreygap.runtime;

import java.security.SecureRandom;

/**
 * Proofs for the mutual challenge-response authentication of two processes with the shared key:
 * each side sends a nonce, then its signature of both nonces. The signature covers the role of the
 * signer, so that a proof cannot be reflected.
 *
 * <p>Thread safety: stateless apart from the random generator, which is thread-safe.
 *
 * @since 0.2
 */
public final class PeerProof {

  /** Length of a nonce in bytes. */
  public static final int NONCE_BYTES = 16;

  private static final byte[] SERVER_ROLE = {'s'};
  private static final byte[] CLIENT_ROLE = {'c'};
  private static final SecureRandom RANDOM = new SecureRandom();

  private PeerProof() {}

  /** Returns a new nonce. */
  public static byte[] newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    return nonce;
  }

  /** Returns the proof of the side that opened the connection. */
  public static byte[] clientProof(SharedKey key, byte[] clientNonce, byte[] serverNonce) {
    return key.sign(CLIENT_ROLE, clientNonce, serverNonce);
  }

  /** Returns the proof of the side that accepted the connection. */
  public static byte[] serverProof(SharedKey key, byte[] clientNonce, byte[] serverNonce) {
    return key.sign(SERVER_ROLE, clientNonce, serverNonce);
  }

  /** Returns true when {@code proof} is valid for the side that opened the connection. */
  public static boolean verifyClientProof(
      SharedKey key, byte[] proof, byte[] clientNonce, byte[] serverNonce) {
    return key.verify(proof, CLIENT_ROLE, clientNonce, serverNonce);
  }

  /** Returns true when {@code proof} is valid for the side that accepted the connection. */
  public static boolean verifyServerProof(
      SharedKey key, byte[] proof, byte[] clientNonce, byte[] serverNonce) {
    return key.verify(proof, SERVER_ROLE, clientNonce, serverNonce);
  }
}
