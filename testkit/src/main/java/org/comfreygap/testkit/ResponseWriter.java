package org.comfreygap.testkit;

import java.io.IOException;
import java.util.Arrays;

/**
 * Writes the responses of a fake engine, with the faults that truncate or swap them.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
final class ResponseWriter {

  private static final int BYTES_PER_EVENT = 150;
  private static final int BYTES_BEFORE_TRUNCATION = 60;

  private final FakeEndpoint endpoint;

  ResponseWriter(FakeEndpoint endpoint) {
    this.endpoint = endpoint;
  }

  /** Streams the response of {@code run} from a byte offset on as it is generated. */
  void write(EngineRun run, int offset, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    boolean abrupt = endpoint.faults.consume(EndpointFault.TRUNCATE);
    boolean clean = !abrupt && endpoint.faults.consume(EndpointFault.TRUNCATE_CLEAN);
    int cut = abrupt || clean ? truncationOffset(run) : Integer.MAX_VALUE;
    String type = run.stream ? "text/event-stream" : "application/json";
    if (run.stream) {
      response.beginChunked(200, endpoint.headers(type, run.recordEntry.attempt));
    }
    int at = offset;
    byte[] bytes = run.responseFrom(at);
    if (!run.stream && bytes.length > 0) {
      response.beginChunked(200, endpoint.headers(type, run.recordEntry.attempt));
    }
    while (bytes.length > 0 && at < cut) {
      endpoint.awaitThaw();
      response.sendChunk(Arrays.copyOf(bytes, Math.min(bytes.length, cut - at)));
      at += bytes.length;
      bytes = at < cut ? run.responseFrom(at) : bytes;
    }
    if (abrupt || !clean && !run.complete()) {
      throw new IOException("response of attempt " + run.recordEntry.attempt + " is incomplete");
    }
    response.endChunked();
  }

  /** Writes a response that belongs to another, made-up request. */
  void writeCrossed(EngineRequest request, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    EngineRequest other =
        new EngineRequest(
            "other-" + request.attempt(),
            "other/adapter@v1",
            "other",
            "",
            0,
            request.promptTokens(),
            request.maxTokens(),
            request.stream(),
            request.chat(),
            "",
            "");
    EndpointRecord.Run unrecorded =
        new EndpointRecord.Run(other.attempt(), other.model(), other.model(), "other", "", 0);
    EngineRun run = new EngineRun(unrecorded, other, 0);
    run.skipTo(other.maxTokens());
    run.step();
    write(run, 0, response);
  }

  private static int truncationOffset(EngineRun run) {
    return run.stream ? BYTES_PER_EVENT * (run.totalTokens / 2 + 1) : BYTES_BEFORE_TRUNCATION;
  }
}
