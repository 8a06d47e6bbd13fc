package org.comfreygap.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The commands of {@code comfreygap settings}.
 *
 * <p>Thread safety: the commands are not thread-safe.
 *
 * @since 0.1
 */
public final class SettingsCommands {

  private SettingsCommands() {}

  /** Prints a document. */
  @Command(name = "get", description = "Print the document at a path")
  public static final class Get extends OperatorCommand {

    @Arguments(title = "PATH", description = "Path of the document")
    @Required
    private String path;

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      print(out, client.get("/settings" + path));
      return ExitCode.OK;
    }
  }

  /** Lists the documents below a path. */
  @Command(name = "list", description = "List the documents at and below a path")
  public static final class ListAll extends OperatorCommand {

    @Arguments(title = "PREFIX", description = "Path; / lists everything")
    @Required
    private String prefix;

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      print(out, client.get("/settings" + prefix + "?prefix=true"));
      return ExitCode.OK;
    }
  }

  /** Writes a document. */
  @Command(name = "put", description = "Write the document at a path")
  public static final class Put extends OperatorCommand {

    @Arguments(
        title = {"PATH", "DOCUMENT"},
        description = "Path and JSON document; the document @FILE is read from the file")
    @Required
    private java.util.List<String> arguments;

    @Option(
        name = {"--if-revision"},
        title = "N",
        description =
            "Write only if the document is at this revision; 0: only if it does not exist")
    private Long ifRevision;

    @Option(
        name = {"--operation-id"},
        title = "ID",
        description = "Id that makes a resend return the first response. Default: a new one.")
    private String operationId;

    @AirlineModule private WaitOptions wait = new WaitOptions();

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      if (arguments.size() != 2) {
        throw new CommandException(
            ExitCode.USAGE, "given " + arguments.size() + " arguments, expected PATH and DOCUMENT");
      }
      Map<String, String> headers = new HashMap<>(changeHeaders(Optional.ofNullable(operationId)));
      if (ifRevision != null) {
        headers.put("If-Match", ifRevision.toString());
      }
      String path = wait.addTo("/settings" + arguments.get(0));
      Optional<JsonNode> body = Optional.of(document(arguments.get(1)));
      return printChange(out, client.send("PUT", path, headers, body));
    }
  }

  /** Deletes a document or a subtree. */
  @Command(name = "delete", description = "Delete the document at a path, or a subtree")
  public static final class Delete extends OperatorCommand {

    @Arguments(title = "PATH", description = "Path of the document")
    @Required
    private String path;

    @Option(
        name = {"--prefix"},
        description = "Delete everything at and below the path")
    private boolean prefix;

    @AirlineModule private WaitOptions wait = new WaitOptions();

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      String target = wait.addTo("/settings" + path + (prefix ? "?prefix=true" : ""));
      return printChange(
          out, client.send("DELETE", target, changeHeaders(Optional.empty()), Optional.empty()));
    }
  }

  /** Prints changes as they are accepted. */
  @Command(name = "watch", description = "Print changes below a path as they are accepted")
  public static final class Watch extends OperatorCommand {

    private static final int WAIT_MILLIS = 20_000;

    @Arguments(title = "PREFIX", description = "Path; / follows everything")
    @Required
    private String prefix;

    @Option(
        name = {"--after"},
        title = "REVISION",
        description = "Print changes after this revision. Default: the current one.")
    private Long after;

    @Option(
        name = {"--count"},
        title = "N",
        description = "Stop after this many changes. Default: run until interrupted.")
    private long count = Long.MAX_VALUE;

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      long revision = after != null ? after : client.get("/status").path("revision").asLong();
      long printed = 0;
      while (printed < count) {
        JsonNode response =
            client.get(
                "/watch?after=" + revision + "&waitMillis=" + WAIT_MILLIS + "&prefix=" + prefix);
        for (JsonNode change : response.path("changes")) {
          out.println(format() == OutputFormat.JSON ? change.toString() : line(change));
          printed++;
        }
        out.flush();
        revision = Math.max(revision, response.path("revision").asLong());
      }
      return ExitCode.OK;
    }

    private static String line(JsonNode change) {
      String document = change.hasNonNull("document") ? change.get("document").toString() : "-";
      return change.path("revision").asText()
          + " "
          + change.path("kind").asText()
          + " "
          + change.path("path").asText()
          + " "
          + document;
    }
  }

  /** Writes the documents of a file in one transaction. */
  @Command(name = "apply", description = "Write all documents of a YAML file in one transaction")
  public static final class Apply extends OperatorCommand {

    @Arguments(title = "FILE", description = "YAML mapping from paths to documents")
    @Required
    private String file;

    @Option(
        name = {"--operation-id"},
        title = "ID",
        description = "Id that makes a resend return the first response. Default: a new one.")
    private String operationId;

    @AirlineModule private WaitOptions wait = new WaitOptions();

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      String id = Optional.ofNullable(operationId).orElseGet(OperatorCommand::newOperationId);
      ObjectNode transaction = newObject().put("operationId", id);
      ArrayNode changes = transaction.putArray("changes");
      SettingsFile.read(Path.of(file))
          .forEach(
              (path, document) -> {
                ObjectNode change = changes.addObject().put("path", path);
                change.set("document", document);
              });
      String target = wait.addTo("/transactions");
      return printChange(
          out,
          client.send("POST", target, changeHeaders(Optional.of(id)), Optional.of(transaction)));
    }
  }

  /** Shows the differences between a file and the current settings. */
  @Command(name = "diff", description = "Show what applying a YAML file would change")
  public static final class Diff extends OperatorCommand {

    @Arguments(title = "FILE", description = "YAML mapping from paths to documents")
    @Required
    private String file;

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      Map<String, JsonNode> current = new HashMap<>();
      for (JsonNode entry : client.get("/settings/?prefix=true").path("entries")) {
        current.put(entry.path("path").asText(), entry.path("document"));
      }
      ArrayNode rows = AdminClient.MAPPER.createArrayNode();
      for (Map.Entry<String, JsonNode> requested : SettingsFile.read(Path.of(file)).entrySet()) {
        JsonNode before = current.get(requested.getKey());
        if (!requested.getValue().equals(before)) {
          ObjectNode row = rows.addObject();
          row.put("path", requested.getKey());
          row.set("present", before);
          row.set("wanted", requested.getValue());
        }
      }
      print(out, rows);
      return ExitCode.OK;
    }
  }

  /** Prints the history of changes. */
  @Command(name = "history", description = "Print who changed what and when, newest first")
  public static final class History extends OperatorCommand {

    @Arguments(title = "PREFIX", description = "Path; / for everything")
    private String prefix = "/";

    @Option(
        name = {"--limit"},
        title = "N",
        description = "Maximum number of changes to print. Default: 50.")
    private int limit = 50;

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      JsonNode response = client.get("/history?limit=" + limit + "&prefix=" + prefix);
      print(out, format() == OutputFormat.JSON ? response : response.path("changes"));
      return ExitCode.OK;
    }
  }

  /** Restores the documents of an earlier revision as a new change. */
  @Command(
      name = "rollback-to",
      description = "Restore the documents of an earlier revision, as a new change")
  public static final class RollbackTo extends OperatorCommand {

    @Arguments(title = "REVISION", description = "Revision whose documents are restored")
    @Required
    private long revision;

    @Option(
        name = {"--prefix"},
        title = "PATH",
        description = "Restore only the documents at and below this path")
    @Required
    private String prefix;

    @AirlineModule private WaitOptions wait = new WaitOptions();

    @Override
    ExitCode run(AdminClient client, PrintStream out) throws CommandException {
      String id = newOperationId();
      ObjectNode body =
          newObject().put("operationId", id).put("toRevision", revision).put("prefix", prefix);
      String target = wait.addTo("/rollback");
      return printChange(
          out, client.send("POST", target, changeHeaders(Optional.of(id)), Optional.of(body)));
    }
  }

  private static JsonNode document(String argument) throws CommandException {
    try {
      String json =
          argument.startsWith("@") ? Files.readString(Path.of(argument.substring(1))) : argument;
      return AdminClient.MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      throw new CommandException(
          ExitCode.INVALID, "given " + argument + ", expected a JSON document", e);
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, "cannot read " + argument.substring(1), e);
    }
  }
}
