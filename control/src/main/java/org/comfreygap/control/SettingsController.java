package org.comfreygap.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.function.LongFunction;
import org.comfreygap.control.Command.Author;
import org.comfreygap.control.Command.DocumentChange;
import org.comfreygap.control.Command.Expectation;
import org.comfreygap.control.ControlSettings.Operator;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.settings.DocumentKind;
import org.comfreygap.settings.Fault;
import org.comfreygap.settings.SettingsPath;
import org.comfreygap.settings.TreeRules;

/**
 * Writes operators' changes of the settings to the replicated log.
 *
 * <p>Documents are validated against their schemas before they are proposed, so that replicas of
 * different versions apply a command alike. References between documents and expected revisions are
 * checked when the command is applied, so that two concurrent changes cannot break them together.
 *
 * <p>Thread safety: any thread may call.
 */
@Singleton
final class SettingsController {

  private static final int MAX_CHANGES = 2_000;
  private static final int MAX_CHARACTERS = 4_000_000;
  private static final int MAX_OPERATION_ID = 128;
  private static final String KEY_POLICY = "/routing/key-policy";
  private static final String KEYS_REQUIRED = "{\"required\":true}";
  private static final String PUBLICATION = "/routing/publication";
  private static final String TEAMS = "/teams";
  // Author of changes that keep an invariant of the tree.
  private static final String SYSTEM = "control";

  private final Leadership leadership;
  private final ControlState state;
  private final Operators operators;
  private final EventLog events;

  @Inject
  SettingsController(
      Leadership leadership, ControlState state, Operators operators, EventLog events) {
    this.leadership = leadership;
    this.state = state;
    this.operators = operators;
    this.events = events;
  }

  /** Changes documents atomically. */
  ChangeResult change(
      Operator operator,
      String operationId,
      List<Expectation> expect,
      List<DocumentChange> changes) {
    expect.forEach(e -> operators.requireAccess(operator, e.path()));
    changes.forEach(c -> operators.requireAccess(operator, c.path()));
    validate(changes);
    if (changes.stream().anyMatch(c -> c.document() == null && isCustomer(c.path()))) {
      keepKeysRequired();
    }
    Author author = author(operator, operationId);
    String path = changes.get(0).path();
    return submit(
        author, path, millis -> new Command.ChangeSettings(millis, author, expect, changes));
  }

  /** Deletes the subtree at {@code prefix}. */
  ChangeResult deletePrefix(
      Operator operator, String operationId, List<Expectation> expect, String prefix) {
    operators.requireAccess(operator, prefix);
    if (mayHoldCustomers(prefix)) {
      keepKeysRequired();
    }
    Author author = author(operator, operationId);
    return submit(
        author, prefix, millis -> new Command.DeletePrefix(millis, author, expect, prefix));
  }

  /** Restores the subtree at {@code prefix} to an earlier revision, as a new change. */
  ChangeResult rollback(Operator operator, String operationId, long toRevision, String prefix) {
    operators.requireAccess(operator, prefix);
    if (mayHoldCustomers(prefix)) {
      keepKeysRequired();
    }
    Author author = author(operator, operationId);
    return submit(
        author, prefix, millis -> new Command.Rollback(millis, author, prefix, toRevision));
  }

  /** Returns {@code given}, or a new operation id when it is blank. */
  static String operationId(String given) {
    if (given == null || given.isBlank()) {
      return UUID.randomUUID().toString();
    }
    if (given.length() > MAX_OPERATION_ID) {
      throw ApiException.of(
          400,
          "badRequest",
          "given an operation id of "
              + given.length()
              + " characters, expected at most "
              + MAX_OPERATION_ID);
    }
    return given;
  }

