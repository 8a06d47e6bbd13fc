package org.comfreygap.cli;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Answers administration calls from a script and keeps what was asked. */
final class FakeAdminApi implements AutoCloseable {

  private final HttpServer server;
  private final Deque<CannedResponse> script = new ArrayDeque<>();
  private final List<Call> calls = new ArrayList<>();

  FakeAdminApi() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          String body =
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
          CannedResponse answer;
          synchronized (this) {
            calls.add(
                new Call(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().toString(),
                    Optional.ofNullable(
                            exchange.getRequestHeaders().getFirst("Comfreygap-Operation-Id"))
                        .orElse(""),
                    body));
            answer =
                script.isEmpty() ? new CannedResponse(500, "{}", Optional.empty()) : script.poll();
          }
          answer.location.ifPresent(l -> exchange.getResponseHeaders().set("Location", l));
          byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
    server.start();
  }

  record Call(String method, String uri, String operationId, String body) {}

  private record CannedResponse(int status, String body, Optional<String> location) {}

  synchronized FakeAdminApi enqueueResponse(int status, String body) {
    script.add(new CannedResponse(status, body, Optional.empty()));
    return this;
  }

  synchronized FakeAdminApi enqueueRedirect(String location) {
    script.add(new CannedResponse(307, "", Optional.of(location)));
    return this;
  }

  synchronized List<Call> calls() {
    return List.copyOf(calls);
  }

  String url() {
    return "http://" + address();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
