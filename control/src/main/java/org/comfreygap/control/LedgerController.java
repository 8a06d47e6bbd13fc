package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.comfreygap.decisions.MembershipView;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.RequestLedger;
import org.comfreygap.protocol.generated.BeganReport;
import org.comfreygap.protocol.generated.BeginReply;
import org.comfreygap.protocol.generated.BeginRequest;
import org.comfreygap.protocol.generated.CrashReply;
import org.comfreygap.protocol.generated.CrashReport;
import org.comfreygap.protocol.generated.FinishRequest;
import org.comfreygap.protocol.generated.InvalidCall;
import org.comfreygap.protocol.generated.LedgerState;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.protocol.generated.StoredAnswer;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Handles the request ledger and crash reports at the leader.
 *
 * <p>Invariant: an entry is committed before the reply STARTED is sent. Thread safety: any thread
 * may call.
 */
@Singleton
final class LedgerController {

  private static final long IN_PROGRESS_RETRY_MILLIS = 500;
  private static final long FULL_RETRY_MILLIS = 5_000;
  private static final int MAX_FINGERPRINTS = 1_000;
  private static final int MAX_PARTS = 10_000;

  private final Leadership leadership;
  private final ControlState state;
  private final EventLog events;

  @Inject
  LedgerController(Leadership leadership, ControlState state, EventLog events) {
    this.leadership = leadership;
    this.state = state;
    this.events = events;
  }

  BeginReply begin(BeginRequest request) throws NotLeader, InvalidCall {
    RequestValidation.requireName("customer", request.getCustomer());
    RequestValidation.requireName("idempotencyKey", request.getIdempotencyKey());
    RequestValidation.requireName("fingerprint", request.getFingerprint());
    RequestValidation.requireName("requestId", request.getRequestId());
    LeaderTerm term = leadership.require();
    RequestLedger.Owner owner =
        new RequestLedger.Owner(request.getGatewayId(), request.getStartId());
    term.ownerLastContactNanos().put(owner, System.nanoTime());
    ControlState.BeginResult result =
        commit(
            term,
            millis ->
                new Command.BeginEntry(
                    millis,
                    request.getCustomer(),
                    request.getIdempotencyKey(),
                    request.getFingerprint(),
                    owner,
                    request.getRequestId()),
            ControlState.BeginResult.class);
    BeginReply reply = new BeginReply(LedgerState.valueOf(result.state().name()));
    if (result.answer() != null) {
      reply.setAnswer(
          new StoredAnswer(
              result.answer().status(),
              result.answer().headers(),
              java.nio.ByteBuffer.wrap(result.answer().body())));
    }
    switch (result.state()) {
      case IN_PROGRESS -> reply.setRetryAfterMillis(IN_PROGRESS_RETRY_MILLIS);
      case FULL -> reply.setRetryAfterMillis(FULL_RETRY_MILLIS);
      default -> {
        // The other states are final and need no retry time.
      }
    }
    return reply;
  }

  void finish(FinishRequest request) throws NotLeader, InvalidCall {
    RequestValidation.requireName("customer", request.getCustomer());
    RequestValidation.requireName("idempotencyKey", request.getIdempotencyKey());
    commit(
        leadership.require(),
        millis ->
            new Command.FinishEntry(
                millis,
                request.getCustomer(),
                request.getIdempotencyKey(),
                request.getRequestId(),
                Outcome.valueOf(request.getOutcome().name()),
                storableResponse(request)),
        ControlState.Applied.class);
  }

  CrashReply reportCrash(CrashReport report) throws NotLeader, InvalidCall {
    RequestValidation.requireName("endpoint", report.getEndpoint());
    if (!report.getEndedBootId().isEmpty()) {
      RequestValidation.requireName("endedBootId", report.getEndedBootId());
    }
    if (report.getFingerprintsSize() > MAX_FINGERPRINTS) {
      throw new InvalidCall(
          "given "
              + report.getFingerprintsSize()
              + " fingerprints, expected at most "
              + MAX_FINGERPRINTS);
    }
    for (String fingerprint : report.getFingerprints()) {
      RequestValidation.requireName("fingerprint", fingerprint);
    }
    Map<String, List<String>> parts = report.isSetParts() ? report.getParts() : Map.of();
    Map<String, Integer> began = report.isSetBegan() ? report.getBegan() : Map.of();
    requireParts(parts.values().stream().flatMap(List::stream).toList());
    requireParts(began.keySet());
    long millisAgo = Math.max(0, report.getCrashedMillisAgo());
    ControlState.CrashResult result =
        commit(
            leadership.require(),
            millis ->
                new Command.RecordCrash(
                    millis,
                    report.getEndpoint(),
                    report.getEndedBootId(),
                    report.getFingerprints(),
                    millisAgo,
                    parts,
                    began),
            ControlState.CrashResult.class);
    events.record(
        ControlEvent.CRASH_REPORTED,
        Field.of("endpoint", report.getEndpoint()),
        Field.of("start", report.getEndedBootId()),
        Field.of("reporter", report.getReporter()),
        Field.of("millisAgo", millisAgo),
        Field.of("suspects", report.getFingerprintsSize()));
    result
        .quarantined()
        .forEach(
            fingerprint ->
                events.record(
                    ControlEvent.REQUEST_QUARANTINED, Field.of("fingerprint", fingerprint)));
    recordPartBans(result, "crash");
    return new CrashReply(result.quarantined());
  }

