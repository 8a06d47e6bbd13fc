package org.comfreygap.bench;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;

/**
 * The process that runs the fakes of one fleet, and a client of its control port.
 *
 * <p>Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
final class FakesProcess {

  private final RunningProgram program;
  private final String controlUrl;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private FakesProcess(RunningProgram program, int controlPort) {
    this.program = program;
    this.controlUrl = "http://127.0.0.1:" + controlPort;
  }

  static FakesProcess start(Path root, String id, Path folder, Layout layout) throws IOException {
    return new FakesProcess(
        RunningProgram.start(root, "comfreygap-fakes", id, folder, layout.fakesYaml(), ""),
        layout.fakesControlPort);
  }

  RunningProgram program() {
    return program;
  }

  /** Waits until the control port, which is opened last, responds. */
  void awaitReady(Duration limit) throws IOException, InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    while (true) {
      try {
        record();
        return;
      } catch (IOException e) {
        if (System.nanoTime() > deadline || !program.alive()) {
          throw new IOException(program.id() + " is not ready within " + limit, e);
        }
        Thread.sleep(50);
      }
    }
  }

  FleetRecord record() throws IOException, InterruptedException {
    HttpRequest get = HttpRequest.newBuilder(URI.create(controlUrl + "/record")).build();
    return FleetRecord.parse(client.send(get, HttpResponse.BodyHandlers.ofByteArray()).body());
  }

  void injectFault(String target, String fault, int count, long millis, String text)
      throws IOException, InterruptedException {
    post(
        "/fault",
        "{\"target\":\"%s\",\"fault\":\"%s\",\"count\":%d,\"millis\":%d,\"text\":\"%s\"}"
            .formatted(target, fault, count, millis, text));
  }

  void setStore(Profile.Store store) throws IOException, InterruptedException {
    post("/store", storeDocument(store));
  }

  static String storeDocument(Profile.Store store) {
    return "{\"loadsPerSecond\":%s,\"fullSpeedLoads\":%d,\"maxInFlight\":%d}"
        .formatted(store.loadsPerSecond(), store.fullSpeedLoads(), store.maxInFlight());
  }

  private void post(String path, String body) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(controlUrl + path))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() != 200) {
      throw new IOException(path + ": " + response.statusCode() + " " + response.body());
    }
  }
}
