package org.comfreygap.sidecar;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import org.comfreygap.runtime.InvalidSettingsException;
import org.comfreygap.runtime.ProcessSettings;
import org.comfreygap.settings.Fault;
import org.comfreygap.settings.FieldRule;
import org.comfreygap.settings.ObjectSchema;

/**
 * The settings file of a sidecar.
 *
 * <p>Thread safety: immutable.
 *
 * @param endpoint name of the endpoint in the settings tree
 * @param attemptAddress address on which gateways reach this sidecar
 * @param endpointUrl base URL of the endpoint
 * @since 0.1
 */
public record SidecarSettings(
    String processId,
    String zone,
    String endpoint,
    InetSocketAddress attemptAddress,
    InetSocketAddress adminAddress,
    URI endpointUrl,
    List<String> control) {

  /** Schema of the settings file. */
  public static final ObjectSchema SCHEMA =
      ProcessSettings.commonSchema()
          .required("endpoint", FieldRule.name())
          .required("attemptAddress", FieldRule.ipPort())
          .required("endpointUrl", FieldRule.text(1_000))
          .build();

  /**
   * Reads the sidecar's part of {@code file}.
   *
   * @throws InvalidSettingsException when the endpoint URL is not an HTTP URL
   */
  public static SidecarSettings from(ProcessSettings file) throws InvalidSettingsException {
    String url = file.text("endpointUrl");
    if (!url.matches("https?://[^/?#]+/?")) {
      throw new InvalidSettingsException(
          "settings", List.of(new Fault("endpointUrl", url, "http://host:port")));
    }
    String base = url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
    return new SidecarSettings(
        file.text("processId"),
        file.text("zone"),
        file.text("endpoint"),
        file.address("attemptAddress"),
        file.address("adminAddress"),
        URI.create(base),
        file.texts("control"));
  }
}
