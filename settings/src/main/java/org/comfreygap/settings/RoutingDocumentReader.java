package org.comfreygap.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.comfreygap.settings.Documents.AnnouncedVersion;
import org.comfreygap.settings.Documents.AnnouncedWeights;
import org.comfreygap.settings.Documents.BaseModel;
import org.comfreygap.settings.Documents.Engine;
import org.comfreygap.settings.Documents.KeyPolicy;
import org.comfreygap.settings.Documents.Pool;
import org.comfreygap.settings.Documents.Publication;
import org.comfreygap.settings.Documents.RequestLimits;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.Documents.RouteTarget;
import org.comfreygap.settings.Documents.Scaling;

/**
 * Converts the JSON documents of the routing tables to typed ones.
 *
 * <p>Thread safety: stateless.
 */
final class RoutingDocumentReader {

  // The middle rank, which also applies to requests that state none.
  private static final int DEFAULT_RANK = 5;

  private RoutingDocumentReader() {}

  /** Returns the typed document; {@code node} satisfies the schema of {@code kind}. */
  static Object read(DocumentKind kind, String id, JsonNode node) {
    return switch (kind) {
      case ROUTE -> route(id, node);
      case POOL -> pool(id, node);
      case REQUEST_LIMITS ->
          new RequestLimits(
              node.get("maxHeaderBytes").asInt(),
              node.get("maxBodyBytes").asLong(),
              node.get("headerTimeoutMillis").asLong(),
              node.get("idleTimeoutMillis").asLong());
      case SCALING ->
          new Scaling(
              id,
              node.get("min").asInt(),
              node.get("max").asInt(),
              node.path("bootSeconds").asDouble(0));
      case PUBLICATION -> new Publication(node.get("version").asLong());
      case KEY_POLICY -> new KeyPolicy(node.get("required").asBoolean());
      case ANNOUNCED_VERSION ->
          new AnnouncedVersion(
              node.get("model").asText(),
              node.get("adapter").asText(),
              node.get("version").asLong());
      case ANNOUNCED_WEIGHTS ->
          new AnnouncedWeights(node.get("model").asText(), node.get("version").asLong());
      default ->
          throw new IllegalArgumentException(
              "given " + kind + ", expected a kind of routing document");
    };
  }

  private static Route route(String name, JsonNode node) {
    List<RouteTarget> targets = new ArrayList<>();
    node.get("targets")
        .forEach(
            target ->
                targets.add(
                    new RouteTarget(target.get("pool").asText(), target.get("weight").asDouble())));
    return new Route(
        name,
        node.get("host").asText(),
        node.get("pathPrefix").asText(),
        DocumentReader.enumConstant(RequestKind.class, node.get("kind").asText()),
        node.get("timeoutMillis").asLong(),
        node.path("targetLatencyMillis").asLong(0),
        node.path("maxGapMillis").asLong(0),
        node.path("rank").asInt(DEFAULT_RANK),
        List.copyOf(targets),
        node.path("maxAttempts").asInt(1),
        node.path("open").asBoolean(false),
        node.path("sticky").asBoolean(false),
        node.path("resumable").asBoolean(false));
  }

  private static Pool pool(String name, JsonNode node) {
    return new Pool(
        name,
        node.get("healthPath").asText(),
        node.get("maxConnections").asInt(),
        node.path("coldSeconds").asDouble(0),
        node.path("coldRequestsPerSecond").asDouble(0),
        Optional.ofNullable(node.get("engine")).map(RoutingDocumentReader::engine));
  }

  private static Engine engine(JsonNode node) {
    List<BaseModel> models = new ArrayList<>();
    node.get("models")
        .forEach(
            model ->
                models.add(
                    new BaseModel(
                        model.get("name").asText(),
                        model.get("weightsMegabytes").asDouble(),
                        model.path("adapters").asLong(0))));
    return new Engine(
        node.get("slots").asInt(),
        node.get("kvTokens").asLong(),
        node.path("adapterSlots").asInt(0),
        node.path("weightsMegabytes").asDouble(0),
        node.path("loadsPerSecond").asDouble(0),
        List.copyOf(models));
  }
}
