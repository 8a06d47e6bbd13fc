package org.comfreygap.consensus;

import java.io.IOException;
import java.time.Duration;
import org.apache.thrift.TException;
import org.apache.thrift.transport.TTransportException;
import org.comfreygap.protocol.generated.AppendReply;
import org.comfreygap.protocol.generated.AppendRequest;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.protocol.generated.ReplicationService;
import org.comfreygap.protocol.generated.SnapshotChunk;
import org.comfreygap.protocol.generated.SnapshotReply;
import org.comfreygap.protocol.generated.TimeoutNow;
import org.comfreygap.protocol.generated.VoteReply;
import org.comfreygap.protocol.generated.VoteRequest;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.ThriftConnection;
import org.comfreygap.runtime.ThriftServer;

/**
 * A {@link Transport} over authenticated Thrift connections.
 *
 * <p>Thread safety: as {@link Transport}.
 */
final class ThriftTransport implements Transport {

  private final String address;
  private final PeerSecurity security;
  private volatile ThriftServer server;

  ThriftTransport(String address, PeerSecurity security) {
    this.address = address;
    this.security = security;
  }

  @Override
  public void serve(ReplicationService.Iface handler) throws IOException {
    server =
        ThriftServer.start(
            "replication",
            Addresses.parse(address),
            security,
            new ReplicationService.Processor<>(handler));
  }

  @Override
  public Link link(ReplicaMember peer, Duration timeout) {
    return new ThriftLink(peer, timeout);
  }

  @Override
  public void close() throws IOException {
    if (server != null) {
      server.close();
    }
  }

  @FunctionalInterface
  private interface Call<T> {

    T invoke(ReplicationService.Client client) throws TException;
  }

  private final class ThriftLink implements Link {

    private final ReplicaMember peer;
    private final Duration timeout;
    private ThriftConnection connection;
    private ReplicationService.Client client;

    ThriftLink(ReplicaMember peer, Duration timeout) {
      this.peer = peer;
      this.timeout = timeout;
    }

    @Override
    public VoteReply requestVote(VoteRequest request) throws TException {
      return call(c -> c.requestVote(request));
    }

    @Override
    public AppendReply appendEntries(AppendRequest request) throws TException {
      return call(c -> c.appendEntries(request));
    }

    @Override
    public SnapshotReply installSnapshot(SnapshotChunk chunk) throws TException {
      return call(c -> c.installSnapshot(chunk));
    }

    @Override
    public void timeoutNow(TimeoutNow request) throws TException {
      call(
          c -> {
            c.timeoutNow(request);
            return null;
          });
    }

    @Override
    public void close() {
      if (connection != null) {
        connection.close();
        connection = null;
      }
    }

    private <T> T call(Call<T> call) throws TException {
      try {
        if (connection == null) {
          connection = ThriftConnection.open(Addresses.parse(peer.getAddress()), security, timeout);
          client = new ReplicationService.Client(connection.protocol());
        }
        return call.invoke(client);
      } catch (TException e) {
        close();
        throw e;
      } catch (IOException e) {
        close();
        throw new TTransportException("cannot connect to replica " + peer.getReplicaId(), e);
      }
    }
  }
}
