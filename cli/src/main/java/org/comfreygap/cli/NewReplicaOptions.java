package org.comfreygap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Optional;

/**
 * Options that describe a new control instance.
 *
 * <p>Thread safety: not thread-safe.
 *
 * @since 0.1
 */
public final class NewReplicaOptions {

  @Option(
      name = {"--replica-id"},
      title = "ID",
      description = "Id of the new replica; must never have been used before")
  @Required
  private String replicaId;

  @Option(
      name = {"--address"},
      title = "IP:PORT",
      description = "Replication address")
  @Required
  private String address;

  @Option(
      name = {"--admin-address"},
      title = "IP:PORT",
      description = "Address of its administration API")
  @Required
  private String adminAddress;

  /** Returns the id of the new replica. */
  String replicaId() {
    return replicaId;
  }

  /**
   * Adds the replica and returns the members.
   *
   * @throws CommandException if control refuses the replica or does not respond
   */
  JsonNode add(AdminClient client) throws CommandException {
    ObjectNode body = OperatorCommand.newObject();
    body.put("replicaId", replicaId).put("address", address).put("adminAddress", adminAddress);
    return client.send(
        "POST", "/members", OperatorCommand.changeHeaders(Optional.empty()), Optional.of(body));
  }
}
