package org.comfreygap.consensus;

import java.io.IOException;
import java.time.Duration;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.ReplicationService;

/**
 * Carries calls between replicas; the place at which tests inject network faults.
 *
 * <p>Contract: calls may be lost, delayed, repeated and reordered, but not altered. Thread safety:
 * all methods may be called from any thread.
 */
interface Transport extends AutoCloseable {

  /** Passes the calls of peers to {@code handler}, several at a time, until closed. */
  void serve(ReplicationService.Iface handler) throws IOException;

  /**
   * Returns a link to a peer; it connects at its first call and again after a failure.
   *
   * @param timeout bound on each call
   */
  Link link(ReplicaMember peer, Duration timeout);

  @Override
  void close() throws IOException;

  /** A sequence of blocking calls to one peer. Thread safety: one thread at a time. */
  interface Link extends ReplicationService.Iface, AutoCloseable {

    @Override
    void close();
  }
}
