package org.comfreygap.sidecar;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * The one interface to an endpoint. Futures complete exceptionally with {@link EngineException}.
 *
 * <pre>{@code
 * EngineClient.Answer answer = engine.start(request, listener);
 * answer.demand(4_096);
 * }</pre>
 *
 * <p>Invariant: a call is sent at most once; no implementation retries. Thread safety: any thread
 * may call; the methods of one listener are called one after another.
 *
 * @since 0.1
 */
public interface EngineClient extends AutoCloseable {

  /** Bytes of an answer that may arrive before more are demanded. */
  int INITIAL_DEMAND = 32 * 1024;

  /** Reads boot id, uptime, residency and running requests. */
  CompletableFuture<EngineState> state(Duration timeout);

  /** Loads an adapter under its immutable name. */
  CompletableFuture<CommandReply> load(String name, String source, long fencing, Duration timeout);

  /** Unloads an adapter. */
  CompletableFuture<CommandReply> unload(String name, long fencing, Duration timeout);

  /** Sends a request; the listener receives its answer. */
  ResponseHandle start(EngineRequest request, ResponseListener listener);

  /** Asks the engine to end a request; true when the engine confirms that it no longer runs. */
  CompletableFuture<Boolean> cancel(String attemptId, Duration timeout);

  /**
   * Continues an answer whose connection broke.
   *
   * @param broken the answer so far, from {@link #start} or {@link #resume}
   * @param offset bytes of the body received so far
   */
  ResponseHandle resume(ResponseHandle broken, long offset, ResponseListener listener);

  /** Exports the KV cache of a running request. */
  CompletableFuture<byte[]> exportCache(String attemptId, Duration timeout);

  /** Imports a KV cache under an attempt id; true when the engine took it. */
  CompletableFuture<Boolean> importCache(String attemptId, byte[] cache, Duration timeout);

  @Override
  void close();

  /**
   * State of an endpoint.
   *
   * @param bootId id that changes with each start of the endpoint
   * @param uptimeMillis time since that start
   * @param resident immutable names of the adapters held; empty for a plain service
   * @param running attempt ids that run now; empty for a plain service
   */
  record EngineState(
      String bootId,
      long uptimeMillis,
      List<String> resident,
      List<String> running,
      long sentAtNanos,
      long receivedAtNanos) {}

  /** Answer to a load or unload. */
  record CommandReply(CommandStatus status, String bootId) {}

  /** What the engine said to a command. */
  enum CommandStatus {
    DONE,
    FULL,
    STALE_FENCING,
    REFUSED
  }

  /**
   * A request as it is sent to the endpoint.
   *
   * @param checked true for an engine, which echoes the request id and marks the end of an answer
   * @param timeout longest silence of the endpoint
   */
  record EngineRequest(
      String attemptId,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      boolean checked,
      Duration timeout) {}

  /** Handle on an answer in progress. */
  interface ResponseHandle {

    /** Allows {@code bytes} more of the answer to arrive. */
    void demand(int bytes);

    /** Closes the connection; the listener receives a failure unless the answer has ended. */
    void abort();
  }

  /**
   * Receives an answer: a head, data, then exactly one of {@link #onComplete} and {@link
   * #onFailure}.
   */
  interface ResponseListener {

    /** Receives status and headers, with lower-case names. */
    void onHead(int status, Map<String, String> headers, String bootId);

    /**
     * Receives bytes; the buffer is only valid during the call. Returns false when the answer goes
     * on in another exchange, so that these bytes do not belong to it.
     */
    boolean onData(ByteBuffer bytes);

    /** The answer is whole; {@code totalTokens} is what the engine reported, or -1. */
    void onComplete(long totalTokens);

    /** The answer is not whole. */
    void onFailure(EngineException failure);
  }
}
