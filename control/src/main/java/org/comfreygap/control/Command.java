package org.comfreygap.control;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.RequestLedger;
import org.comfreygap.decisions.StreamOrigins;
import org.comfreygap.decisions.TokenBudget;

/**
 * A change of the replicated state, in the form stored in the log.
 *
 * <p>Invariant: the effect of a command depends only on the command and the state, so that every
 * replica computes the same result. Absent values are null, since this is the stored form. Thread
 * safety: immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Command.ChangeSettings.class, name = "change"),
  @JsonSubTypes.Type(value = Command.DeletePrefix.class, name = "deletePrefix"),
  @JsonSubTypes.Type(value = Command.Rollback.class, name = "rollback"),
  @JsonSubTypes.Type(value = Command.Publish.class, name = "publish"),
  @JsonSubTypes.Type(value = Command.Barrier.class, name = "barrier"),
  @JsonSubTypes.Type(value = Command.CommitCeilings.class, name = "ceilings"),
  @JsonSubTypes.Type(value = Command.GrantEndpoint.class, name = "endpoint"),
  @JsonSubTypes.Type(value = Command.BeginEntry.class, name = "begin"),
  @JsonSubTypes.Type(value = Command.FinishEntry.class, name = "finish"),
  @JsonSubTypes.Type(value = Command.OwnerGone.class, name = "ownerGone"),
  @JsonSubTypes.Type(value = Command.RecordCrash.class, name = "crash"),
  @JsonSubTypes.Type(value = Command.RecordBegan.class, name = "began"),
  @JsonSubTypes.Type(value = Command.LiftPart.class, name = "liftPart"),
  @JsonSubTypes.Type(value = Command.RecordStreams.class, name = "streams"),
  @JsonSubTypes.Type(value = Command.RegisterReplica.class, name = "replica"),
  @JsonSubTypes.Type(value = Command.TakeDuties.class, name = "takeDuties"),
  @JsonSubTypes.Type(value = Command.CloseWindow.class, name = "closeWindow"),
  @JsonSubTypes.Type(value = Command.EndWindow.class, name = "endWindow"),
  @JsonSubTypes.Type(value = Command.KeepUsage.class, name = "keepUsage"),
  @JsonSubTypes.Type(value = Command.OrderEndpoints.class, name = "orderEndpoints"),
  @JsonSubTypes.Type(value = Command.EndOrder.class, name = "endOrder")
})
sealed interface Command {

  /**
   * Returns the log time in milliseconds, which advances only by the monotonic clocks of leaders.
   */
  long logMillis();

  /** A change of the settings tree, made by an operator under an operation id. */
  sealed interface SettingsCommand extends Command {

    /** Returns who makes the change. */
    Author author();

    /**
     * Returns the content by which a resend is told from another change under the same operation
     * id.
     */
    Object content();
  }

  /**
   * Who changes the settings.
   *
   * @param wallMillis wall-clock time for the history; no decision depends on it
   */
  record Author(String operationId, String operator, long wallMillis) {}

  /** Expected revision of a path; 0 when the path must not exist. */
  record Expectation(String path, long revision) {}

  /** New document of a path, or null to delete it. */
  record DocumentChange(String path, String document) {}

  /** Changes documents atomically. */
  record ChangeSettings(
      long logMillis, Author author, List<Expectation> expect, List<DocumentChange> changes)
      implements SettingsCommand {

    @Override
    public Object content() {
      return List.of(expect, changes);
    }
  }

  /** Deletes every document at and below a path. */
  record DeletePrefix(long logMillis, Author author, List<Expectation> expect, String prefix)
      implements SettingsCommand {

    @Override
    public Object content() {
      return List.of(expect, prefix);
    }
  }

  /** Restores the documents at and below a path to those of an earlier revision. */
  record Rollback(long logMillis, Author author, String prefix, long toRevision)
      implements SettingsCommand {

    @Override
    public Object content() {
      return List.of(prefix, toRevision);
    }
  }

  /**
   * Replaces whole subtrees by published documents, unless the same or a higher version was
   * published before.
   *
   * @param prefixes paths at and below which the documents replace all present ones
   * @param documents the documents by path
   * @param source the publisher's request body, which {@link Publisher#publishedSource} returns
   */
  record Publish(
      long logMillis,
      Author author,
      long version,
      List<String> prefixes,
      List<DocumentChange> documents,
      String source)
      implements Command {}

  /** Changes nothing; once it is committed, everything acknowledged before it is applied. */
  record Barrier(long logMillis) implements Command {}

  /** Commits credit ceilings before credit is granted under them. */
  record CommitCeilings(long logMillis, List<TokenBudget.Ceiling> ceilings) implements Command {}

  /** Grants an endpoint to a sidecar under the next fencing number. */
  record GrantEndpoint(
      long logMillis, String endpoint, String processId, String startId, long fencing)
      implements Command {}

  /** Adds a request to the ledger before its dispatch. */
  record BeginEntry(
      long logMillis,
      String customer,
      String idempotencyKey,
      String fingerprint,
      RequestLedger.Owner owner,
      String requestId)
      implements Command {}

  /** Closes a ledger entry. */
  record FinishEntry(
      long logMillis,
      String customer,
      String idempotencyKey,
      String requestId,
      Outcome outcome,
      RequestLedger.StoredResponse answer)
      implements Command {}

  /** Closes the ledger entries in progress of a gateway process that is gone. */
  record OwnerGone(long logMillis, RequestLedger.Owner owner) implements Command {}

  /**
   * Records a crash with the requests that were in flight.
   *
   * @param endpoint the endpoint that crashed
   * @param start id of the start that crashed; empty when unknown, null in logs written before
   *     starts were stored
   * @param crashedMillisAgo time from the crash to this command
   * @param parts parts of the prompts, by fingerprint; null in logs written before parts were
   *     stored
   * @param began responses that began lately at the reporter, by part; null likewise
   */
  record RecordCrash(
      long logMillis,
      @JsonProperty("crashId") String endpoint,
      String start,
      List<String> fingerprints,
      long crashedMillisAgo,
      Map<String, List<String>> parts,
      Map<String, Integer> began)
      implements Command {}

  /**
   * Records responses that began on watched parts of prompts.
   *
   * @param earlier those before the part was watched, by part
   * @param began those since, by part
   */
  record RecordBegan(long logMillis, Map<String, Integer> earlier, Map<String, Integer> began)
      implements Command {}

  /** Forgets the crashes of a part of prompts, by an operator's order. */
  record LiftPart(long logMillis, String part) implements Command {}

  /** Asks for the origin of a stream; the request is null where the caller names none. */
  record StreamLookup(int number, String route, String requestId) {}

  /** The origin of a stream that begins. */
  record StreamRecord(String requestId, String route, StreamOrigins.Origin origin) {}

  /**
   * Records origins of streams and looks others up, in one order for all gateways.
   *
   * @param listed origins of the endpoints that the gateway lists, by route
   */
  record RecordStreams(
      long logMillis,
      List<StreamRecord> records,
      List<StreamLookup> lookups,
      Map<String, List<StreamOrigins.Origin>> listed)
      implements Command {}

  /** Registers the addresses of a control instance. */
  record RegisterReplica(long logMillis, String replicaId, String rpcAddress, String httpAddress)
      implements Command {}

  /** A change of the duties of one holder. */
  sealed interface DutyCommand extends Command {}

  /**
   * Makes the leader of a term the holder of duties, under a new fencing number.
   *
   * @param leastFencing least fencing number, above those given before a loss of the whole log
   */
  record TakeDuties(long logMillis, long term, String holder, long leastFencing)
      implements DutyCommand {}

  /** Closes the next window of usage; the call's number is that of the window. */
  record CloseWindow(long logMillis, DutyCall call) implements DutyCommand {}

  /**
   * Ends the report of a window.
   *
   * @param accepted false when the platform will never take it
   */
  record EndWindow(long logMillis, long window, boolean accepted) implements DutyCommand {}

  /**
   * Keeps the counts of a gateway that ended, in windows that are not closed.
   *
   * @param source process and start of the gateway
   * @param begun requests that began, by window and customer
   */
  record KeepUsage(long logMillis, String source, Map<Long, Map<String, Long>> begun)
      implements DutyCommand {}

  /** A change of the orders of numbers of endpoints. */
  sealed interface ScaleCommand extends Command {}

  /**
   * Orders the number of endpoints of a pool in a zone; it replaces the order before.
   *
   * @param count endpoints that are ordered
   * @param reason name of the reason, for the operator
   * @param call the call; its number follows that of the order before
   */
  record OrderEndpoints(
      long logMillis, String pool, String zone, int count, String reason, DutyCall call)
      implements ScaleCommand {}

  /**
   * Ends the call of an order.
   *
   * @param accepted false when the platform will never take it
   */
  record EndOrder(long logMillis, String subject, long number, boolean accepted)
      implements ScaleCommand {}
}
