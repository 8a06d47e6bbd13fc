package org.comfreygap.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Options of every command: the control servers, the operator's token and the output format.
 *
 * <p>Invariant: a client from {@link #client} has at least one server. Thread safety: not
 * thread-safe.
 *
 * @since 0.1
 */
public final class ConnectionOptions {

  private static final String SERVER_VARIABLE = "COMFREYGAP_SERVER";
  private static final String TOKEN_VARIABLE = "COMFREYGAP_TOKEN_FILE";

  @Option(
      name = {"--server"},
      title = "URL",
      description =
          "Administration address of a control instance, such as http://127.0.0.1:7300; may be given"
              + " more than once. Default: COMFREYGAP_SERVER, separated by commas.")
  private List<String> servers = new ArrayList<>();

  @Option(
      name = {"--token-file"},
      title = "FILE",
      description = "File with the operator's token. Default: COMFREYGAP_TOKEN_FILE.")
  private String tokenFile;

  @Option(
      name = {"--output"},
      title = "FORMAT",
      description = "text or json. Default: text.")
  @AllowedRawValues(allowedValues = {"text", "json"})
  private String output = "text";

  /** Returns the output format. */
  public OutputFormat format() {
    return OutputFormat.valueOf(output.toUpperCase(Locale.ROOT));
  }

  /**
   * Returns a client of the administration API.
   *
   * @throws CommandException if no server is given or the token file cannot be read
   */
  public AdminClient client() throws CommandException {
    List<String> addresses = new ArrayList<>(servers);
    String variable = System.getenv(SERVER_VARIABLE);
    if (addresses.isEmpty() && variable != null) {
      addresses.addAll(Arrays.asList(variable.split(",")));
    }
    if (addresses.isEmpty()) {
      throw new CommandException(
          ExitCode.USAGE, "no server given, expected --server URL or " + SERVER_VARIABLE);
    }
    return new AdminClient(addresses, token());
  }

  private String token() throws CommandException {
    String file = tokenFile != null ? tokenFile : System.getenv(TOKEN_VARIABLE);
    if (file == null) {
      throw new CommandException(
          ExitCode.USAGE, "no token file given, expected --token-file FILE or " + TOKEN_VARIABLE);
    }
    try {
      return Files.readString(Path.of(file)).strip();
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, "cannot read the token file " + file, e);
    }
  }
}
