package org.comfreygap.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * Derives addresses that a settings file omits from a block of ports that is the same on all
 * instances.
 *
 * <pre>{@code
 * portBlock: {host: 10.0.0.4, first: 7600, last: 7615}
 * seeds: ["10.0.0.4:8229", "10.0.1.4:8229"]
 * }</pre>
 *
 * <p>With this block, {@code control} becomes the hosts of the seeds with the port of {@link
 * #CONTROL_RPC}. Values given in the file take precedence. Thread safety: stateless.
 *
 * @since 0.2
 */
public final class PortBlock {

  /** Offset of the port at which control serves gateways and sidecars. */
  public static final int CONTROL_RPC = 0;

  /** Offset of the port for replication between control instances. */
  public static final int CONTROL_REPLICATION = 1;

  /** Offset of the port for metrics and the timeline of control. */
  public static final int CONTROL_ADMIN = 2;

  /** Offset of the port for metrics and the timeline of a gateway. */
  public static final int GATEWAY_ADMIN = 3;

  /** Offset of the port at which a sidecar serves gateways. */
  public static final int SIDECAR_LINK = 4;

  /** Offset of the port for metrics and the timeline of a sidecar. */
  public static final int SIDECAR_ADMIN = 5;

  /** Offset of the port at which a gateway grants sends to other gateways. */
  public static final int GATEWAY_LINK = 6;

  private PortBlock() {}

  /**
   * Adds the addresses that {@code root} omits; does nothing without a valid {@code portBlock}.
   *
   * @param offsets offsets in the block by field name
   */
  static void fill(JsonNode root, Map<String, Integer> offsets) {
    JsonNode block = root == null ? null : root.path("portBlock");
    if (block == null || !block.path("host").isTextual() || !block.path("first").isInt()) {
      return;
    }
    ObjectNode settings = (ObjectNode) root;
    int first = block.path("first").asInt();
    String host = block.path("host").asText();
    offsets.forEach(
        (field, offset) -> {
          if (!settings.has(field)) {
            settings.put(field, host + ":" + (first + offset));
          }
        });
    if (!settings.has("control") && settings.path("seeds").isArray()) {
      ArrayNode control = settings.putArray("control");
      for (JsonNode seed : settings.path("seeds")) {
        control.add(hostOf(seed.asText()) + ":" + (first + CONTROL_RPC));
      }
    }
  }

  /** Returns the part of {@code ip:port} before the port. */
  public static String hostOf(String address) {
    int colon = address.lastIndexOf(':');
    return colon < 0 ? address : address.substring(0, colon);
  }
}
