package org.comfreygap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Shows the chain of decisions about one request, from log files or from the running processes.
 *
 * <p>Thread safety: not thread-safe.
 *
 * @since 0.3
 */
@Command(
    name = "explain",
    description =
        "Show why a request ended as it did, for example: comfreygap explain 6f9486e003407292"
            + " --log gateway.log --log sidecar.log")
public final class ExplainCommand extends OperatorCommand {

  @Arguments(title = "REQUEST-ID", description = "Id of the request, as the caller sent it")
  @Required
  private String request;

  @Option(
      name = {"--log"},
      title = "FILE",
      description =
          "Log file of a process; may be given more than once. Default: query the running"
              + " processes.")
  private List<String> logs = new ArrayList<>();

  @Option(
      name = {"--html"},
      title = "FILE",
      description = "Also write a self-contained HTML chart to this file")
  private String html;

  @Override
  ExitCode execute(PrintStream out) throws CommandException {
    if (logs.isEmpty()) {
      return super.execute(out);
    }
    return explain(EventCollection.fromLogs(logs.stream().map(Path::of).toList()), out);
  }

  @Override
  ExitCode run(AdminClient client, PrintStream out) throws CommandException {
    return explain(EventCollection.fromProcesses(client, ""), out);
  }

  private ExitCode explain(EventCollection collected, PrintStream out) throws CommandException {
    Optional<Explanation> found = Explanation.of(request, collected.events());
    if (found.isEmpty()) {
      throw new CommandException(
          ExitCode.NOT_FOUND,
          "no event of request "
              + request
              + " among "
              + collected.events().size()
              + " events"
              + (collected.missing().isEmpty() ? "" : "; no response from " + collected.missing()));
    }
    if (format() == OutputFormat.JSON) {
      print(out, json(found.get(), collected));
    } else {
      print(out, found.get(), collected);
    }
    if (html != null) {
      try {
        Files.writeString(
            Path.of(html), TimelineRenderer.html(found.get().chain(), collected.missing()));
      } catch (IOException e) {
        throw new CommandException(ExitCode.UNAVAILABLE, "cannot write " + html, e);
      }
    }
    return ExitCode.OK;
  }

  private static void print(PrintStream out, Explanation found, EventCollection collected) {
    for (JsonNode event : found.chain()) {
      out.printf(
          "%+7d ms  %s%n", found.offsetMillis(event), TimelineRenderer.lineWithoutTime(event));
    }
    out.println("cause: " + found.cause());
    out.println("next:  " + found.next());
    if (!collected.missing().isEmpty()) {
      out.println("no answer from: " + String.join(", ", collected.missing()));
    }
  }

  private static ObjectNode json(Explanation found, EventCollection collected) {
    ObjectNode result = newObject();
    result.put("request", found.request());
    result.put("cause", found.cause());
    result.put("next", found.next());
    ArrayNode chain = result.putArray("chain");
    found.chain().forEach(chain::add);
    ArrayNode missing = result.putArray("missing");
    collected.missing().forEach(missing::add);
    return result;
  }
}
