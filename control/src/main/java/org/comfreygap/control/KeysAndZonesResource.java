package org.comfreygap.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.inject.Inject;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.UriInfo;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import org.comfreygap.control.Command.DocumentChange;
import org.comfreygap.control.Command.Expectation;
import org.comfreygap.control.ControlSettings.Operator;
import org.comfreygap.settings.SettingsPath;

/**
 * Grants and withdraws keys, and takes zones out of service and back in.
 *
 * <p>Invariant: a key is sent once, in the response to its creation, and only its hash is stored.
 * Thread safety: any thread may call.
 *
 * @since 0.1
 */
@Path("/")
@Produces(MediaType.APPLICATION_JSON)
public final class KeysAndZonesResource {

  private static final int KEY_BYTES = 32;
  private static final String KEY_PREFIX = "cfg_";

  private final ApiSupport api;
  private final SettingsController settings;
  private final ControlState state;
  private final SecureRandom random = new SecureRandom();

  @Inject
  KeysAndZonesResource(ApiSupport api, SettingsController settings, ControlState state) {
    this.api = api;
    this.settings = settings;
    this.state = state;
  }

  /** A new key. */
  record NewKey(String customer, String keyId, String key, long revision) {}

  /** Creates a key for a customer. */
  @POST
  @Path("keys")
  public NewKey grant(
      @HeaderParam("Authorization") String authorization, @Context UriInfo uri, String text) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    JsonNode body = ApiSupport.parseBody(text);
    String customer = body.path("customer").asText("");
    String keyId = body.path("keyId").asText("");
    int slash = customer.indexOf('/');
    String path =
        keyPath(customer.substring(0, Math.max(0, slash)), customer.substring(slash + 1), keyId);
    byte[] secret = new byte[KEY_BYTES];
    random.nextBytes(secret);
    String key = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(secret);
    ChangeResult result =
        settings.change(
            operator,
            SettingsController.operationId(null),
            List.of(new Expectation(path, 0)),
            List.of(new DocumentChange(path, document(Operators.sha256(key), "active"))));
    return new NewKey(customer, keyId, key, result.revision());
  }

  /** Withdraws a key. */
  @DELETE
  @Path("keys/{team}/{customer}/{keyId}")
  public Object withdraw(
      @PathParam("team") String team,
      @PathParam("customer") String customer,
      @PathParam("keyId") String keyId,
      @HeaderParam("Authorization") String authorization,
      @HeaderParam("Comfreygap-Operation-Id") String operation,
      @Context UriInfo uri) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    String path = keyPath(team, customer, keyId);
    api.operators().requireAccess(operator, path);
    String present =
        state
            .readSettings(store -> store.tree().document(path))
            .orElseThrow(
                () ->
                    ApiException.of(
                        404, "notFound", "given " + path + ", expected an existing key"));
    String hash = ApiSupport.parseBody(present).path("sha256").asText();
    String operationId = SettingsController.operationId(operation);
    ChangeResult result =
        settings.change(
            operator,
            operationId,
            List.of(),
            List.of(new DocumentChange(path, document(hash, "withdrawn"))));
    return api.changeResponse(uri, result, path, operationId);
  }

  /** Takes a zone out of service or back in. */
  @POST
  @Path("zones/{zone}")
  public Object setZoneState(
      @PathParam("zone") String zone,
      @HeaderParam("Authorization") String authorization,
      @HeaderParam("Comfreygap-Operation-Id") String operation,
      @Context UriInfo uri,
      String text) {
    Operator operator = api.authenticateAtLeader(authorization, uri);
    ObjectNode document = Codec.MAPPER.createObjectNode();
    document.set("state", ApiSupport.parseBody(text).path("state"));
    String path = "/platform/zones/" + zone;
    String operationId = SettingsController.operationId(operation);
    ChangeResult result =
        settings.change(
            operator,
            operationId,
            List.of(),
            List.of(new DocumentChange(path, document.toString())));
    return api.changeResponse(uri, result, path, operationId);
  }

  private static String document(String sha256, String keyState) {
    return Codec.MAPPER.createObjectNode().put("sha256", sha256).put("state", keyState).toString();
  }

  private static String keyPath(String team, String customer, String keyId) {
    String path = "/teams/" + team + "/customers/" + customer + "/keys/" + keyId;
    if (SettingsPath.parse(path).filter(p -> p.segments().size() == 6).isEmpty()) {
      throw ApiException.of(
          400,
          "badRequest",
          "given customer "
              + team
              + "/"
              + customer
              + " and keyId "
              + keyId
              + ", expected team/customer and a name");
    }
    return path;
  }
}
