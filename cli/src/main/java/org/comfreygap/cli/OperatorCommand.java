package org.comfreygap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import java.io.PrintStream;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

/**
 * Base class of the commands: common options and output of results.
 *
 * <p>Thread safety: not thread-safe.
 *
 * @since 0.1
 */
public abstract class OperatorCommand {

  static final String OPERATION_HEADER = "Comfreygap-Operation-Id";

  @AirlineModule private ConnectionOptions connection = new ConnectionOptions();

  /**
   * Connects to control and runs the command.
   *
   * @throws CommandException if the command fails
   */
  ExitCode execute(PrintStream out) throws CommandException {
    try (AdminClient client = connection.client()) {
      return run(client, out);
    }
  }

  /** Runs the command against control. */
  abstract ExitCode run(AdminClient client, PrintStream out) throws CommandException;

  /** Returns the output format. */
  final OutputFormat format() {
    return connection.format();
  }

  /** Prints {@code result} in the output format. */
  final void print(PrintStream out, JsonNode result) {
    out.println(format().render(result));
  }

  /** Returns the headers of a change request; without an id, a new operation id is used. */
  static Map<String, String> changeHeaders(Optional<String> operationId) {
    return Map.of(OPERATION_HEADER, operationId.orElseGet(OperatorCommand::newOperationId));
  }

  /** Returns a new operation id. */
  static String newOperationId() {
    return "cli-" + UUID.randomUUID();
  }

  /** Prints the result of a change; the exit code says whether an awaited change is in force. */
  final ExitCode printChange(PrintStream out, JsonNode result) {
    print(out, result);
    boolean notInForce = result.has("inForce") && !result.path("inForce").asBoolean();
    return notInForce ? ExitCode.NOT_IN_FORCE : ExitCode.OK;
  }

  /** Returns an empty JSON object. */
  static ObjectNode newObject() {
    return AdminClient.MAPPER.createObjectNode();
  }
}
