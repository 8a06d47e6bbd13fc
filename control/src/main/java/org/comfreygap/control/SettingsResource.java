package org.comfreygap.control;

import com.fasterxml.jackson.annotation.JsonRawValue;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.inject.Inject;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.UriInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.comfreygap.control.Command.DocumentChange;
import org.comfreygap.control.Command.Expectation;
import org.comfreygap.control.ControlSettings.Operator;
import org.comfreygap.settings.SettingsPath;

/**
 * Documents by path: {@code /settings/...}.
 *
 * <p>Thread safety: any thread may call.
 *
 * @since 0.1
 */
@Path("/settings")
@Produces(MediaType.APPLICATION_JSON)
public final class SettingsResource {

  private final ApiSupport api;
  private final SettingsController settings;
  private final ControlState state;

  @Inject
  SettingsResource(ApiSupport api, SettingsController settings, ControlState state) {
    this.api = api;
    this.settings = settings;
    this.state = state;
  }

  /** A document with its last change. */
  record Document(
      String path,
      @JsonRawValue String document,
      long revision,
      String changedBy,
      long changedAtMillis) {

    static Document of(String path, SettingsTree.Entry entry) {
      return new Document(
          path, entry.document(), entry.revision(), entry.changedBy(), entry.changedAtMillis());
    }
  }

  /** The documents of a subtree. */
  record Listing(long revision, List<Document> entries) {}

  /** Returns a document, or with {@code prefix} all documents at and below the path. */
  @GET
  @Path("{path: .*}")
  public Object get(
      @PathParam("path") String path,
      @QueryParam("prefix") boolean prefix,
      @HeaderParam("Authorization") String authorization,
      @Context UriInfo uri) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    String full = path(path, prefix);
    api.operators().requireAccess(operator, full);
    if (prefix) {
      return state.readSettings(store -> listing(store, full));
    }
    Optional<SettingsTree.Entry> found = state.readSettings(store -> store.tree().find(full));
    return Document.of(
        full,
        found.orElseThrow(
            () ->
                ApiException.of(
                    404, "notFound", "given " + full + ", expected an existing document")));
  }

  /** Writes a document. */
  @PUT
  @Path("{path: .*}")
  public Object put(
      @PathParam("path") String path,
      @HeaderParam("Authorization") String authorization,
      @HeaderParam("Comfreygap-Operation-Id") String operation,
      @HeaderParam("If-Match") String ifMatch,
      @Context UriInfo uri,
      String body) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    String full = path(path, false);
    JsonNode document = ApiSupport.parseBody(body);
    String operationId = SettingsController.operationId(operation);
    ChangeResult result =
        settings.change(
            operator,
            operationId,
            expectations(full, ifMatch),
            List.of(new DocumentChange(full, document.toString())));
    return api.changeResponse(uri, result, full, operationId);
  }

  /** Deletes a document, or with {@code prefix} all documents at and below the path. */
  @DELETE
  @Path("{path: .*}")
  public Object delete(
      @PathParam("path") String path,
      @QueryParam("prefix") boolean prefix,
      @HeaderParam("Authorization") String authorization,
      @HeaderParam("Comfreygap-Operation-Id") String operation,
      @HeaderParam("If-Match") String ifMatch,
      @Context UriInfo uri) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    String full = path(path, prefix);
    String operationId = SettingsController.operationId(operation);
    List<Expectation> expect = expectations(full, ifMatch);
    ChangeResult result =
        prefix
            ? settings.deletePrefix(operator, operationId, expect, full)
            : settings.change(
                operator, operationId, expect, List.of(new DocumentChange(full, null)));
    return api.changeResponse(uri, result, full, operationId);
  }

  private static Listing listing(SettingsStore store, String prefix) {
    List<Document> entries = new ArrayList<>();
    store.tree().subtree(prefix).forEach((path, entry) -> entries.add(Document.of(path, entry)));
    return new Listing(store.revision(), entries);
  }

  private static List<Expectation> expectations(String path, String ifMatch) {
    if (ifMatch == null || ifMatch.isBlank()) {
      return List.of();
    }
    return List.of(new Expectation(path, ApiSupport.parseNumber("If-Match", ifMatch, 0)));
  }

  private static String path(String relative, boolean prefix) {
    String full = "/" + relative;
    if (prefix && full.length() > 1 && full.endsWith("/")) {
      full = full.substring(0, full.length() - 1);
    }
    if ((prefix && full.equals("/")) || SettingsPath.parse(full).isPresent()) {
      return full;
    }
    throw ApiException.of(400, "badRequest", "given " + full + ", expected a settings path");
  }
}
