package org.comfreygap.bench;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the fakes of one fleet recorded: runs, loads and events.
 *
 * @param endpoints record of each endpoint
 * @since 0.1
 */
public record FleetRecord(List<Endpoint> endpoints) {

  private static final ObjectMapper JSON =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  /** Parses the response to the fakes' {@code GET /record}. */
  public static FleetRecord parse(byte[] json) throws IOException {
    return JSON.readValue(json, FleetRecord.class);
  }

  Stream<PlacedRun> runs() {
    return endpoints.stream()
        .flatMap(endpoint -> endpoint.runs().stream().map(run -> new PlacedRun(endpoint, run)));
  }

  long events(String kind, long fromMillis) {
    return endpoints.stream()
        .flatMap(endpoint -> endpoint.events().stream())
        .filter(event -> event.kind().equals(kind) && event.atMillis() >= fromMillis)
        .count();
  }

  /** Returns the mean batch size of the engines over the steps since {@code earlier}. */
  double meanBatchSince(FleetRecord earlier) {
    long steps = 0;
    long sum = 0;
    for (Endpoint endpoint : endpoints) {
      if (endpoint.kind().equals("engine")) {
        steps += endpoint.steps();
        sum += endpoint.stepBatchSum();
      }
    }
    for (Endpoint endpoint : earlier.endpoints) {
      if (endpoint.kind().equals("engine")) {
        steps -= endpoint.steps();
        sum -= endpoint.stepBatchSum();
      }
    }
    return steps == 0 ? 0 : (double) sum / steps;
  }

  /**
   * Record of one endpoint.
   *
   * @param endpoint name
   * @param kind engine or service
   * @param runs requests that it ran
   * @param loads loads and unloads
   * @param events events
   * @param steps engine steps
   * @param stepBatchSum sum of the batch size over the steps
   */
  public record Endpoint(
      String endpoint,
      String kind,
      List<Run> runs,
      List<Load> loads,
      List<Event> events,
      long steps,
      long stepBatchSum) {}

  /**
   * One run; times are microseconds of the machine's clock.
   *
   * @param attempt attempt id
   * @param named adapter requested
   * @param adapter adapter used
   * @param nonce nonce of the caller's request
   * @param idempotencyKey key received
   * @param promptTokens tokens of the prompt
   * @param startMicros when it was accepted
   * @param endMicros when it ended; 0 while it runs
   * @param tokens tokens generated
   * @param state running, finished, cancelled, crashed or failed
   */
  public record Run(
      String attempt,
      String named,
      String adapter,
      String nonce,
      String idempotencyKey,
      int promptTokens,
      long startMicros,
      long endMicros,
      int tokens,
      String state) {}

  /**
   * One load or unload; times are milliseconds of the machine's clock.
   *
   * @param adapter adapter
   * @param load false for an unload
   * @param startMillis start
   * @param endMillis end
   * @param done false when it failed
   */
  public record Load(
      String adapter, boolean load, long startMillis, long endMillis, boolean done) {}

  /**
   * One event.
   *
   * @param kind name of the kind
   * @param atMillis time
   * @param detail human-readable detail
   */
  public record Event(String kind, long atMillis, String detail) {}

  /**
   * A run and the endpoint that executed it.
   *
   * @param endpoint endpoint
   * @param run run
   */
  record PlacedRun(Endpoint endpoint, Run run) {}
}
