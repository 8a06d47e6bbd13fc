package org.comfreygap.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.LongFunction;
import org.comfreygap.control.Command.Author;
import org.comfreygap.control.Command.DocumentChange;
import org.comfreygap.control.Command.Expectation;
import org.comfreygap.runtime.Event;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.settings.Documents.ZoneState;
import org.comfreygap.settings.Fault;
import org.comfreygap.settings.TreeRules;

/**
 * Writes published routing tables, zone states and adapter versions to the replicated log.
 *
 * <p>Invariant: all documents are validated before they are proposed. Versions are compared when
 * the command is applied, so that the higher of two concurrent publications stays in force. A read
 * commits a barrier first, since a leader that was suspended may not know that another instance
 * leads. Thread safety: any thread may call.
 */
@Singleton
final class PublicationController implements Publisher {

  private static final String OPERATOR = "publisher";
  private static final String VERSIONS = "/routing/versions/";
  private static final String WEIGHTS = "/routing/weights/";
  private static final int ID_LENGTH = 24;
  private static final String ZONES = "/platform/zones/";
  // Each conflict means that a concurrent announcement was applied, so conflicts are few.
  private static final int MAX_CONFLICTS = 8;

  private final Leadership leadership;
  private final ControlState state;
  private final EventLog events;

  @Inject
  PublicationController(Leadership leadership, ControlState state, EventLog events) {
    this.leadership = leadership;
    this.state = state;
    this.events = events;
  }

  @Override
  public void publish(Tables tables) throws PublicationRefused, PublicationUnavailable {
    validate(tables.documents(), tables.version());
    List<DocumentChange> documents = new ArrayList<>();
    tables.documents().forEach((path, text) -> documents.add(new DocumentChange(path, text)));
    Author author = author("publication-" + tables.version());
    ChangeResult result =
        commit(
            millis ->
                new Command.Publish(
                    millis,
                    author,
                    tables.version(),
                    tables.prefixes(),
                    documents,
                    tables.source()));
    recordOutcome(result, Field.of("version", tables.version()));
  }

  @Override
  public Optional<String> publishedSource() throws PublicationUnavailable {
    commit(Command.Barrier::new, ControlState.Applied.class);
    return state.publication().map(SnapshotLine.Publication::source);
  }

  @Override
  public void setZoneState(String zone, ZoneState zoneState)
      throws PublicationRefused, PublicationUnavailable {
    String document = Codec.MAPPER.createObjectNode().put("state", lower(zoneState)).toString();
    Map<String, String> documents = Map.of(ZONES + zone, document);
    validate(documents, 0);
    Author author = author(UUID.randomUUID().toString());
    ChangeResult result = commit(millis -> change(millis, author, List.of(), documents));
    recordOutcome(result, Field.of("zone", zone), Field.of("state", zoneState));
  }

  @Override
  public void announce(String model, String adapter, long version)
      throws PublicationRefused, PublicationUnavailable {
    String path = VERSIONS + id(model + "/" + adapter);
    ObjectNode document =
        Codec.MAPPER
            .createObjectNode()
            .put("model", model)
            .put("adapter", adapter)
            .put("version", version);
    commitAnnouncement(path, document, Field.of("model", model), Field.of("adapter", adapter));
  }

  @Override
  public void announceWeights(String model, long version)
      throws PublicationRefused, PublicationUnavailable {
    ObjectNode document =
        Codec.MAPPER.createObjectNode().put("model", model).put("version", version);
    commitAnnouncement(WEIGHTS + id(model), document, Field.of("model", model));
  }

  private static String id(String name) {
    return Operators.sha256(name).substring(0, ID_LENGTH);
  }