  void reportBegan(BeganReport report) throws NotLeader, InvalidCall {
    requireParts(report.getEarlier().keySet());
    requireParts(report.getBegan().keySet());
    ControlState.CrashResult result =
        commit(
            leadership.require(),
            millis -> new Command.RecordBegan(millis, report.getEarlier(), report.getBegan()),
            ControlState.CrashResult.class);
    recordPartBans(result, "responses began at " + report.getReporter());
  }

  /**
   * Ends the ban of a part of prompts and forgets its crashes.
   *
   * @return false when the part was not suspected
   */
  boolean liftPart(String part, String operator) throws NotLeader {
    ControlState.CrashResult result =
        commit(
            leadership.require(),
            millis -> new Command.LiftPart(millis, part),
            ControlState.CrashResult.class);
    recordPartBans(result, "lifted by " + operator);
    return !result.quarantined().isEmpty();
  }

  /** Closes the ledger entries of gateways that are gone; called about once a second. */
  void maintain(LeaderTerm term) throws LeadershipLost {
    long now = System.nanoTime();
    long goneAfter = MembershipView.GONE_AFTER.toNanos();
    List<RequestLedger.Owner> gone = new ArrayList<>();
    synchronized (term.members()) {
      for (RequestLedger.Owner owner : state.ledgerOwners()) {
        Long lastContact = term.ownerLastContactNanos().get(owner);
        boolean recentContact = lastContact != null && now - lastContact < goneAfter;
        if (!recentContact && term.members().ended(owner.gatewayId(), owner.startId(), now)) {
          gone.add(owner);
        }
      }
    }
    term.ownerLastContactNanos().values().removeIf(lastContact -> now - lastContact >= goneAfter);
    for (RequestLedger.Owner owner : gone) {
      leadership.commit(
          term, millis -> new Command.OwnerGone(millis, owner), ControlState.Applied.class);
      events.record(ControlEvent.LEDGER_OWNER_GONE, Field.of("gateway", owner.gatewayId()));
    }
  }

  private void recordPartBans(ControlState.CrashResult result, String cause) {
    result
        .newBans()
        .forEach(
            parts ->
                events.record(
                    ControlEvent.PART_BANNED, Field.of("parts", parts), Field.of("cause", cause)));
    result
        .endedBans()
        .forEach(
            parts ->
                events.record(
                    ControlEvent.PART_BAN_ENDED,
                    Field.of("parts", parts),
                    Field.of("cause", cause)));
  }

  private static void requireParts(Collection<String> parts) throws InvalidCall {
    if (parts.size() > MAX_PARTS) {
      throw new InvalidCall(
          "given " + parts.size() + " parts of prompts, expected at most " + MAX_PARTS);
    }
    for (String part : parts) {
      RequestValidation.requireName("part", part);
    }
  }

  private <T> T commit(
      LeaderTerm term, java.util.function.LongFunction<Command> command, Class<T> resultType)
      throws NotLeader {
    try {
      return leadership.commit(term, command, resultType);
    } catch (LeadershipLost e) {
      throw leadership.notLeader();
    }
  }

  private static RequestLedger.StoredResponse storableResponse(FinishRequest request) {
    if (!request.isSetAnswer()) {
      return null;
    }
    StoredAnswer answer = request.getAnswer();
    byte[] body = answer.getBody();
    // The ledger drops larger bodies, so they are not sent through the log.
    return body.length > RequestLedger.Bounds.DEFAULT.maxResponseBytes()
        ? null
        : new RequestLedger.StoredResponse(
            answer.getStatus(), Map.copyOf(answer.getHeaders()), body);
  }
}
