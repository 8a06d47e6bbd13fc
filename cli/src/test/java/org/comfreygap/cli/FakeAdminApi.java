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

/** An administration API that sends queued responses and records the calls it receives. */
final class FakeAdminApi implements AutoCloseable {

  private final HttpServer server;
  private final Deque<CannedResponse> responses = new ArrayDeque<>();
  private final List<Call> calls = new ArrayList<>();

  FakeAdminApi() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          String body =
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
          CannedResponse response;
          synchronized (this) {
            calls.add(
                new Call(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().toString(),
                    Optional.ofNullable(
                            exchange.getRequestHeaders().getFirst("Comfreygap-Operation-Id"))
                        .orElse(""),
                    body));
            response =
                responses.isEmpty()
                    ? new CannedResponse(500, "{}", Optional.empty())
                    : responses.poll();
          }
          response.location.ifPresent(l -> exchange.getResponseHeaders().set("Location", l));
          byte[] bytes = response.body.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(response.status, bytes.length == 0 ? -1 : bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
    server.start();
  }

  record Call(String method, String uri, String operationId, String body) {}

  private record CannedResponse(int status, String body, Optional<String> location) {}

  synchronized FakeAdminApi enqueueResponse(int status, String body) {
    responses.add(new CannedResponse(status, body, Optional.empty()));
    return this;
  }

  synchronized FakeAdminApi enqueueRedirect(String location) {
    responses.add(new CannedResponse(307, "", Optional.of(location)));
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
