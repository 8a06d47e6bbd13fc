package org.comfreygap.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * The operator's command line, {@code comfreygap}.
 *
 * <pre>{@code
 * comfreygap zones out north --wait
 * }</pre>
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
@Cli(
    name = "comfreygap",
    description = "Operates a comfreygap deployment through the administration API of control",
    defaultCommand = Help.class,
    commands = {
      Help.class,
      PlatformCommands.Status.class,
      TimelineCommand.class,
      ExplainCommand.class
    },
    groups = {
      @Group(
          name = "settings",
          description = "Settings documents, addressed by path",
          commands = {
            SettingsCommands.Get.class,
            SettingsCommands.Put.class,
            SettingsCommands.Delete.class,
            SettingsCommands.ListAll.class,
            SettingsCommands.Watch.class,
            SettingsCommands.Apply.class,
            SettingsCommands.Diff.class,
            SettingsCommands.History.class,
            SettingsCommands.RollbackTo.class
          }),
      @Group(
          name = "zones",
          description = "Availability zones",
          commands = {PlatformCommands.ZoneOut.class, PlatformCommands.ZoneIn.class}),
      @Group(
          name = "keys",
          description = "Callers' keys",
          commands = {PlatformCommands.KeyCreate.class, PlatformCommands.KeyWithdraw.class}),
      @Group(
          name = "quarantine",
          description = "Requests and parts of prompts that crash endpoints",
          commands = {
            PlatformCommands.QuarantineList.class,
            PlatformCommands.QuarantineLift.class
          }),
      @Group(
          name = "members",
          description = "Control instances",
          commands = {
            PlatformCommands.MemberList.class,
            PlatformCommands.MemberAdd.class,
            PlatformCommands.MemberRemove.class,
            PlatformCommands.MemberReplace.class
          })
    })
public final class CliMain {

  private static final Set<String> HELP_FLAGS = Set.of("--help", "-h");

  private CliMain() {}

  /** Runs one command and exits with its code. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err).code());
  }

  /** Runs one command and returns its exit code. */
  static ExitCode run(String[] args, PrintStream out, PrintStream err) {
    com.github.rvesse.airline.Cli<Object> cli = new com.github.rvesse.airline.Cli<>(CliMain.class);
    if (Arrays.stream(args).anyMatch(HELP_FLAGS::contains)) {
      return help(cli, args, out, err);
    }
    Object command;
    try {
      command = cli.parse(args);
    } catch (ParseException e) {
      err.println("comfreygap: " + e.getMessage());
      err.println("Run 'comfreygap help' for a list of commands.");
      return ExitCode.USAGE;
    }
    try {
      if (command instanceof OperatorCommand operatorCommand) {
        return operatorCommand.execute(out);
      }
      ((Runnable) command).run();
      return ExitCode.OK;
    } catch (CommandException e) {
      err.println("comfreygap: " + e.getMessage());
      return e.exitCode();
    }
  }

  // Airline validates required arguments before a help option, so the flag is detected beforehand.
  private static ExitCode help(
      com.github.rvesse.airline.Cli<Object> cli, String[] args, PrintStream out, PrintStream err) {
    List<String> names =
        Arrays.stream(args).takeWhile(arg -> !arg.startsWith("-")).limit(2).toList();
    try {
      Help.help(cli.getMetadata(), names, out);
      return ExitCode.OK;
    } catch (IOException e) {
      err.println("comfreygap: cannot print the help: " + e.getMessage());
      return ExitCode.UNAVAILABLE;
    }
  }
}
