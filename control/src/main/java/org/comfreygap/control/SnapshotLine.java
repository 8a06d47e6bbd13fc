package org.comfreygap.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.comfreygap.decisions.EndpointLeases;
import org.comfreygap.decisions.PartQuarantine;
import org.comfreygap.decisions.Quarantine;
import org.comfreygap.decisions.RequestLedger;
import org.comfreygap.decisions.StreamOrigins;
import org.comfreygap.decisions.TokenBudget;

/**
 * One line of a snapshot. A snapshot starts with a {@link Header}.
 *
 * <p>Thread safety: immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = SnapshotLine.Header.class, name = "header"),
  @JsonSubTypes.Type(value = SnapshotLine.Document.class, name = "document"),
  @JsonSubTypes.Type(value = SnapshotLine.DeletedVersion.class, name = "deletedVersion"),
  @JsonSubTypes.Type(value = SnapshotLine.HistoryChange.class, name = "change"),
  @JsonSubTypes.Type(value = SnapshotLine.Operation.class, name = "operation"),
  @JsonSubTypes.Type(value = SnapshotLine.Ledger.class, name = "ledger"),
  @JsonSubTypes.Type(value = SnapshotLine.Suspect.class, name = "suspect"),
  @JsonSubTypes.Type(value = SnapshotLine.SuspectParts.class, name = "suspectParts"),
  @JsonSubTypes.Type(value = SnapshotLine.Stream.class, name = "stream"),
  @JsonSubTypes.Type(value = SnapshotLine.StreamRoute.class, name = "streamRoute"),
  @JsonSubTypes.Type(value = SnapshotLine.StreamsDropped.class, name = "streamsDropped"),
  @JsonSubTypes.Type(value = SnapshotLine.Banned.class, name = "banned"),
  @JsonSubTypes.Type(value = SnapshotLine.Endpoint.class, name = "endpoint"),
  @JsonSubTypes.Type(value = SnapshotLine.CreditCeiling.class, name = "ceiling"),
  @JsonSubTypes.Type(value = SnapshotLine.Replica.class, name = "replica"),
  @JsonSubTypes.Type(value = SnapshotLine.Publication.class, name = "publication"),
  @JsonSubTypes.Type(value = SnapshotLine.Duties.class, name = "duties"),
  @JsonSubTypes.Type(value = SnapshotLine.UsageWindow.class, name = "usageWindow"),
  @JsonSubTypes.Type(value = SnapshotLine.Usage.class, name = "usage"),
  @JsonSubTypes.Type(value = SnapshotLine.EndpointOrder.class, name = "endpointOrder")
})
sealed interface SnapshotLine {

  record Header(int format, long revision, long historyFloor, long logMillis)
      implements SnapshotLine {

    static final int FORMAT = 1;
  }

  record Document(
      String path, String document, long revision, String changedBy, long changedAtMillis)
      implements SnapshotLine {}

  record DeletedVersion(String path, String document) implements SnapshotLine {}

  record HistoryChange(ChangeHistory.Change change) implements SnapshotLine {}

  record Operation(OperationResults.Operation operation) implements SnapshotLine {}

  record Ledger(RequestLedger.Entry entry) implements SnapshotLine {}

  record Suspect(Quarantine.Suspect suspect) implements SnapshotLine {}

  record Banned(Quarantine.Banned banned) implements SnapshotLine {}

  record SuspectParts(long version, List<PartQuarantine.Evidence> evidence)
      implements SnapshotLine {}

  record Stream(StreamOrigins.Entry entry) implements SnapshotLine {}

  record StreamRoute(StreamOrigins.RouteOrigins route) implements SnapshotLine {}

  record StreamsDropped(long atNanos) implements SnapshotLine {}

  record Endpoint(EndpointLeases.Grant grant) implements SnapshotLine {}

  record CreditCeiling(TokenBudget.Ceiling ceiling) implements SnapshotLine {}

  record Replica(ControlState.ReplicaAddresses replica) implements SnapshotLine {}

  record Duties(DutyState.Holding holding, long closedWindow, long acceptedWindow)
      implements SnapshotLine {}

  record UsageWindow(DutyCall call) implements SnapshotLine {}

  record Usage(long window, DutyState.KeptUsage usage) implements SnapshotLine {}

  record EndpointOrder(ScaleState.EndpointOrder order) implements SnapshotLine {}

  record Publication(long version, String source) implements SnapshotLine {}
}
