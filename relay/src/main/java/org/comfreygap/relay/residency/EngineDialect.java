package org.comfreygap.relay.residency;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.comfreygap.relay.HttpPeerClient;

/**
 * The form of an engine's reports and orders.
 *
 * <p>Implementations translate and decide nothing. Thread safety: implementations are stateless.
 *
 * @since 0.2
 */
public interface EngineDialect {

  /**
   * An order to an engine.
   *
   * @param load true to load, false to unload
   * @param adapter the adapter of the model, or empty for the base model itself
   * @param version version to load, where one is announced
   * @param instanceId the start of the engine that is meant
   * @param expectedSequence number of orders that it has accepted, as far as is known
   * @param holder who gives orders
   * @param fencing fencing number of the holder
   */
  record EngineCommand(
      boolean load,
      String model,
      Optional<String> adapter,
      OptionalLong version,
      String instanceId,
      long expectedSequence,
      String holder,
      long fencing) {}

  /** A call: path, headers and body. */
  record Call(String path, Map<String, String> headers, String body) {}

  /** What an engine answered to an order. */
  enum CommandResult {
    /** It carries the order out. */
    ACCEPTED,
    /** What was ordered holds already. */
    HOLDS,
    /** Another order was first, or the sequence differs; a newer report tells. */
    CONFLICT,
    /** It does not carry the order out. */
    REFUSED
  }

  /** Returns the path of the report. */
  String reportPath();

  /**
   * Reads a report.
   *
   * @throws IOException when it cannot be read
   */
  EngineReport readReport(HttpPeerClient.Response reply) throws IOException;

  /** Returns the id of the engine's start from the answer of a health check, where stated. */
  Optional<String> readInstance(HttpPeerClient.Response reply);

  /** Returns for how long the engine stays cold, from the answer of a health check; 0 if warm. */
  long readColdMillis(HttpPeerClient.Response reply);

  /** Returns the call that gives an order. */
  Call writeCommand(EngineCommand order);

  /** Reads the answer to an order. */
  CommandResult readResult(EngineCommand order, HttpPeerClient.Response reply);
}
