package org.comfreygap.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.decisions.ScalePolicy.Bounds;

/**
 * The parts of the settings tree that bear on the number of endpoints, read again when the tree has
 * a new revision.
 *
 * <p>Thread safety: not thread-safe.
 */
final class ScaleRules {

  private static final String SCALING = "/routing/scaling";
  private static final String ZONES = "/platform/zones";
  private static final double MILLIS_PER_SECOND = 1_000;

  private final ControlState state;
  private long revision = -1;
  private Map<String, Bounds> bounds = Map.of();
  private Set<String> zonesOut = Set.of();

  ScaleRules(ControlState state) {
    this.state = state;
  }

  /** Reads the newest revision. */
  void update() {
    if (state.revision() == revision) {
      return;
    }
    state.readSettings(
        store -> {
          bounds = readBounds(store.tree());
          zonesOut = readZonesOut(store.tree());
          revision = store.revision();
          return null;
        });
  }

  /** Returns true when no pool has its number of endpoints ordered. */
  boolean isEmpty() {
    return bounds.isEmpty();
  }

  Optional<Bounds> bounds(String pool) {
    return Optional.ofNullable(bounds.get(pool));
  }

  boolean zoneIn(String zone) {
    return !zonesOut.contains(zone);
  }

  private static Map<String, Bounds> readBounds(SettingsTree tree) {
    Map<String, Bounds> read = new HashMap<>();
    tree.subtree(SCALING)
        .forEach(
            (path, entry) -> {
              JsonNode document = parse(entry.document());
              long bootMillis =
                  (long) (document.path("bootSeconds").asDouble(0) * MILLIS_PER_SECOND);
              read.put(
                  path.substring(SCALING.length() + 1),
                  new Bounds(
                      document.path("min").asInt(),
                      document.path("max").asInt(),
                      Duration.ofMillis(bootMillis)));
            });
    return read;
  }

  private static Set<String> readZonesOut(SettingsTree tree) {
    Set<String> read = new HashSet<>();
    tree.subtree(ZONES)
        .forEach(
            (path, entry) -> {
              if (parse(entry.document()).path("state").asText().equals("out")) {
                read.add(path.substring(ZONES.length() + 1));
              }
            });
    return read;
  }

  private static JsonNode parse(String document) {
    try {
      return Codec.MAPPER.readTree(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the settings tree holds a malformed document", e);
    }
  }
}