  /**
   * States that requests need a key, before customers are deleted: gateways derive it from the
   * customers only while no policy is stated, so without the last customer all routes would be
   * open. Committed before the deletion, since two deletions may leave no customer together.
   */
  private void keepKeysRequired() {
    boolean derived =
        state.readSettings(
            store ->
                store.tree().find(PUBLICATION).isPresent()
                    && store.tree().find(KEY_POLICY).isEmpty()
                    && store.tree().pathsBelow(TEAMS).stream()
                        .anyMatch(SettingsController::isCustomer));
    if (!derived) {
      return;
    }
    LeaderTerm term = leadership.current().orElseThrow(ApiException::noLeader);
    Author author = new Author(UUID.randomUUID().toString(), SYSTEM, System.currentTimeMillis());
    try {
      // A conflict means that another deletion has stated it meanwhile.
      leadership.commit(
          term,
          millis ->
              new Command.ChangeSettings(
                  millis,
                  author,
                  List.of(new Expectation(KEY_POLICY, 0)),
                  List.of(new DocumentChange(KEY_POLICY, KEYS_REQUIRED))),
          ChangeResult.class);
    } catch (LeadershipLost e) {
      // The deletion has not been proposed, whatever became of the policy.
      throw ApiException.noLeader();
    }
    events.record(
        ControlEvent.SETTINGS_CHANGED,
        Field.of("operator", SYSTEM),
        Field.of("operation", author.operationId()),
        Field.of("path", KEY_POLICY));
  }

  private static boolean isCustomer(String path) {
    return SettingsPath.parse(path)
        .flatMap(DocumentKind::of)
        .filter(DocumentKind.CUSTOMER::equals)
        .isPresent();
  }

  private static boolean mayHoldCustomers(String prefix) {
    return SettingsTree.isWithin(TEAMS, prefix) || SettingsTree.isWithin(prefix, TEAMS);
  }

  private ChangeResult submit(Author author, String path, LongFunction<Command> command) {
    LeaderTerm term = leadership.current().orElseThrow(ApiException::noLeader);
    ChangeResult result;
    try {
      result = leadership.commit(term, command, ChangeResult.class);
    } catch (LeadershipLost e) {
      throw e.outcomeUnknown()
          ? ApiException.outcomeUnknown(e.getMessage())
          : ApiException.noLeader();
    }
    boolean accepted = result.code() == ChangeResult.Code.OK;
    events.record(
        accepted ? ControlEvent.SETTINGS_CHANGED : ControlEvent.SETTINGS_REFUSED,
        Field.of("operator", author.operator()),
        Field.of("operation", author.operationId()),
        Field.of("path", path),
        Field.of("team", team(path)),
        Field.of("revision", result.revision()),
        Field.of("code", result.code()));
    if (!accepted) {
      throw ApiException.of(result);
    }
    return result;
  }

  private static String team(String path) {
    String[] names = path.split("/", 4);
    return names.length > 2 && names[1].equals("teams") ? names[2] : "";
  }

  private static Author author(Operator operator, String operationId) {
    return new Author(operationId, operator.name(), System.currentTimeMillis());
  }

  private static void validate(List<DocumentChange> changes) {
    List<Fault> faults = new ArrayList<>();
    Set<String> paths = new HashSet<>();
    long characters = 0;
    for (DocumentChange change : changes) {
      if (!paths.add(change.path())) {
        faults.add(new Fault(change.path(), "two changes", "one change per path"));
      }
      if (change.document() != null) {
        characters += change.document().length();
        faults.addAll(TreeRules.checkDocument(change.path(), parse(change.document())));
      }
    }
    if (changes.isEmpty() || changes.size() > MAX_CHANGES || characters > MAX_CHARACTERS) {
      String given = changes.size() + " changes of " + characters + " characters";
      String expected =
          "1 to " + MAX_CHANGES + " changes of at most " + MAX_CHARACTERS + " characters";
      faults.add(new Fault("changes", given, expected));
    }
    if (!faults.isEmpty()) {
      int reported = Math.min(faults.size(), TreeRules.MAX_FAULTS);
      throw ApiException.invalid(faults.subList(0, reported));
    }
  }

  private static JsonNode parse(String document) {
    try {
      return Codec.MAPPER.readTree(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a change holds a malformed document", e);
    }
  }
}
