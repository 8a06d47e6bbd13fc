package org.comfreygap.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/**
 * An operator's client of the administration API of control, design page, section 11.
 *
 * <p>A call goes to the control instances in turn until one accepts it; a change keeps its
 * operation id, so that it is applied once. Thread safety: all methods may be called from any
 * thread.
 *
 * @since 0.1
 */
final class AdminClient {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
  private static final int CHANGES_PER_TRANSACTION = 500;
  private static final long RETRY_MILLIS = 100;

  private final List<String> addresses;
  private final String token;
  private final HttpClient client =
      HttpClient.newBuilder()
          .followRedirects(HttpClient.Redirect.NEVER)
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  AdminClient(List<String> addresses, String token) {
    this.addresses = addresses;
    this.token = token;
  }

  /** Puts documents, many in each transaction. */
  void putAll(Map<String, String> documents, Duration limit)
      throws IOException, InterruptedException {
    ArrayNode changes = JSON.createArrayNode();
    for (Map.Entry<String, String> entry : documents.entrySet()) {
      ObjectNode change = changes.addObject();
      change.put("path", entry.getKey());
      change.set("document", JSON.readTree(entry.getValue()));
      if (changes.size() == CHANGES_PER_TRANSACTION) {
        transaction(changes, limit);
        changes = JSON.createArrayNode();
      }
    }
    if (!changes.isEmpty()) {
      transaction(changes, limit);
    }
  }

  /** Puts one document and returns its revision. */
  long put(String path, String document, Duration limit) throws IOException, InterruptedException {
    String operation = UUID.randomUUID().toString();
    return callUntilAccepted("PUT", "/settings" + path, document, operation, limit)
        .path("revision")
        .asLong();
  }

  /** Creates a key and returns it. */
  String createKey(String customer, String keyId, Duration limit)
      throws IOException, InterruptedException {
    ObjectNode body = JSON.createObjectNode();
    body.put("customer", customer);
    body.put("keyId", keyId);
    String operation = UUID.randomUUID().toString();
    return callUntilAccepted("POST", "/keys", body.toString(), operation, limit)
        .path("key")
        .asText();
  }

  /** Withdraws a key. */
  void withdrawKey(String customer, String keyId, Duration limit)
      throws IOException, InterruptedException {
    String operation = UUID.randomUUID().toString();
    callUntilAccepted("DELETE", "/keys/" + customer + "/" + keyId, "", operation, limit);
  }

  /** Takes a zone out of service or puts it back in. */
  void setZoneInService(String zone, boolean in, Duration limit)
      throws IOException, InterruptedException {
    String body = "{\"state\":\"" + (in ? "in" : "out") + "\"}";
    callUntilAccepted("POST", "/zones/" + zone, body, UUID.randomUUID().toString(), limit);
  }

  /** Returns the status of the deployment. */
  JsonNode status(Duration limit) throws IOException, InterruptedException {
    return callUntilAccepted("GET", "/status", "", "", limit);
  }

  /** Reads from one control instance without a retry; an empty object unless it returns 200. */
  JsonNode readFrom(int instance, String path) throws IOException, InterruptedException {
    HttpResponse<String> response = send("GET", addresses.get(instance), path, "", "");
    return response.statusCode() == 200 ? JSON.readTree(response.body()) : JSON.createObjectNode();
  }

  private void transaction(ArrayNode changes, Duration limit)
      throws IOException, InterruptedException {
    ObjectNode body = JSON.createObjectNode();
    String operation = UUID.randomUUID().toString();
    body.put("operationId", operation);
    body.putObject("expect");
    body.set("changes", changes);
    callUntilAccepted("POST", "/transactions", body.toString(), operation, limit);
  }

  private JsonNode callUntilAccepted(
      String method, String path, String body, String operation, Duration limit)
      throws IOException, InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    String problem = "no control instance responded";
    int instance = 0;
    while (System.nanoTime() < deadline) {
      try {
        String address = addresses.get(instance % addresses.size());
        HttpResponse<String> response = send(method, address, path, body, operation);
        if (response.statusCode() == 307) {
          URI leader = URI.create(response.headers().firstValue("Location").orElse(address));
          String leaderAddress = "http://" + leader.getAuthority();
          response = send(method, leaderAddress, path, body, operation);
        }
        if (response.statusCode() / 100 == 2) {
          return JSON.readTree(response.body().isEmpty() ? "{}" : response.body());
        }
        problem = response.statusCode() + " " + response.body();
        if (response.statusCode() / 100 == 4 && response.statusCode() != 429) {
          throw new IOException(method + " " + path + ": " + problem);
        }
      } catch (java.net.ConnectException | java.net.http.HttpTimeoutException e) {
        problem = e.toString();
      }
      instance++;
      Thread.sleep(RETRY_MILLIS);
    }
    throw new IOException(method + " " + path + ": not accepted within " + limit + ": " + problem);
  }

  private HttpResponse<String> send(
      String method, String address, String path, String body, String operation)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(address + path))
            .timeout(CALL_TIMEOUT)
            .header("Authorization", "Bearer " + token)
            .header("Content-Type", "application/json")
            .method(
                method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
    if (!operation.isEmpty()) {
      request.header("Comfreygap-Operation-Id", operation);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }
}
