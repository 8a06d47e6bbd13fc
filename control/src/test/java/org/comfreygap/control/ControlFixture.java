package org.comfreygap.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.runtime.Timeline;

/** A control instance on loopback around a given log, with an HTTP client. */
final class ControlFixture implements AutoCloseable {

  static final String ROOT_TOKEN = "root-token";
  static final String BLUE_TOKEN = "blue-token";
  static final PeerSecurity SECURITY =
      PeerSecurity.of(SharedKey.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8)));

  private static final int FIRST_PORT = 12_000;
  private static final int PORTS = 18_000;
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger((int) (ProcessHandle.current().pid() % 300) * 60);

  final ControlSettings settings;
  final ControlState state;
  final ControlServer server;
  private final Closer closer = new Closer();
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(10)).build();

  ControlFixture(String replicaId, ControlState state, ReplicatedLog log, String extra)
      throws Exception {
    this(replicaId, state, log, extra, DutyDialect.NONE);
  }

  ControlFixture(
      String replicaId, ControlState state, ReplicatedLog log, String extra, DutyDialect dialect)
      throws Exception {
    this(replicaId, state, log, extra, dialect, Optional.empty());
  }

  /** Starts an instance that may be told of another control instance than itself. */
  ControlFixture(
      String replicaId,
      ControlState state,
      ReplicatedLog log,
      String extra,
      DutyDialect dialect,
      Optional<String> control)
      throws Exception {
    this.settings = settings(replicaId, extra, control);
    this.state = state;
    EventLog events =
        closer.register(
            new EventLog(
                replicaId, new HybridClock(System::currentTimeMillis), new Timeline(1_000)));
    this.server =
        closer.register(
            ControlServer.start(
                settings, state, log, SECURITY, events, publisher -> List.of(), dialect));
  }

  /** An HTTP response with its parsed JSON body. */
  record Response(int status, JsonNode json, HttpResponse<String> raw) {}

  /** Starts a single leader. */
  static ControlFixture startLeader() throws Exception {
    return startLeader("");
  }

  static ControlFixture startLeader(String extra) throws Exception {
    MemoryCluster cluster = new MemoryCluster();
    ControlState state = new ControlState();
    MemoryCluster.Replica replica = cluster.add("c1", state);
    cluster.elect(replica);
    return new ControlFixture("c1", state, replica, extra);
  }

  static ProcessIdentity process(String id, ProcessKind kind, String startId) {
    return new ProcessIdentity(id, kind, startId, "z1", "127.0.0.1:9", "127.0.0.1:8");
  }

  ControlHandler handler() {
    return server.injector().getInstance(ControlHandler.class);
  }

  <T> T get(Class<T> type) {
    return server.injector().getInstance(type);
  }

  Response call(String method, String path, String body, String... headers) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(
                URI.create("http://" + Addresses.text(settings.httpAddress()) + path))
            .timeout(Duration.ofSeconds(40));
    boolean authorized = false;
    for (int i = 0; i < headers.length; i += 2) {
      request.header(headers[i], headers[i + 1]);
      authorized |= headers[i].equals("Authorization");
    }
    if (!authorized) {
      request.header("Authorization", "Bearer " + ROOT_TOKEN);
    }
    HttpRequest.BodyPublisher publisher =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body);
    request.header("Content-Type", "application/json");
    HttpResponse<String> response =
        http.send(request.method(method, publisher).build(), HttpResponse.BodyHandlers.ofString());
    JsonNode json = response.body().isEmpty() ? null : Codec.MAPPER.readTree(response.body());
    return new Response(response.statusCode(), json, response);
  }

  Response put(String path, String document, String... headers) throws Exception {
    return call("PUT", "/settings" + path, document, headers);
  }

  @Override
  public void close() {
    closer.close();
  }

  private static ControlSettings settings(String replicaId, String extra, Optional<String> control)
      throws Exception {
    String rpc = freeAddress();
    String yaml =
        """
        processId: %s
        zone: z1
        adminAddress: %s
        control: ["%s"]
        security: {sharedKeyFile: unused}
        replicaId: %s
        rpcAddress: %s
        replicationAddress: 127.0.0.1:0
        httpAddress: %s
        dataFolder: unused
        operators:
          - {name: root, tokenSha256: %s, subtree: /}
          - {name: blue, tokenSha256: %s, subtree: /teams/blue}
        %s
        """
            .formatted(
                "control-" + replicaId,
                freeAddress(),
                control.orElse(rpc),
                replicaId,
                rpc,
                freeAddress(),
                Operators.sha256(ROOT_TOKEN),
                Operators.sha256(BLUE_TOKEN),
                extra);
    return ControlSettings.parse(yaml);
  }

  /**
   * Returns an address that is free now. Ports are below the kernel's ephemeral range, since a port
   * of that range could be taken by an outgoing connection before the server binds it.
   */
  static String freeAddress() throws IOException {
    while (true) {
      int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress("127.0.0.1", port));
        return "127.0.0.1:" + port;
      } catch (BindException ignored) {
        // The port is in use: tries the next one.
      }
    }
  }
}