  private void commitAnnouncement(String path, ObjectNode document, Field... subject)
      throws PublicationRefused, PublicationUnavailable {
    long version = document.path("version").asLong();
    Map<String, String> documents = Map.of(path, document.toString());
    validate(documents, version);
    for (int conflicts = 0; conflicts < MAX_CONFLICTS; conflicts++) {
      commit(Command.Barrier::new, ControlState.Applied.class);
      Optional<SettingsTree.Entry> present = state.readSettings(store -> store.tree().find(path));
      if (present.isPresent() && version(present.get().document()) >= version) {
        return;
      }
      Author author = author(UUID.randomUUID().toString());
      long revision = present.map(SettingsTree.Entry::revision).orElse(0L);
      ChangeResult result =
          commit(
              millis ->
                  change(millis, author, List.of(new Expectation(path, revision)), documents));
      if (result.code() != ChangeResult.Code.CONFLICT) {
        List<Field> fields = new ArrayList<>(List.of(subject));
        fields.add(Field.of("version", version));
        recordOutcome(result, fields.toArray(new Field[0]));
        return;
      }
    }
    throw new PublicationUnavailable(
        MAX_CONFLICTS + " attempts conflicted with concurrent announcements", Optional.empty());
  }

  private static Command.ChangeSettings change(
      long millis, Author author, List<Expectation> expect, Map<String, String> documents) {
    List<DocumentChange> changes = new ArrayList<>();
    documents.forEach((path, text) -> changes.add(new DocumentChange(path, text)));
    return new Command.ChangeSettings(millis, author, expect, changes);
  }

  private ChangeResult commit(LongFunction<Command> command) throws PublicationUnavailable {
    return commit(command, ChangeResult.class);
  }

  private <T> T commit(LongFunction<Command> command, Class<T> resultType)
      throws PublicationUnavailable {
    Optional<LeaderTerm> term = leadership.current();
    if (term.isEmpty()) {
      throw new PublicationUnavailable("this instance does not lead", otherLeaderAddress());
    }
    try {
      return leadership.commit(term.get(), command, resultType);
    } catch (LeadershipLost e) {
      throw new PublicationUnavailable(e.getMessage(), Optional.empty());
    }
  }

  private Optional<String> otherLeaderAddress() {
    return leadership
        .leaderAddresses()
        .filter(leader -> !leadership.isSelf(leader))
        .map(ControlState.ReplicaAddresses::httpAddress);
  }

  private void recordOutcome(ChangeResult result, Field... fields) throws PublicationRefused {
    boolean accepted = result.code() == ChangeResult.Code.OK;
    Event event = accepted ? ControlEvent.SETTINGS_CHANGED : ControlEvent.SETTINGS_REFUSED;
    List<Field> all = new ArrayList<>(List.of(fields));
    all.add(Field.of("operator", OPERATOR));
    all.add(Field.of("revision", result.revision()));
    all.add(Field.of("code", result.code()));
    events.record(event, all.toArray(new Field[0]));
    if (!accepted) {
      throw new PublicationRefused(
          result.faults() == null || result.faults().isEmpty()
              ? List.of(new Fault("documents", String.valueOf(result.message()), "less"))
              : result.faults());
    }
  }

  /** Validates each document, and all of them together as if they were the whole tree. */
  private void validate(Map<String, String> documents, long version) throws PublicationRefused {
    List<Fault> faults = new ArrayList<>();
    Map<String, Optional<String>> changes = new LinkedHashMap<>();
    documents.forEach(
        (path, text) -> {
          faults.addAll(TreeRules.checkDocument(path, parse(text)));
          changes.put(path, Optional.of(text));
        });
    if (faults.isEmpty()) {
      faults.addAll(TreeRules.check(TreeRules.emptyTree(), changes));
    }
    if (!faults.isEmpty()) {
      List<Fault> reported = faults.subList(0, Math.min(faults.size(), TreeRules.MAX_FAULTS));
      events.record(
          ControlEvent.SETTINGS_REFUSED,
          Field.of("operator", OPERATOR),
          Field.of("version", version),
          Field.of("faults", faults.size()),
          Field.of("first", reported.get(0).message()));
      throw new PublicationRefused(reported);
    }
  }

  private static long version(String document) {
    return parse(document).path("version").asLong();
  }

  private static JsonNode parse(String document) {
    try {
      return Codec.MAPPER.readTree(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a settings document is malformed JSON", e);
    }
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  private static Author author(String operationId) {
    return new Author(operationId, OPERATOR, System.currentTimeMillis());
  }
}
