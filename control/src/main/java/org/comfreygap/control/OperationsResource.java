package org.comfreygap.control;

import com.fasterxml.jackson.annotation.JsonRawValue;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.UriInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.comfreygap.control.Command.DocumentChange;
import org.comfreygap.control.Command.Expectation;
import org.comfreygap.control.ControlSettings.Operator;
import org.comfreygap.protocol.generated.Change;
import org.comfreygap.protocol.generated.ChangeKind;

/**
 * Transactions, history, rollback and watch of the settings tree.
 *
 * <p>Thread safety: any thread may call.
 *
 * @since 0.1
 */
@Path("/")
@Produces(MediaType.APPLICATION_JSON)
public final class OperationsResource {

  private static final int DEFAULT_LIMIT = 100;
  private static final int MAX_LIMIT = 10_000;

  private final ApiSupport api;
  private final SettingsController settings;
  private final ControlState state;
  private final WatchController watches;

  @Inject
  OperationsResource(
      ApiSupport api, SettingsController settings, ControlState state, WatchController watches) {
    this.api = api;
    this.settings = settings;
    this.state = state;
    this.watches = watches;
  }

  /** One change in the history. */
  record HistoryEntry(
      long revision,
      String path,
      String kind,
      String changedBy,
      long changedAtMillis,
      @JsonRawValue String document,
      @JsonRawValue String previous) {}

  /** Response of {@code /history}. */
  record HistoryResponse(List<HistoryEntry> changes) {}

  /** One change in a watch. */
  record WatchedChange(String path, String kind, @JsonRawValue String document, long revision) {}

  /** Response of {@code /watch}. */
  record WatchResponse(long revision, boolean snapshot, List<WatchedChange> changes) {}

  /** Changes several documents atomically. */
  @POST
  @Path("transactions")
  public Object transaction(
      @HeaderParam("Authorization") String authorization, @Context UriInfo uri, String text) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    JsonNode body = ApiSupport.parseBody(text);
    String operationId = SettingsController.operationId(body.path("operationId").asText(null));
    List<Expectation> expect = new ArrayList<>();
    body.path("expect")
        .properties()
        .forEach(e -> expect.add(new Expectation(e.getKey(), e.getValue().asLong(-1))));
    List<DocumentChange> changes = new ArrayList<>();
    for (JsonNode change : body.path("changes")) {
      JsonNode document = change.path("document");
      boolean delete = document.isNull() || document.isMissingNode();
      changes.add(
          new DocumentChange(change.path("path").asText(""), delete ? null : document.toString()));
    }
    ChangeResult result = settings.change(operator, operationId, expect, changes);
    return api.changeResponse(uri, result, null, operationId);
  }

  /** Returns the newest changes, newest first. */
  @GET
  @Path("history")
  public HistoryResponse history(
      @HeaderParam("Authorization") String authorization,
      @QueryParam("prefix") String prefix,
      @QueryParam("limit") String limit,
      @Context UriInfo uri) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    String within = authorizedPrefix(operator, prefix);
    int maxEntries =
        (int) Math.min(MAX_LIMIT, ApiSupport.parseNumber("limit", limit, DEFAULT_LIMIT));
    List<HistoryEntry> entries = new ArrayList<>();
    for (ChangeHistory.Change change :
        state.readSettings(store -> store.history().newest(within, maxEntries))) {
      entries.add(
          new HistoryEntry(
              change.revision(),
              change.path(),
              change.document() == null ? "delete" : "put",
              change.changedBy(),
              change.changedAtMillis(),
              change.document(),
              change.previous()));
    }
    return new HistoryResponse(entries);
  }

  /** Restores the documents of an earlier revision, as a new change. */
  @POST
  @Path("rollback")
  public Object rollback(
      @HeaderParam("Authorization") String authorization, @Context UriInfo uri, String text) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    JsonNode body = ApiSupport.parseBody(text);
    String operationId = SettingsController.operationId(body.path("operationId").asText(null));
    if (!body.path("toRevision").isIntegralNumber()) {
      throw ApiException.of(400, "badRequest", "given no toRevision, expected a whole number");
    }
    String within = authorizedPrefix(operator, body.path("prefix").asText(null));
    ChangeResult result =
        settings.rollback(operator, operationId, body.path("toRevision").asLong(), within);
    return api.changeResponse(uri, result, within, operationId);
  }

  /** Waits for changes after a revision; served by every replica. */
  @GET
  @Path("watch")
  public WatchResponse watch(
      @HeaderParam("Authorization") String authorization,
      @QueryParam("after") String after,
      @QueryParam("waitMillis") String waitMillis,
      @QueryParam("prefix") String prefix) {
    Operator operator = api.operators().authenticate(authorization);
    String within = authorizedPrefix(operator, prefix);
    long revision = ApiSupport.parseNumber("after", after, 0);
    int wait =
        (int) Math.min(Integer.MAX_VALUE, ApiSupport.parseNumber("waitMillis", waitMillis, 0));
    watches.await(revision, state.quarantineVersion(), wait);
    if (!watches.isLeaderKnown()) {
      throw ApiException.noLeader();
    }
    WatchController.Update update = watches.update(revision);
    if (update.revision() < revision) {
      throw ApiException.of(
          503,
          "behind",
          "given revision " + revision + ", this instance is at " + update.revision());
    }
    List<WatchedChange> changes = new ArrayList<>();
    for (Change change : update.changes()) {
      if (SettingsTree.isWithin(change.getPath(), within)) {
        String kind = change.getKind() == ChangeKind.PUT ? "put" : "delete";
        changes.add(
            new WatchedChange(change.getPath(), kind, change.getDocument(), change.getRevision()));
      }
    }
    return new WatchResponse(update.revision(), update.snapshot(), changes);
  }

  private String authorizedPrefix(Operator operator, String given) {
    String prefix = Optional.ofNullable(given).filter(p -> !p.isBlank()).orElse(operator.subtree());
    String withoutSlash =
        prefix.length() > 1 && prefix.endsWith("/")
            ? prefix.substring(0, prefix.length() - 1)
            : prefix;
    api.operators().requireAccess(operator, withoutSlash);
    return withoutSlash;
  }

  /** Returns the name of an enum constant in lower case. */
  static String lowerCaseName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
