package org.comfreygap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The commands of {@code comfreygap zones}, {@code keys}, {@code quarantine}, {@code members} and
 * {@code status}.
 *
 * <p>Thread safety: the commands are not thread-safe.
 *
 * @since 0.1
 */
public final class PlatformCommands {

  private PlatformCommands() {}

  /** Takes a zone out of service. */
  @Command(name = "out", description = "Take an availability zone out of service")
  public static final class ZoneOut extends ZoneChange {

    @Override
    String state() {
      return "out";
    }
  }

  /** Brings a zone back into service. */
  @Command(name = "in", description = "Bring an availability zone back into service")
  public static final class ZoneIn extends ZoneChange {

    @Override
    String state() {
      return "in";
    }
  }

  /** Base class of the zone commands. */
  abstract static class ZoneChange extends OperatorCommand {

    @Arguments(title = "ZONE", description = "Name of the availability zone")
    @Required
    private String zone;

    @AirlineModule private WaitOptions wait = new WaitOptions();

    abstract String state();

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      JsonNode body = newObject().put("state", state());
      String target = wait.addTo("/zones/" + zone);
      return printChange(
          out, client.send("POST", target, changeHeaders(Optional.empty()), Optional.of(body)));
    }
  }

  /** Creates a key. */
  @Command(name = "create", description = "Create a key for a customer and print it once")
  public static final class KeyCreate extends OperatorCommand {

    @Arguments(title = "CUSTOMER", description = "Customer as team/customer")
    @Required
    private String customer;

    @Option(
        name = {"--key-id"},
        title = "ID",
        description = "Name of the key. Default: chosen by control.")
    private String keyId;

    @AirlineModule private WaitOptions wait = new WaitOptions();

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      ObjectNode body = newObject().put("customer", customer);
      if (keyId != null) {
        body.put("keyId", keyId);
      }
      String target = wait.addTo("/keys");
      return printChange(
          out, client.send("POST", target, changeHeaders(Optional.empty()), Optional.of(body)));
    }
  }

  /** Withdraws a key. */
  @Command(name = "withdraw", description = "Withdraw a key of a customer")
  public static final class KeyWithdraw extends OperatorCommand {

    @Arguments(
        title = {"CUSTOMER", "KEY_ID"},
        description = "Customer as team/customer, and the id of the key")
    @Required
    private List<String> arguments;

    @AirlineModule private WaitOptions wait = new WaitOptions();

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      if (arguments.size() != 2) {
        throw new CommandException(
            ExitCode.USAGE, "given " + arguments + ", expected CUSTOMER and KEY_ID");
      }
      String target = wait.addTo("/keys/" + arguments.get(0) + "/" + arguments.get(1));
      return printChange(
          out, client.send("DELETE", target, changeHeaders(Optional.empty()), Optional.empty()));
    }
  }

  /** Shows what is banned because endpoints crashed with it. */
  @Command(
      name = "list",
      description = "List requests and parts of prompts that are banned or suspected of crashes")
  public static final class QuarantineList extends OperatorCommand {

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      print(out, client.get("/quarantine"));
      return ExitCode.OK;
    }
  }

  /** Ends the ban of a part of prompts. */
  @Command(
      name = "lift",
      description =
          "End the ban of a part of prompts, for example: comfreygap quarantine lift 5c1e")
  public static final class QuarantineLift extends OperatorCommand {

    @Arguments(title = "PART", description = "Id of the part, as the list shows it")
    @Required
    private String part;

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      String target = "/quarantine/parts/" + part;
      JsonNode reply = client.send("DELETE", target, Map.of(), Optional.empty());
      print(out, reply);
      return ExitCode.OK;
    }
  }

  /** Lists the control instances. */
  @Command(name = "list", description = "List the control instances")
  public static final class MemberList extends OperatorCommand {

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      print(out, client.get("/members"));
      return ExitCode.OK;
    }
  }

  /** Adds a control instance. */
  @Command(
      name = "add",
      description = "Add a control instance; it joins as a learner and votes once it has caught up")
  public static final class MemberAdd extends OperatorCommand {

    @AirlineModule private NewReplicaOptions replica = new NewReplicaOptions();

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      print(out, replica.add(client));
      return ExitCode.OK;
    }
  }

  /** Removes a control instance. */
  @Command(name = "remove", description = "Remove a control instance")
  public static final class MemberRemove extends OperatorCommand {

    @Arguments(title = "REPLICA_ID", description = "Id of the replica")
    @Required
    private String replicaId;

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      print(out, removeMember(client, replicaId));
      return ExitCode.OK;
    }
  }

  /** Replaces a control instance that is lost. */
  @Command(
      name = "replace",
      description = "Add a control instance and, once it votes, remove the lost one")
  public static final class MemberReplace extends OperatorCommand {

    @Arguments(title = "LOST_REPLICA_ID", description = "Id of the replica that is lost")
    @Required
    private String lostReplicaId;

    @AirlineModule private NewReplicaOptions replica = new NewReplicaOptions();

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      if (replica.replicaId().equals(lostReplicaId)) {
        throw new CommandException(
            ExitCode.USAGE,
            "given the id of the lost replica again, expected a new one: a replica that lost its"
                + " disk must not vote as before");
      }
      replica.add(client);
      print(out, removeMember(client, lostReplicaId));
      return ExitCode.OK;
    }
  }

  /** Prints the state of the deployment. */
  @Command(name = "status", description = "Print the control replicas and all live processes")
  public static final class Status extends OperatorCommand {

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      print(out, client.get("/status"));
      return ExitCode.OK;
    }
  }

  private static JsonNode removeMember(AdminClient client, String replicaId)
      throws CommandException {
    return client.send(
        "DELETE",
        "/members/" + replicaId,
        OperatorCommand.changeHeaders(Optional.empty()),
        Optional.empty());
  }
}
