package org.comfreygap.consensus;

import java.io.IOException;
import java.time.Duration;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.ReplicationService;

/**
 * Carries calls between replicas; tests inject network faults here.
 *
 * <p>Contract: calls may be lost, delayed, repeated and reordered, but not altered. Thread safety:
 * all methods may be called from any thread.
 */
interface Transport extends AutoCloseable {

  /** Passes calls from peers to {@code handler}, several concurrently, until closed. */
  void serve(ReplicationService.Iface handler) throws IOException;

  /**
   * Returns a link to a peer; it connects on the first call and reconnects after a failure.
   *
   * @param timeout timeout of each call
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
