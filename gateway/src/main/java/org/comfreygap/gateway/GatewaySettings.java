package org.comfreygap.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.ProcessSettings;
import org.comfreygap.settings.FieldRule;
import org.comfreygap.settings.ObjectSchema;

/**
 * The settings file of a gateway.
 *
 * <p>Thread safety: immutable.
 *
 * @param httpAddress address for callers
 * @param maxBodyBytes largest request body in bytes
 * @param stopLag time the load balancer needs to detect that the gateway is not ready
 * @param workers maximum number of requests in progress; each occupies one thread
 * @param requestTimeout maximum duration of a request
 * @param bodyTimeout time within which a caller must send the whole request body
 * @param idleTimeout time without a byte sent or received after which a caller's connection is
 *     closed
 * @param defaultMaxTokens maximum output of a request that does not set one, in tokens
 * @param bytesPerToken bytes of a prompt counted as one token; 1 never underestimates
 * @since 0.1
 */
public record GatewaySettings(
    String processId,
    String zone,
    InetSocketAddress httpAddress,
    InetSocketAddress adminAddress,
    List<InetSocketAddress> control,
    PeerSecurity security,
    int maxBodyBytes,
    Duration stopLag,
    int workers,
    Duration requestTimeout,
    Duration bodyTimeout,
    Duration idleTimeout,
    int defaultMaxTokens,
    int bytesPerToken) {

  /** Schema of the settings file. */
  public static final ObjectSchema SCHEMA =
      ProcessSettings.commonSchema()
          .required("httpAddress", FieldRule.ipPort())
          .optional("maxBodyBytes", FieldRule.integer(1, 64 * 1024 * 1024))
          .optional("stopLagMillis", FieldRule.integer(0, 600_000))
          .optional("workers", FieldRule.integer(1, 10_000))
          .optional("requestTimeoutMillis", FieldRule.integer(100, 3_600_000))
          .optional("bodyTimeoutMillis", FieldRule.integer(100, 600_000))
          .optional("idleTimeoutMillis", FieldRule.integer(100, 600_000))
          .optional("defaultMaxTokens", FieldRule.integer(1, 1_000_000))
          .optional("bytesPerToken", FieldRule.integer(1, 16))
          .build();

  private static final long DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
  private static final long DEFAULT_WORKERS = 768;
  private static final long DEFAULT_MAX_TOKENS = 256;

  /**
   * Returns the settings in {@code file}.
   *
   * @throws IOException when a file named in the section {@code security} cannot be used
   */
  public static GatewaySettings from(ProcessSettings file) throws IOException {
    return new GatewaySettings(
        file.text("processId"),
        file.text("zone"),
        file.address("httpAddress"),
        file.address("adminAddress"),
        file.texts("control").stream().map(Addresses::parse).toList(),
        PeerSecurity.from(file),
        (int) file.integer("maxBodyBytes", DEFAULT_MAX_BODY_BYTES),
        file.millis("stopLagMillis", Duration.ofSeconds(5)),
        (int) file.integer("workers", DEFAULT_WORKERS),
        file.millis("requestTimeoutMillis", Duration.ofMinutes(10)),
        file.millis("bodyTimeoutMillis", Duration.ofSeconds(10)),
        file.millis("idleTimeoutMillis", Duration.ofSeconds(10)),
        (int) file.integer("defaultMaxTokens", DEFAULT_MAX_TOKENS),
        (int) file.integer("bytesPerToken", 1));
  }
}
