package org.comfreygap.sidecar;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Client interface to an endpoint. Futures complete exceptionally with {@link EngineException}.
 *
 * <pre>{@code
 * EngineClient.ResponseHandle response = engine.start(request, listener);
 * response.demand(4_096);
 * }</pre>
 *
 * <p>Invariant: a call is sent at most once; no implementation retries. Thread safety: any thread
 * may call; the methods of a listener are never called concurrently.
 *
 * @since 0.1
 */
public interface EngineClient extends AutoCloseable {

  /** Bytes of a response that may arrive before more are demanded. */
  int INITIAL_DEMAND = 32 * 1024;

  /** Reads boot id, uptime, residency and running requests. */
  CompletableFuture<EngineState> state(Duration timeout);

  /** Loads an adapter under its immutable name. */
  CompletableFuture<CommandReply> load(String name, String source, long fencing, Duration timeout);

  /** Unloads an adapter. */
  CompletableFuture<CommandReply> unload(String name, long fencing, Duration timeout);

  /** Sends a request; the listener receives the response. */
  ResponseHandle start(EngineRequest request, ResponseListener listener);

  /** Requests cancellation; true when the engine confirms that the request no longer runs. */
  CompletableFuture<Boolean> cancel(String attemptId, Duration timeout);

  /**
   * Resumes a response whose connection broke.
   *
   * @param broken the interrupted response, from {@link #start} or {@link #resume}
   * @param offset bytes of the body received so far
   */
  ResponseHandle resume(ResponseHandle broken, long offset, ResponseListener listener);

  /** Exports the KV cache of a running request. */
  CompletableFuture<byte[]> exportCache(String attemptId, Duration timeout);

  /** Imports a KV cache under an attempt id; true when the engine accepted it. */
  CompletableFuture<Boolean> importCache(String attemptId, byte[] cache, Duration timeout);

  @Override
  void close();

  /**
   * State of an endpoint.
   *
   * @param bootId id that changes at each start of the endpoint
   * @param uptimeMillis time since that start
   * @param resident immutable names of the resident adapters; empty for a plain service
   * @param running ids of the running attempts; empty for a plain service
   */
  record EngineState(
      String bootId,
      long uptimeMillis,
      List<String> resident,
      List<String> running,
      long sentAtNanos,
      long receivedAtNanos) {}

  /** Reply to a load or unload command. */
  record CommandReply(CommandStatus status, String bootId) {}

  /** Result that the engine reports for a command. */
  enum CommandStatus {
    DONE,
    FULL,
    STALE_FENCING,
    REFUSED
  }

  /**
   * A request as it is sent to the endpoint.
   *
   * @param checked true for an engine, which echoes the request id and marks the end of a response
   * @param timeout maximum time without data from the endpoint
   */
  record EngineRequest(
      String attemptId,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      boolean checked,
      Duration timeout) {}

  /** Handle of a response in progress. */
  interface ResponseHandle {

    /** Allows {@code bytes} more bytes of the response to arrive. */
    void demand(int bytes);

    /** Closes the connection; the listener receives a failure unless the response has ended. */
    void abort();
  }

  /**
   * Receives a response: a head, data, then exactly one of {@link #onComplete} and {@link
   * #onFailure}.
   */
  interface ResponseListener {

    /** Receives status and headers, with lower-case names. */
    void onHead(int status, Map<String, String> headers, String bootId);

    /**
     * Receives bytes; the buffer is only valid during the call. Returns false when the bytes are
     * discarded because the response was resumed in another exchange.
     */
    boolean onData(ByteBuffer bytes);

    /**
     * The response is complete; {@code totalTokens} is the number reported by the engine, or -1.
     */
    void onComplete(long totalTokens);

    /** The response is incomplete. */
    void onFailure(EngineException failure);
  }
}
