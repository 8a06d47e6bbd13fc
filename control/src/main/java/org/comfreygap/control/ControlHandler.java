package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.comfreygap.protocol.generated.BeganReport;
import org.comfreygap.protocol.generated.BeginReply;
import org.comfreygap.protocol.generated.BeginRequest;
import org.comfreygap.protocol.generated.ControlService;
import org.comfreygap.protocol.generated.CrashReply;
import org.comfreygap.protocol.generated.CrashReport;
import org.comfreygap.protocol.generated.CreditExchange;
import org.comfreygap.protocol.generated.CreditReply;
import org.comfreygap.protocol.generated.EndpointLeaseReply;
import org.comfreygap.protocol.generated.EndpointLeaseRequest;
import org.comfreygap.protocol.generated.FinishRequest;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.InvalidCall;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.protocol.generated.PermitReply;
import org.comfreygap.protocol.generated.PermitRequest;
import org.comfreygap.protocol.generated.StreamBatch;
import org.comfreygap.protocol.generated.StreamBatchReply;
import org.comfreygap.protocol.generated.WatchReply;
import org.comfreygap.protocol.generated.WatchRequest;

/**
 * The Thrift service for gateways and sidecars; delegates each call to a controller.
 *
 * <p>Thread safety: any thread may call.
 */
@Singleton
final class ControlHandler implements ControlService.Iface {

  private final MembershipController membership;
  private final WatchController watches;
  private final CreditController credit;
  private final PermitController permits;
  private final LeaseController leases;
  private final LedgerController ledger;
  private final StreamController streams;

  @Inject
  ControlHandler(
      MembershipController membership,
      WatchController watches,
      CreditController credit,
      PermitController permits,
      LeaseController leases,
      LedgerController ledger,
      StreamController streams) {
    this.membership = membership;
    this.watches = watches;
    this.credit = credit;
    this.permits = permits;
    this.leases = leases;
    this.ledger = ledger;
    this.streams = streams;
  }

  @Override
  public HeartbeatReply heartbeat(HeartbeatRequest request) throws NotLeader, InvalidCall {
    return membership.heartbeat(request);
  }

  @Override
  public WatchReply watch(WatchRequest request) throws InvalidCall {
    return watches.watch(request);
  }

  @Override
  public CreditReply exchangeCredit(CreditExchange request) throws NotLeader, InvalidCall {
    return credit.exchange(request);
  }

  @Override
  public PermitReply acquireLoadPermit(PermitRequest request) throws NotLeader, InvalidCall {
    return permits.acquire(request);
  }

  @Override
  public void releaseLoadPermit(String permitId) throws NotLeader {
    permits.release(permitId);
  }

  @Override
  public EndpointLeaseReply acquireEndpoint(EndpointLeaseRequest request)
      throws NotLeader, InvalidCall {
    return leases.acquire(request);
  }

  @Override
  public BeginReply beginRequest(BeginRequest request) throws NotLeader, InvalidCall {
    return ledger.begin(request);
  }

  @Override
  public void finishRequest(FinishRequest request) throws NotLeader, InvalidCall {
    ledger.finish(request);
  }

  @Override
  public CrashReply reportCrash(CrashReport report) throws NotLeader, InvalidCall {
    return ledger.reportCrash(report);
  }

  @Override
  public void reportBegan(BeganReport report) throws NotLeader, InvalidCall {
    ledger.reportBegan(report);
  }

  @Override
  public StreamBatchReply recordStreams(StreamBatch batch) throws NotLeader, InvalidCall {
    return streams.recordStreams(batch);
  }
}
