package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.comfreygap.decisions.StreamOrigins.Origin;
import org.comfreygap.protocol.generated.InvalidCall;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.protocol.generated.StreamBatch;
import org.comfreygap.protocol.generated.StreamBatchReply;
import org.comfreygap.protocol.generated.StreamLookup;
import org.comfreygap.protocol.generated.StreamOrigin;
import org.comfreygap.protocol.generated.StreamRecord;

/**
 * Records at which software version streams begin, at the leader.
 *
 * <p>Invariant: a record is committed before the reply is sent, and a lookup is a command of its
 * own, so that it sees every record that was acknowledged before. Thread safety: any thread may
 * call.
 */
@Singleton
final class StreamController {

  private static final int MAX_ITEMS = 10_000;

  private final Leadership leadership;

  @Inject
  StreamController(Leadership leadership) {
    this.leadership = leadership;
  }

  StreamBatchReply recordStreams(StreamBatch batch) throws NotLeader, InvalidCall {
    validate(batch);
    List<Command.StreamRecord> records =
        batch.getRecords().stream()
            .map(
                one ->
                    new Command.StreamRecord(
                        one.getRequestId(), one.getRoute(), toOrigin(one.getOrigin())))
            .toList();
    List<Command.StreamLookup> lookups =
        batch.getLookups().stream()
            .map(
                one ->
                    new Command.StreamLookup(one.getNumber(), one.getRoute(), one.getRequestId()))
            .toList();
    Map<String, List<Origin>> listed = new HashMap<>();
    batch
        .getListed()
        .forEach(
            (route, origins) ->
                listed.put(route, origins.stream().map(StreamController::toOrigin).toList()));
    ControlState.StreamsResult result;
    try {
      result =
          leadership.commit(
              leadership.require(),
              millis -> new Command.RecordStreams(millis, records, lookups, listed),
              ControlState.StreamsResult.class);
    } catch (LeadershipLost e) {
      throw leadership.notLeader();
    }
    StreamBatchReply reply = new StreamBatchReply(new HashMap<>(), new HashMap<>());
    result.found().forEach((number, origin) -> reply.putToFound(number, toMessage(origin)));
    result.bases().forEach((route, origin) -> reply.putToBases(route, toMessage(origin)));
    return reply;
  }

  private static void validate(StreamBatch batch) throws InvalidCall {
    int items = batch.getRecordsSize() + batch.getLookupsSize() + batch.getListedSize();
    if (items > MAX_ITEMS) {
      throw new InvalidCall(
          "given " + items + " records, lookups and routes, expected at most " + MAX_ITEMS);
    }
    for (StreamRecord one : batch.getRecords()) {
      RequestValidation.requireName("requestId", one.getRequestId());
      RequestValidation.requireName("route", one.getRoute());
      RequestValidation.requireName("pool", one.getOrigin().getPool());
      RequestValidation.requireName("version", one.getOrigin().getVersion());
    }
    for (StreamLookup one : batch.getLookups()) {
      RequestValidation.requireName("route", one.getRoute());
    }
  }

  private static Origin toOrigin(StreamOrigin message) {
    return new Origin(message.getPool(), message.getVersion());
  }

  private static StreamOrigin toMessage(Origin origin) {
    return new StreamOrigin(origin.pool(), origin.version());
  }
}
