package org.comfreygap.relay.residency;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.comfreygap.decisions.StatedLimit;
import org.comfreygap.relay.HttpPeerClient;

/**
 * The format of an engine's reports and commands.
 *
 * <p>Implementations translate and decide nothing. Thread safety: implementations are stateless.
 *
 * @since 0.2
 */
public interface EngineDialect {

  /**
   * A command to an engine.
   *
   * @param load true to load, false to unload
   * @param adapter the adapter of the model, or empty for the base model itself
   * @param version version to load, if one is announced
   * @param instanceId id of the start of the engine that the command is for
   * @param expectedSequence number of commands that it has accepted, as far as is known
   * @param holder id of the process that gives commands
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

  /** An HTTP call: path, headers and body. */
  record Call(String path, Map<String, String> headers, String body) {}

  /** An engine's response to a command. */
  enum CommandResult {
    /** It executes the command. */
    ACCEPTED,
    /** The commanded state holds already. */
    HOLDS,
    /** Another command came first, or the sequence differs; a newer report has the state. */
    CONFLICT,
    /** It does not execute the command. */
    REFUSED
  }

  /** Returns the path of the report. */
  String reportPath();

  /**
   * Reads a report.
   *
   * @throws IOException when it cannot be read
   */
  EngineReport readReport(HttpPeerClient.Response response) throws IOException;

  /** Returns the id of the engine's start from the response to a health check, where stated. */
  Optional<String> readInstance(HttpPeerClient.Response response);

  /** Returns the remaining cold time from the response to a health check; 0 if warm. */
  long readColdMillis(HttpPeerClient.Response response);

  /** Returns the request limit that any response states. */
  StatedLimit readLimit(HttpPeerClient.Response response);

  /** Returns the pace that any response states, in percent of the usual time. */
  default OptionalInt readPace(HttpPeerClient.Response response) {
    return OptionalInt.empty();
  }

  /** Returns the call that sends a command. */
  Call writeCommand(EngineCommand command);

  /** Reads the response to a command. */
  CommandResult readResult(EngineCommand command, HttpPeerClient.Response response);
}
