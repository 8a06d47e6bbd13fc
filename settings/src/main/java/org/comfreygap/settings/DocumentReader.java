package org.comfreygap.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import org.comfreygap.settings.Documents.Adapter;
import org.comfreygap.settings.Documents.AdapterVersion;
import org.comfreygap.settings.Documents.ColdStart;
import org.comfreygap.settings.Documents.CountingUnit;
import org.comfreygap.settings.Documents.Customer;
import org.comfreygap.settings.Documents.Endpoint;
import org.comfreygap.settings.Documents.EndpointKind;
import org.comfreygap.settings.Documents.EndpointState;
import org.comfreygap.settings.Documents.Key;
import org.comfreygap.settings.Documents.KeyState;
import org.comfreygap.settings.Documents.Limits;
import org.comfreygap.settings.Documents.ServiceRoute;
import org.comfreygap.settings.Documents.StoreLimits;
import org.comfreygap.settings.Documents.Team;
import org.comfreygap.settings.Documents.Zone;
import org.comfreygap.settings.Documents.ZoneState;

/**
 * Converts JSON documents to typed ones.
 *
 * <p>Invariant: a document is validated against its schema before it is converted. Thread safety:
 * stateless.
 */
final class DocumentReader {

  static final String STORE_ID = "store";
  static final String REQUEST_LIMITS_ID = "limits";
  static final String PUBLICATION_ID = "publication";
  static final String KEY_POLICY_ID = "key-policy";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private DocumentReader() {}

  /** Returns the id under which a document is indexed. */
  static String id(DocumentKind kind, SettingsPath path) {
    return switch (kind) {
      case TEAM -> path.segment(1);
      case CUSTOMER, LIMITS, ADAPTER, SERVICE -> qualifiedId(path);
      case KEY -> qualifiedId(path) + "/" + path.segment(5);
      case ADAPTER_VERSION -> qualifiedId(path) + "@" + path.segment(5);
      case ZONE, ENDPOINT -> path.segment(2);
      case STORE -> STORE_ID;
      case ROUTE, POOL, SCALING, ANNOUNCED_VERSION, ANNOUNCED_WEIGHTS -> path.segment(2);
      case REQUEST_LIMITS, PUBLICATION, KEY_POLICY -> path.segment(1);
    };
  }

  /**
   * Returns the typed document.
   *
   * @throws IllegalArgumentException when the document does not match its schema
   */
  static Object read(DocumentKind kind, SettingsPath path, String json) {
    JsonNode node = parse(json);
    List<Fault> faults = kind.schema().check(path.toString(), node);
    if (!faults.isEmpty()) {
      throw new IllegalArgumentException(faults.get(0).message());
    }
    String id = id(kind, path);
    String team = path.segment(1);
    return switch (kind) {
      case TEAM -> new Team(id, Optional.ofNullable(node.get("displayName")).map(JsonNode::asText));
      case CUSTOMER -> customer(id, team, node);
      case LIMITS ->
          new Limits(id, node.get("tokensPerSecond").asLong(), node.get("burstTokens").asLong());
      case KEY ->
          new Key(
              qualifiedId(path),
              path.segment(5),
              node.get("sha256").asText(),
              enumConstant(KeyState.class, node.get("state").asText()));
      case ADAPTER ->
          new Adapter(
              id,
              team,
              node.get("baseModel").asText(),
              Documents.toSet(strings(node, "customers")));
      case ADAPTER_VERSION ->
          new AdapterVersion(qualifiedId(path), path.segment(5), node.get("source").asText());
      case SERVICE -> service(id, team, node);
      case ZONE -> new Zone(id, enumConstant(ZoneState.class, node.get("state").asText()));
      case ENDPOINT -> endpoint(id, node);
      case STORE ->
          new StoreLimits(
              node.get("loadsPerSecond").asDouble(),
              node.get("fullSpeedLoads").asInt(),
              node.get("maxInFlight").asInt());
      default -> RoutingDocumentReader.read(kind, id, node);
    };
  }

  private static Customer customer(String id, String team, JsonNode node) {
    return new Customer(
        id,
        team,
        priority(node),
        node.has("rank") ? OptionalInt.of(node.get("rank").asInt()) : OptionalInt.empty(),
        enumConstant(CountingUnit.class, node.path("countedIn").asText("tokens")),
        node.path("tokensWithoutCount").asLong(0));
  }

  private static ServiceRoute service(String id, String team, JsonNode node) {
    return new ServiceRoute(
        id,
        team,
        node.path("open").asBoolean(false),
        Documents.toSet(strings(node, "customers")),
        Documents.toSet(strings(node, "idempotentMethods")),
        priority(node));
  }

  private static Endpoint endpoint(String id, JsonNode node) {
    EndpointKind kind = enumConstant(EndpointKind.class, node.get("kind").asText());
    String targetField = kind == EndpointKind.ENGINE ? "baseModel" : "service";
    JsonNode coldStart = node.get("coldStart");
    return new Endpoint(
        id,
        node.get("zone").asText(),
        kind,
        node.path(targetField).asText(""),
        node.get("sidecar").asText(),
        node.path("slots").asInt(0),
        node.get("maxBatch").asInt(),
        node.path("checksFencing").asBoolean(false),
        enumConstant(EndpointState.class, node.path("state").asText("in")),
        new ColdStart(
            coldStart.get("initialConcurrency").asInt(), coldStart.get("rampSeconds").asDouble()));
  }

  private static Priority priority(JsonNode node) {
    return Priority.parse(node.path("defaultPriority").asText("normal")).orElse(Priority.NORMAL);
  }

  private static List<String> strings(JsonNode node, String field) {
    List<String> values = new ArrayList<>();
    node.path(field).forEach(value -> values.add(value.asText()));
    return values;
  }

  static <E extends Enum<E>> E enumConstant(Class<E> type, String text) {
    return Enum.valueOf(type, text.toUpperCase(Locale.ROOT));
  }

  private static String qualifiedId(SettingsPath path) {
    return path.segment(1) + "/" + path.segment(3);
  }

  private static JsonNode parse(String json) {
    try {
      return MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("given a malformed document, expected JSON", e);
    }
  }
}
