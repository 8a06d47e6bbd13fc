package org.comfreygap.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Base class of fake engines and fake plain services: listening port, record, fault injection, boot
 * id and cold start.
 *
 * <p>Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
public abstract class FakeEndpoint implements AutoCloseable {

  /** A request whose body contains this text crashes the endpoint that executes it. */
  public static final String CRASH_MARKER = "crash-this-endpoint";

  static final ObjectMapper JSON = new ObjectMapper();

  private static final Pattern NONCE = Pattern.compile("nonce:([A-Za-z0-9-]+)");
  private static final long DEFAULT_DOWN_MILLIS = 300;

  final ArmedFaults faults = new ArmedFaults();
  final EndpointRecord record;

  private final String name;
  private final ColdStart coldStart;
  private final int fullLimit;
  private volatile String bootId = UUID.randomUUID().toString();
  private volatile long startNanos;
  private volatile long frozenUntilNanos = System.nanoTime();
  private volatile boolean down;
  private RawHttpServer server;

  FakeEndpoint(String name, String kind, ColdStart coldStart, int bound, boolean warm) {
    this.name = name;
    this.coldStart = coldStart;
    this.fullLimit = bound;
    this.record = new EndpointRecord(name, kind);
    this.startNanos = System.nanoTime() - (warm ? coldStart.rampMillis() * 1_000_000 : 0);
    record.addEvent(EndpointRecord.EventKind.START, bootId);
  }

  /** Returns the name given to the builder. */
  public String name() {
    return name;
  }

  /** Returns the address as {@code http://ip:port}. */
  public String url() {
    return "http://127.0.0.1:" + port();
  }

  /** Returns the listening port. */
  public int port() {
    return server.port();
  }

  /** Returns the record of this endpoint. */
  public EndpointRecord record() {
    return record;
  }

  /** Returns the boot id, which changes with each restart. */
  public String bootId() {
    return bootId;
  }

  /** Injects a fault for {@code count} occurrences. */
  public void fault(EndpointFault fault, int count) {
    fault(fault, count, 0, "");
  }

  /**
   * Injects a fault.
   *
   * @param count number of occurrences, for faults that are counted; 0 clears the fault
   * @param millis duration, for faults that have one
   * @param text key for {@link EndpointFault#WATCH_KEY}
   */
  public void fault(EndpointFault fault, int count, long millis, String text) {
    switch (fault) {
      case RESTART -> restart(millis);
      case SILENCE -> server.silenceOpenConnections();
      case FREEZE -> frozenUntilNanos = System.nanoTime() + millis * 1_000_000;
      case REFUSE -> refuse(millis);
      case WATCH_KEY -> record.watchKey(text);
      default -> faults.arm(fault, count, millis);
    }
  }

  /** Restarts the endpoint without state and cold; a {@code downMillis} of 0 means 300 ms. */
  public void restart(long downMillis) {
    down = true;
    server.refuseNewConnections(true);
    server.dropOpenConnections();
    stopWork();
    bootId = UUID.randomUUID().toString();
    runAfter(
        downMillis == 0 ? DEFAULT_DOWN_MILLIS : downMillis,
        () -> {
          startNanos = System.nanoTime();
          record.addEvent(EndpointRecord.EventKind.START, bootId);
          down = false;
          server.refuseNewConnections(false);
        });
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  /** Aborts all work and clears all state, as a process crash would. */
  abstract void stopWork();

  abstract void handle(RawHttpServer.Request request, RawHttpServer.Response response)
      throws IOException, InterruptedException;

  final void listen(InetSocketAddress address) throws IOException {
    server = new RawHttpServer(address, this::receive);
  }

  final void crash(String detail) {
    record.addEvent(EndpointRecord.EventKind.CRASH, detail);
    restart(0);
  }

  final long uptimeMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  final boolean isDown() {
    return down;
  }

  final int currentLimit() {
    return coldStart.limitAt(uptimeMillis(), fullLimit);
  }

  final int fullLimit() {
    return fullLimit;
  }

  final void awaitThaw() throws InterruptedException {
    long left = frozenUntilNanos - System.nanoTime();
    while (left > 0) {
      Thread.sleep(left / 1_000_000 + 1);
      left = frozenUntilNanos - System.nanoTime();
    }
  }

  final void reply(RawHttpServer.Response response, int status, Object body, String attempt)
      throws IOException {
    response.send(status, headers("application/json", attempt), JSON.writeValueAsBytes(body));
  }

  final Map<String, String> headers(String contentType, String attempt) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("content-type", contentType);
    headers.put("x-boot-id", bootId);
    if (!attempt.isEmpty()) {
      headers.put("x-request-id", attempt);
    }
    return headers;
  }

  static JsonNode parseJson(byte[] body) throws IOException {
    return JSON.readTree(body.length == 0 ? "{}".getBytes(StandardCharsets.US_ASCII) : body);
  }

  static Map<String, Object> errorBody(String code, String message) {
    return Map.of("error", Map.of("code", code, "message", message));
  }

  /** Returns the value of the first {@code nonce:VALUE} in the text, or an empty string. */
  static String extractNonce(String text) {
    Matcher matcher = NONCE.matcher(text);
    return matcher.find() ? matcher.group(1) : "";
  }

  private void receive(RawHttpServer.Request request, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    if (request.path().equals("/record")) {
      response.send(200, headers("application/json", ""), record.toJson());
      return;
    }
    record.recordReceived(request.raw());
    awaitThaw();
    if (down) {
      throw new IOException(name + " is down");
    }
    handle(request, response);
  }

  private void refuse(long millis) {
    server.refuseNewConnections(true);
    server.dropOpenConnections();
    runAfter(millis, () -> server.refuseNewConnections(false));
  }

  private void runAfter(long millis, Runnable action) {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(millis);
                action.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            name + "-later");
    thread.setDaemon(true);
    thread.start();
  }
}
